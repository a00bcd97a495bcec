/// The scheduler's state of each worker, and the choice of a worker for a task.
#ifndef SYCAMORESPAR_WORKER_REGISTRY_HPP
#define SYCAMORESPAR_WORKER_REGISTRY_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/runner_messages.hpp"
#include "libsycamorespar/stall_detector.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// A run that occupies capacity on a worker.
struct placed_run
{
    /// Resources that it reserves.
    resources need;
    /// Properties of its task that its runner needs.
    task_facts facts;
    /// Number of its start order; zero if it was found running in a report.
    std::uint64_t order = 0;
    /// A stop order has been queued.
    bool is_stopping = false;
    /// Its runner has been sent the properties of its task.
    bool is_described = false;
    /// Last reported progress, in percent.
    std::uint32_t percent = 0;
    /// Last measurement: the tail latency in milliseconds of a serving task,
    /// otherwise the processors in use, in millicores.
    std::int64_t measurement = 0;
    /// When a report first listed it; empty until then.
    std::optional<monotonic_time> reported_at;
    /// Since when its runner has throttled it; empty if it is not throttled.
    std::optional<monotonic_time> slowed_since;
};

/// The end of a run that is not stored yet.
struct pending_end
{
    /// Job of the run.
    job_id job;
    /// Version of the job's progress that includes the end.
    std::uint64_t version = 0;
};

/// A worker and its runner.
struct registered_worker
{
    /// Identifies the worker.
    worker_id id;
    /// Capacity, labels and location as the worker announces them.
    worker_facts facts;
    /// Incarnation of its runner that reported last.
    incarnation runner;
    /// Sequence number of the last report processed from that incarnation.
    std::uint64_t last_sequence = 0;
    /// Fencing token of this runner in this term.
    std::uint64_t token = 0;
    /// The runner has sent its complete list of runs in this term.
    bool is_listed = false;
    /// The worker responds to its runner.
    bool is_reachable = true;
    /// The worker's record is in the store.
    bool is_recorded = false;
    /// The worker has left; its record is to be deleted.
    bool is_forgotten = false;
    /// Runs that occupy capacity, including those that are being stopped.
    std::map<run_id, placed_run> runs;
    /// Runs that belong to no job and are being stopped.
    std::set<run_id> unknown_runs;
    /// Orders that no report has confirmed yet.
    std::vector<runner_order> orders;
    /// Number of the last order sent in a reply since the last report.
    std::uint64_t sent_through = 0;
    /// Number of the next order.
    std::uint64_t next_order = 1;
    /// Ends that were processed but not acknowledged, by number.
    std::map<std::uint64_t, pending_end> ends;
    /// Number of the last end that was processed.
    std::uint64_t last_end = 0;
    /// Ends up to this number are stored.
    std::uint64_t ended_through = 0;
    /// Ends up to this number were acknowledged in the last reply.
    std::uint64_t acknowledged_through = 0;
    /// The runner has not been sent its token yet.
    bool has_new_token = false;
    /// When the last report was processed.
    monotonic_time last_report_at{};
    /// Latest time at which its runs may still be running; each reply to a
    /// report extends it.
    monotonic_time runs_expire_at{};
    /// Consecutive failed runs.
    std::uint32_t failures_in_row = 0;
    /// Jobs of these failed runs.
    std::set<job_id> failing_jobs;
    /// Cooldowns since the last run that succeeded.
    std::uint32_t cooldowns = 0;
    /// Tracks the progress of its runs.
    stall_detector progress;
    /// The worker gets no new runs before this time.
    monotonic_time cooldown_until{};

    /// Sum of what its runs reserve.
    resources reserved() const;
    /// Processors that its backfill tasks use at full speed, in millicores.
    std::int64_t backfill_millicores() const;
    /// When the contention model last learned from this worker.
    monotonic_time model_updated_at{};
    /// True if the worker has this label.
    bool has_label(std::string const& label) const;
    /// Adds the run and queues its start order under the next number.
    void order_start(
        run_id const& run, std::string payload, std::string checkpoint,
        placed_run const& placed, std::vector<contention_hint> hints);
    /// Queues a stop order.
    /// \return false if the run is already being stopped.
    bool order_stop(run_id const& run);
    /// True if a stop order for the run is not confirmed yet.
    bool has_stop_order(run_id const& run) const;
    /// Resets the session for a new incarnation of the runner, which has
    /// received no orders.
    void begin_session(incarnation started, std::uint64_t new_token);
    /// Removes the orders that the runner has confirmed.
    void confirm_orders(std::uint64_t through);
};

/// The requirements of a task for its worker.
struct placement_query
{
    /// Pool that the worker must belong to.
    pool_id pool;
    /// Resources that the task reserves.
    resources need;
    /// True for a backfill task, which only uses idle processors.
    bool fills = false;
    /// Idle processors that a backfill task uses at full speed, in millicores.
    std::int64_t backfill_millicores = 0;
    /// Image that it runs.
    std::string image;
    /// A backfill task may be placed where it slows serving tasks.
    bool allows_contention = false;
    /// True for a serving task, which has a latency target.
    bool serves = false;
    /// Label that the worker must have; empty for none.
    std::string required_label;
    /// Rack that is preferred; empty for none.
    rack_id preferred_rack;
    /// Step that `max_per_worker` applies to; the task index is ignored.
    task_id step;
    /// Maximum tasks of the step on one worker; zero for no limit.
    std::uint32_t max_per_worker = 0;
    /// Workers that must not be chosen.
    std::set<worker_id> excluded;
};

/// All workers, and the contention model that placement uses.
class worker_registry
{
public:
    /// Returns the worker; creates it if it is not registered.
    registered_worker& at(worker_id const& id) { return workers_[id]; }
    /// Returns the worker, or null if it is not registered.
    registered_worker* find(worker_id const& id);
    /// Returns the worker, or null if it is not registered.
    registered_worker const* find(worker_id const& id) const;
    /// All workers by id.
    std::map<worker_id, registered_worker>& all() { return workers_; }
    /// All workers by id.
    std::map<worker_id, registered_worker> const& all() const
    {
        return workers_;
    }

    /// Chooses the best worker for a task; null if none can take it now.
    registered_worker* choose(
        placement_query const& query,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);
    /// Chooses another worker for a backfill task, only one where it can run at
    /// full speed without slowing serving tasks; null if there is none.
    registered_worker* choose_alternative(
        placement_query query, worker_id const& current,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);
    /// Updates the contention model with the measurements of a worker.
    void update_contention(registered_worker& worker, monotonic_time now);
    /// Estimates of the contention that a backfill image causes to each serving
    /// image on a worker.
    std::vector<contention_hint>
    hints_for(registered_worker const& worker, std::string const& image) const;

private:
    double contention_headroom(
        registered_worker const& worker, placement_query const& query,
        monotonic_time now) const;
    double score(
        registered_worker const& worker, placement_query const& query,
        monotonic_time now) const;

    std::map<worker_id, registered_worker> workers_;
    contention_model contention_;
};

} // namespace sycamorespar

#endif
