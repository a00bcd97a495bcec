/// Writes the records of the leading scheduler, in batches.
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

/// Timing of the writer.
struct record_writer_limits
{
    /// Minimum interval between two writes; changes in between are written as
    /// one batch. Ends of runs wait for it, starts don't.
    std::chrono::milliseconds min_interval{15};
    /// Delay after a failed write.
    std::chrono::milliseconds retry{60};
    /// How long the progress record of an ended job is kept, for callers that
    /// query or resend the job.
    std::chrono::seconds retention{180};
};

/// Writes progress and workers under the condition that this scheduler is
/// still the leader. At most one write is in flight.
class record_writer
{
public:
    /// Callbacks to the owner.
    struct observer
    {
        /// The progress of a job was written up to a version.
        std::function<void(job_id const&, std::uint64_t version)> on_recorded;
        /// The progress of a job was not written and must be offered again.
        std::function<void(job_id const&)> on_not_recorded;
        /// A worker's record was written.
        std::function<void(worker_id const&)> on_worker_recorded;
        /// The progress record of an ended job was removed.
        std::function<void(job_id const&)> on_removed;
        /// This scheduler is no longer the leader.
        std::function<void()> on_leadership_lost;
        /// Returns the next records to write, up to a maximum number.
        std::function<std::vector<progress_record>(std::size_t)> take_records;
    };

    record_writer(
        event_loop& loop, kv_store const& store, scheduler_term term,
        observer callbacks, record_writer_limits const& limits = {});
    ~record_writer();
    record_writer(record_writer const&) = delete;
    record_writer& operator=(record_writer const&) = delete;

    /// Sets the revision of a job's progress, unless a later one is known.
    void update_progress_revision(job_id const& job, kv_revision revision);
    /// Registers that a request to cancel a job is stored.
    void add_cancellation(job_id const& job);
    /// Removes an ended job's progress record after the retention time.
    void schedule_removal(job_id const& job);
    /// Sets the revision of a worker's record as it was read.
    void set_worker_revision(worker_id const& worker, kv_revision revision);
    /// Queues a worker's record to be written.
    void add_worker(worker_id const& worker);
    /// Queues the removal of a worker's record; ignored where none is known.
    void remove_worker(worker_id const& worker);
    /// Starts a write if there is something to write, now or once the write in
    /// flight is done.
    void wake();
    /// The number of writes sent.
    std::uint64_t writes() const { return writes_; }
    /// Time that the store took for answered writes.
    latency_histogram const& write_times() const { return write_times_; }

private:
    struct batch
    {
        kv_write write;
        std::vector<progress_record> records;
        std::vector<worker_id> workers;
        std::vector<worker_id> removed_workers;
        std::vector<job_id> expired;
    };

    void write_next();
    batch gather();
    void add_workers(batch& into);
    void add_removed_workers(batch& into);
    void add_record(batch& into, progress_record record) const;
    void
    handle_result(batch const& sent, result<kv_write_result> const& written);
    void handle_written(batch const& sent, kv_revision revision);
    void handle_conflict(batch const& sent, kv_write_result const& written);
    void return_unwritten(batch const& sent);
    void write_after(std::chrono::milliseconds pause);

    event_loop& loop_;
    kv_store const& store_;
    scheduler_term term_;
    observer callbacks_;
    record_writer_limits limits_;
    std::map<job_id, kv_revision> revisions_;
    std::set<job_id> cancellations_;
    std::set<worker_id> workers_;
    std::map<worker_id, kv_revision> worker_revisions_;
    std::set<worker_id> removed_workers_;
    std::vector<job_id> expired_jobs_;
    bool is_busy_ = false;
    bool is_write_due_ = false;
    std::uint64_t writes_ = 0;
    latency_histogram write_times_;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
