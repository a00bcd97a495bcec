/// Assigns the tasks of all jobs to workers, and decides which job progress is
/// written to the store.
#ifndef SYCAMORESPAR_GRAPH_SCHEDULER_HPP
#define SYCAMORESPAR_GRAPH_SCHEDULER_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/graph_progress.hpp"
#include "libsycamorespar/runner_messages.hpp"
#include "libsycamorespar/waiting_queue.hpp"
#include "libsycamorespar/worker_ranking.hpp"
#include "libsycamorespar/worker_registry.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// The configuration of one queue.
struct queue_policy
{
    /// The pool whose workers run its tasks.
    pool_id pool;
    /// Lower values are placed first; zero is the highest priority.
    std::int32_t priority = 0;
    /// Failed runs of one task after which its job fails.
    std::uint32_t max_failures = 1;

    bool operator==(queue_policy const&) const = default;
};

/// The configuration of all queues and failure domains.
struct schedule_policy
{
    /// The queues.
    std::map<queue_id, queue_policy> queues;
    /// The failure domains that get no new work.
    std::set<failure_domain_id> closed_domains;
};

/// Limits of a scheduler.
struct scheduler_limits
{
    /// Lease that an answered report grants to a worker's runs, by the worker's
    /// clock.
    std::chrono::milliseconds lease_time{5500};
    /// Fraction by which a worker's clock may run slower than ours.
    double clock_drift = 0.02;
    /// Margin for clock resolution, added before a lease is considered
    /// lapsed.
    std::chrono::milliseconds lapse_margin{200};
    /// How long the previous leader may have gone on extending leases after it
    /// lost its leadership.
    std::chrono::milliseconds predecessor_grace{2500};
    /// Consecutive failed runs after which a worker enters a cooldown.
    std::uint32_t failures_before_cooldown = 3;
    /// The first cooldown of a failing worker; each further one doubles, up to
    /// the longest.
    std::chrono::milliseconds first_cooldown{1000};
    /// The longest cooldown.
    std::chrono::milliseconds longest_cooldown{8000};
    /// A backfill task of a job that has had no run for this long may be placed
    /// even where it causes contention; the runner then throttles it. In a pool
    /// of which most processors are reserved, only a few such runs may be live.
    std::chrono::milliseconds max_backfill_wait{1200};
    /// Where most processors of a pool are reserved, it may have one run that
    /// causes contention for this many workers, and at least one.
    std::size_t workers_per_contention_run = 32;
    /// A run that causes contention counts for this long at the most, so that
    /// one that stands still doesn't hold up the others for ever.
    std::chrono::milliseconds contention_turn{5000};
    /// Jobs of equal priority are ordered by virtual finish time: the arrival
    /// plus the time that the job's estimated work takes on this many
    /// thousandths of a core. Small jobs overtake large ones this way, but
    /// can't delay them for ever.
    std::int64_t virtual_rate_millicores = 4000;
    /// A backfill run that is throttled below this percentage of its full
    /// speed counts as slow.
    std::uint32_t slow_pace_percent = 60;
    /// A run that has been slow for this long is moved to a worker that
    /// tolerates it, if its task saves progress.
    std::chrono::milliseconds slow_pace_timeout{400};
    /// Starts that one pass orders at the most; the next pass goes on, after
    /// what has arrived meanwhile.
    std::uint64_t max_starts_per_pass = 128;
    /// Interval of what doesn't follow from a report: lapsed leases, moves, and
    /// backfill tasks that have waited too long.
    std::chrono::milliseconds housekeeping_interval{50};
    /// Cooldown of a worker on which a task has stalled.
    std::chrono::milliseconds stall_cooldown{2000};
    /// First cooldown of a worker that has refused a start, for example for
    /// lack of free capacity; doubles like that of a failing worker.
    std::chrono::milliseconds refusal_cooldown{100};
};

/// Progress of a job that must be written before the run ends that it contains
/// are acknowledged.
struct progress_record
{
    /// The job.
    job_id job;
    /// The version of its progress that is written.
    std::uint64_t version = 0;
    /// The progress to write.
    graph_snapshot snapshot;
};

/// A decision or an observation of the scheduler, for logs.
struct scheduling_event
{
    /// The type of event.
    enum class kind : std::uint8_t
    {
        /// A run was ordered.
        run_ordered,
        /// A run was ordered to stop.
        stop_ordered,
        /// A runner began a session; the orders of the one before are void.
        session_began,
        /// A run has ended, or was refused before it began.
        run_ended,
        /// The lease of a worker that had runs has lapsed; the runs are lost.
        lease_lapsed,
        /// A worker that had runs has left, or another incarnation of it has
        /// begun; the runs are lost.
        worker_gone,
        /// A job has ended; the end is not written to the store yet.
        job_ended,
        /// The tasks of a backfill step wait for another reason than before.
        backfill_waits,
        /// A backfill run was ordered where it causes contention.
        contention_accepted
    };
    /// What happened.
    kind type = kind::run_ordered;
    /// The run; only its job is set for job_ended, none for session_began,
    /// lease_lapsed and worker_gone.
    run_id run;
    /// The worker of the run, the session or the lease.
    worker_id worker;
    /// How the run ended; only for run_ended.
    run_end how = run_end::lost;
    /// The final phase of the job; only for job_ended.
    job_phase phase = job_phase::queued;
    /// Orders that no report had confirmed; only for session_began.
    std::size_t void_orders = 0;
    /// The number of runs that are lost; only for lease_lapsed and worker_gone.
    std::size_t lost_runs = 0;
    /// The time since the worker's last report; only for lease_lapsed and
    /// worker_gone.
    std::chrono::milliseconds silence{0};
    /// Why the tasks wait, or which image the run harms; only for
    /// backfill_waits and contention_accepted.
    backfill_wait wait = {};
    /// How long the job has had no run; only for contention_accepted.
    std::chrono::milliseconds waited{0};
};

/// Counters of the scheduler, for metrics.
struct schedule_counts
{
    /// Runs ordered.
    std::uint64_t ordered = 0;
    /// Backfill runs ordered where they cause contention.
    std::uint64_t accepted_contention = 0;
    /// Stops ordered.
    std::uint64_t stops = 0;
    /// Runs ended, by the way they ended.
    std::map<run_end, std::uint64_t> ended;
    /// Jobs ended, by final phase.
    std::map<job_phase, std::uint64_t> jobs_ended;
};

/// Schedules all jobs during one term as leader. Consumes runner reports, and
/// produces orders and progress records. Does no I/O; callers pass the time.
class graph_scheduler
{
public:
    /// \param recorded  the workers on which earlier schedulers may have
    /// started runs. Until each has reported or its lease has lapsed, no task
    /// of a job that was accepted before this term is started.
    graph_scheduler(
        scheduler_term term, std::vector<worker_id> const& recorded,
        scheduler_limits const& limits, monotonic_time now);

    /// This scheduler's term.
    scheduler_term term() const { return term_; }
    /// Applies a new configuration.
    void set_policy(schedule_policy policy);

    /// Adds a job; one that is already known is ignored.
    /// \param recorded  its progress as an earlier scheduler recorded it; null
    /// if there is none.
    /// \param accepted_in  the term in which it was accepted, as known to the
    /// process that accepted it.
    /// \return false if that term is later than this one: the job belongs to a
    /// successor, and this scheduler has lost its leadership.
    bool add_job(
        job_graph graph, graph_snapshot const* recorded,
        scheduler_term accepted_in, monotonic_time now);
    /// All jobs that were stored before this time are known, unless they have
    /// been removed since. A run or an end of a job that isn't known proves
    /// only then that there is no such job.
    void on_jobs_complete(monotonic_time until);
    /// Cancels a job; unknown ones are ignored.
    void cancel_job(job_id const& job);
    /// Removes a job that has ended and has no live runs; the caller does so
    /// after the retention period of its record.
    void drop_job(job_id const& job);

    /// Processes a runner's report.
    /// \return false if it is older than one that was processed before.
    bool on_report(runner_report const& report, monotonic_time now);
    /// The workers that must be recorded before they are given work.
    std::vector<worker_id> unrecorded_workers() const;
    /// The worker's record has been written.
    void on_worker_recorded(worker_id const& worker);
    /// Moves out the workers that have left, or that have been silent past the
    /// end of their lease. Their records may be deleted, so that no successor
    /// waits for them.
    std::vector<worker_id> take_forgotten_workers();
    /// The answer to the last report of a worker.
    /// \param extends  false if the lease of its runs must not be extended.
    runner_reply
    reply_to(worker_id const& worker, monotonic_time now, bool extends);
    /// True if a reply would do more than extend the lease.
    bool has_updates(worker_id const& worker) const;
    /// Moves out the workers for which a reply may do more than extend the
    /// lease; has_updates() tells for which it still does.
    std::set<worker_id> take_updated_workers();

    /// Ends the runs of workers whose lease has lapsed, opens due occurrences,
    /// and places or moves tasks.
    /// \param time_of_day  since 1970.
    /// \param confirmed_at  the latest time at which this scheduler is known to
    /// have been the leader, at most `now`. A lease that was over by then has
    /// lapsed; a later one may have been extended by a successor.
    /// \return false if the pass ended early, and another one is due.
    bool plan(
        monotonic_time now, std::chrono::milliseconds time_of_day,
        monotonic_time confirmed_at);

    /// Moves out the progress to write, oldest change first, each job once.
    std::vector<progress_record> take_records(std::size_t most);
    /// The progress of a job was written.
    void on_recorded(job_id const& job, std::uint64_t version);
    /// The progress of a job was not written; take_records() returns it again.
    void on_not_recorded(job_id const& job);

    /// The phase of a job; none if the job is unknown. A final phase is only
    /// returned once it is recorded, so that it never reverts.
    std::optional<job_phase> phase_of(job_id const& job) const;
    /// The number of accepted jobs of a queue of which no task has started.
    std::size_t pending(queue_id const& queue) const;
    /// The number of jobs that have not ended.
    std::size_t open_jobs() const;
    /// The number of live runs whose job has ended; they are being stopped.
    std::size_t runs_of_ended_jobs() const;
    /// The number of tasks that wait for a worker.
    std::size_t waiting_tasks() const { return waiting_.size(); }
    /// The workers, for metrics and tests.
    worker_registry const& workers() const { return workers_; }
    /// Moves out the events since the last call, oldest first.
    std::vector<scheduling_event> take_events();
    /// The counters of this term.
    schedule_counts const& counts() const { return counts_; }
    /// The number of tasks that wait for a worker, by priority of their queue.
    std::map<std::int32_t, std::size_t> waiting_by_priority() const
    {
        return waiting_.size_by_priority();
    }
    /// The number of backfill tasks that wait, by the reason.
    std::map<wait_reason, std::size_t> waiting_by_reason() const
    {
        return waiting_.backfill_by_reason();
    }
    /// Moves out the estimates of contention that have changed considerably
    /// since the last call, for logs.
    std::vector<contention_hint> take_changed_estimates()
    {
        return workers_.take_changed_estimates();
    }
    /// True once every worker on which an earlier scheduler may have started
    /// runs has reported, has left, or has had its lease lapse.
    bool is_settled() const { return unsettled_workers_.empty(); }

private:
    struct job_entry
    {
        graph_progress progress;
        queue_policy policy;
        /// Orders jobs of equal priority, lowest first.
        duration virtual_finish{0};
        bool is_accepted_this_term = false;
        std::uint64_t recorded_version = 0;
        std::map<run_id, worker_id> live_runs;
        monotonic_time idle_since{};
    };
    /// How much of a pool is in use.
    struct pool_use
    {
        std::size_t workers = 0;
        std::int64_t reserved_millicores = 0;
        std::int64_t millicores = 0;
        /// Backfill runs that were ordered where they cause contention.
        std::size_t contention_runs = 0;
    };
    /// A live run that was ordered where it causes contention.
    struct contention_run
    {
        pool_id pool;
        monotonic_time ordered_at{};
    };
    /// What one pass of placement knows.
    struct placement_pass
    {
        monotonic_time now;
        /// The workers that have changed since the last pass.
        std::vector<registered_worker*> changed;
        /// The number of runs ordered when the pass is to end.
        std::uint64_t last_start = 0;
        /// Backfill tasks that have waited too long are placed in this pass.
        bool includes_overdue = false;
    };

    job_entry* find_job(job_id const& job);
    job_entry const* find_job(job_id const& job) const;
    waiting_position
    position_of(job_entry const& job, task_id const& task) const;
    void enqueue(job_entry const& job, std::vector<task_id> const& due);
    void order_stop(registered_worker& worker, run_id const& run);
    void stop_live_runs(job_entry const& job);
    void stop_copies(job_entry const& job, task_id const& task);
    void mark_changed(job_id const& job);
    void emit_job_end(job_entry const& job);
    void emit_loss(
        scheduling_event::kind type, registered_worker const& worker,
        monotonic_time now);
    void end_run(
        registered_worker& worker, run_id const& run, run_end how,
        std::string const& checkpoint, monotonic_time now);
    void end_all_runs(registered_worker& worker, monotonic_time now);
    std::uint64_t next_token();
    void process_report(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void process_ends(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void process_end(
        registered_worker& worker, pending_end& end, monotonic_time now);
    void apply_late_finish(run_id const& run);
    void apply_late_failure(run_id const& run);
    void adopt_awaited(job_id const& job, monotonic_time now);
    void adopt_awaited_ends(
        registered_worker& worker, job_id const& job, monotonic_time now);
    void adopt_awaited_runs(registered_worker& worker, job_id const& job);
    bool awaits(registered_worker const& worker, job_id const& job) const;
    bool must_await_job(
        registered_worker& worker, run_id const& run, monotonic_time now);
    void process_runs(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void process_run(
        registered_worker& worker, run_report const& reported,
        monotonic_time now);
    void check_progress(
        registered_worker& worker, run_report const& reported,
        graph_step const& step, monotonic_time now);
    void
    stop_unknown_run(registered_worker& worker, run_report const& reported);
    void stop_unneeded_run(
        registered_worker& worker, placed_run& placed,
        run_report const& reported);
    void end_missing_runs(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void begin_incarnation(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void end_runs_of_incarnation(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    bool adopt_run(registered_worker& worker, run_id const& run);
    void update_health(
        registered_worker& worker, run_id const& run, run_end how,
        monotonic_time now);
    void expire_silent_workers(monotonic_time now, monotonic_time confirmed_at);
    bool has_lapsed(
        registered_worker const& worker, monotonic_time confirmed_at) const;
    void forget_silent_workers(monotonic_time now, monotonic_time confirmed_at);
    void process_leave(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void open_occurrences(std::chrono::milliseconds time_of_day);
    void keep_house(monotonic_time now, monotonic_time confirmed_at);
    bool place_waiting(placement_pass const& pass);
    void place_step(
        waiting_queue::container::iterator step, placement_pass const& pass);
    void place_gang_step(
        waiting_queue::container::iterator step, job_entry& job,
        placement_pass const& pass);
    void update_pool_uses(monotonic_time now);
    bool may_accept_contention(
        job_entry const& job, graph_step const& step, monotonic_time now) const;
    void note_wait(
        waiting_queue::container::iterator step, backfill_wait const& wait);
    void note_accepted_contention(
        run_id const& run, job_entry const& job, worker_id const& worker,
        backfill_wait const& contention, monotonic_time now);
    void place_tasks(
        waiting_queue::container::iterator step, job_entry& job,
        placement_pass const& pass);
    worker_ranking rank_workers(
        waiting_queue::container::iterator step, job_entry const& job,
        placement_pass const& pass, bool all);
    void move_slow_backfill_runs(monotonic_time now);
    void move_slow_run(registered_worker& worker, monotonic_time now);
    void update_slowed_since(
        placed_run& placed, std::uint32_t pace, monotonic_time now) const;
    bool place_gang(task_id const& any, job_entry& job, monotonic_time now);
    placement_query query_for(
        job_entry const& job, task_id const& task, monotonic_time now) const;
    placed_run placement_of(job_entry const& job, task_id const& task) const;
    void start_on(registered_worker& worker, run_id const& run, job_entry& job);
    void advance_acknowledgements(registered_worker& worker);

    scheduler_term term_;
    scheduler_limits limits_;
    schedule_policy policy_;
    worker_registry workers_;
    std::set<worker_id> unsettled_workers_;
    std::vector<worker_id> forgotten_workers_;
    monotonic_time settled_at_;
    std::map<job_id, job_entry> jobs_;
    waiting_queue waiting_;
    std::vector<job_id> write_queue_;
    std::set<job_id> unwritten_;
    std::set<job_id> scheduled_jobs_;
    /// Jobs that aren't known yet, and the workers that have reported runs or
    /// ends of them.
    std::map<job_id, std::set<worker_id>> awaited_jobs_;
    monotonic_time jobs_complete_until_{};
    /// Workers with ends that are not acknowledged.
    std::set<worker_id> workers_with_ends_;
    /// Workers for which a reply may do more than extend the lease.
    std::set<worker_id> updated_workers_;
    monotonic_time housekeeping_due_{};
    std::uint64_t session_count_ = 0;
    /// As of the last housekeeping, with the runs ordered since.
    std::map<pool_id, pool_use> pool_uses_;
    std::map<run_id, contention_run> contention_runs_;
    std::vector<scheduling_event> events_;
    schedule_counts counts_;
};

} // namespace sycamorespar

#endif
