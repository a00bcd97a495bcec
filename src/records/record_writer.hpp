/// Writes the records of the scheduler in office, in groups.
#ifndef SYCAMORESPAR_RECORDS_RECORD_WRITER_HPP
#define SYCAMORESPAR_RECORDS_RECORD_WRITER_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/graph_scheduler.hpp"
#include "libsycamorespar/latency_histogram.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace sycamorespar {

/// Limits of the writer.
struct record_writer_limits
{
    /// The least time between two writes; what changes meanwhile is written
    /// together. Ends wait for it, starts don't.
    std::chrono::milliseconds gap{15};
    /// A pause after a write that failed.
    std::chrono::milliseconds retry{60};
    /// An ended job is remembered for this long, for callers that ask or send
    /// it again.
    std::chrono::seconds remembrance{180};
};

/// Writes progress and workers under the condition that the office is still
/// this scheduler's. One write is on its way at a time.
class record_writer
{
public:
    /// What the owner is told.
    struct observer
    {
        /// The progress of a job is written up to a version.
        std::function<void(job_id const&, std::uint64_t version)> on_recorded;
        /// The progress of a job is not written; it is to be offered again.
        std::function<void(job_id const&)> on_not_recorded;
        /// A worker is written.
        std::function<void(worker_id const&)> on_worker_recorded;
        /// The records of an ended job are gone.
        std::function<void(job_id const&)> on_forgotten;
        /// The office is no longer this scheduler's.
        std::function<void()> on_office_lost;
        /// Gives the next records to write, at most so many.
        std::function<std::vector<progress_record>(std::size_t)> take_records;
    };

    record_writer(
        event_loop& loop, kv_store const& store, scheduler_term term,
        observer told, record_writer_limits const& limits = {});
    ~record_writer();
    record_writer(record_writer const&) = delete;
    record_writer& operator=(record_writer const&) = delete;

    /// The revision of a job's progress as it was read.
    void know_progress(job_id const& job, kv_revision revision);
    /// A job's request to cancel is stored beside it.
    void know_cancellation(job_id const& job);
    /// A job's record is still there although the job has ended.
    void forget_later(job_id const& job);
    /// The revision of a worker's record as it was read.
    void know_worker(worker_id const& worker, kv_revision revision);
    /// A worker is to be recorded.
    void add_worker(worker_id const& worker);
    /// A worker's record is to be removed; ignored where none is known.
    void remove_worker(worker_id const& worker);
    /// There may be something to write.
    void wake();
    /// Writes so far.
    std::uint64_t writes() const { return writes_; }
    /// How long the store took for those that it carried out.
    latency_histogram const& write_times() const { return write_times_; }

private:
    struct batch
    {
        kv_write write;
        std::vector<progress_record> records;
        std::vector<worker_id> workers;
        std::vector<worker_id> gone_workers;
        std::vector<job_id> forgotten;
    };

    void write_next();
    batch gather();
    void add_workers(batch& into);
    void add_gone_workers(batch& into);
    void add_record(batch& into, progress_record record) const;
    void take_result(batch const& sent, result<kv_write_result> const& written);
    void take_written(batch const& sent, kv_revision revision);
    void take_conflict(batch const& sent, kv_write_result const& written);
    void give_back(batch const& sent);
    void write_after(std::chrono::milliseconds pause);

    event_loop& loop_;
    kv_store const& store_;
    scheduler_term term_;
    observer told_;
    record_writer_limits limits_;
    std::map<job_id, kv_revision> revisions_;
    std::set<job_id> cancellations_;
    std::set<worker_id> workers_;
    std::map<worker_id, kv_revision> worker_revisions_;
    std::set<worker_id> gone_workers_;
    std::vector<job_id> to_forget_;
    bool is_busy_ = false;
    bool is_wanted_ = false;
    std::uint64_t writes_ = 0;
    latency_histogram write_times_;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
