/// One term as the leader: reads the records, then schedules jobs.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULING_TERM_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULING_TERM_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/graph_scheduler.hpp"
#include "records/graph_json.hpp"
#include "records/record_writer.hpp"
#include "store/prefix_watch.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Reads the records of earlier terms, then connects the scheduler to the
/// store. The term ends when the object is destroyed.
class scheduling_term
{
public:
    /// Callbacks to the owner.
    struct observer
    {
        /// Orders may have changed, so waiting runners may be answered.
        std::function<void()> on_orders;
        /// Another process is the leader.
        std::function<void()> on_leadership_lost;
        /// The time since the leadership was last confirmed.
        std::function<std::chrono::nanoseconds()> time_since_confirmation;
        /// The latest time at which this process is known to have been the
        /// leader.
        std::function<monotonic_time()> confirmed_at;
    };

    scheduling_term(
        event_loop& loop, kv_store const& store, scheduler_term term,
        scheduler_limits const& limits, schedule_policy policy,
        observer callbacks);
    ~scheduling_term();
    scheduling_term(scheduling_term const&) = delete;
    scheduling_term& operator=(scheduling_term const&) = delete;

    /// True once the records and the jobs are read. Earlier, a reported run
    /// could appear to belong to no job.
    bool is_ready() const { return tick_ != 0; }
    /// The scheduler; null until the records are read.
    graph_scheduler* scheduler() { return scheduler_.get(); }
    /// The scheduler; null until the records are read.
    graph_scheduler const* scheduler() const { return scheduler_.get(); }
    /// The writer of records; null until the records are read.
    record_writer const* writer() const { return writer_.get(); }
    /// The number of accepted jobs of a queue of which no task has started;
    /// none if jobs accepted seconds ago may not be known yet.
    std::optional<std::size_t> pending(queue_id const& queue) const;
    /// Applies a changed configuration.
    void set_policy(schedule_policy policy);
    /// Processes a runner's report; one that names a later term ends this term.
    /// \return false where a newer report was already processed.
    bool on_report(runner_report const& report);
    /// Adds a job that this process stored; the watch reports it as well.
    void on_stored(accepted_job const& job, kv_revision revision);
    /// Plans in the next turn of the loop; several calls cause one planning.
    void plan_soon();

private:
    void read_progress_records();
    void load_progress(result<kv_listing> const& listing);
    void read_worker_records();
    void load_workers(result<kv_listing> const& listing);
    void retry_read(std::function<void()> read);
    void start_scheduling();
    void apply_listing(std::vector<kv_item> const& items);
    void apply_change(kv_change const& change);
    void apply_job(kv_item const& item);
    void plan();
    void log_events();
    void log_estimates();
    void log_lapse(scheduling_event const& event);

    struct recorded_progress
    {
        graph_snapshot snapshot;
        kv_revision revision = 0;
    };

    event_loop& loop_;
    kv_store const& store_;
    scheduler_term term_;
    scheduler_limits limits_;
    schedule_policy policy_;
    observer callbacks_;
    std::map<job_id, recorded_progress> progress_;
    std::map<worker_id, kv_revision> recorded_workers_;
    std::unique_ptr<graph_scheduler> scheduler_;
    std::unique_ptr<record_writer> writer_;
    std::unique_ptr<prefix_watch> jobs_;
    event_id tick_ = 0;
    bool is_plan_due_ = false;
    monotonic_time estimates_due_{};
    /// True once it was logged that all recorded workers are accounted for.
    bool is_settled_ = false;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
