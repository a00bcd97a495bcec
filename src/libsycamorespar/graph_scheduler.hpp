/// Decides which task runs on which worker, and what is recorded of it.
#ifndef SYCAMORESPAR_GRAPH_SCHEDULER_HPP
#define SYCAMORESPAR_GRAPH_SCHEDULER_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/graph_progress.hpp"
#include "libsycamorespar/runner_messages.hpp"
#include "libsycamorespar/worker_registry.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// What the configuration says of a queue.
struct queue_policy
{
    /// The workers that run its tasks.
    pool_id pool;
    /// Zero comes first.
    std::int32_t priority = 0;
    /// Runs of a task that may fail.
    std::uint32_t max_failures = 1;

    bool operator==(queue_policy const&) const = default;
};

/// What the configuration says of all queues and failure domains.
struct schedule_policy
{
    /// The queues.
    std::map<queue_id, queue_policy> queues;
    /// The failure domains that are to get no new work.
    std::set<failure_domain_id> closed_domains;
};

/// Limits of a scheduler.
struct scheduler_limits
{
    /// How long an answered report lets a worker's runs go on, by the worker's
    /// clock.
    std::chrono::milliseconds hold{5500};
    /// A worker's clock may be slower than ours by this part.
    double clock_drift = 0.02;
    /// Added to each proof by time, for the coarseness of clocks.
    std::chrono::milliseconds proof_margin{200};
    /// How long the scheduler before this one may have gone on answering
    /// reports after it lost its office.
    std::chrono::milliseconds former_office{2500};
    /// Failed runs in a row after which a worker is left alone.
    std::uint32_t failures_before_rest = 3;
    /// The first rest of a failing worker; doubles up to the longest.
    std::chrono::milliseconds first_rest{1000};
    /// The longest rest.
    std::chrono::milliseconds longest_rest{8000};
    /// A filler of a job that has had nothing running for this long is placed
    /// even where it harms; its runner then slows it.
    std::chrono::milliseconds backfill_wait{1200};
    /// Small jobs come before large ones: a job's turn is its arrival and the
    /// time that its work would take on this many thousandths of a core.
    std::int64_t turn_millicores = 4000;
    /// A filler that is held back below this part of its speed, in percent...
    std::uint32_t slow_pace = 60;
    /// ...for this long moves to a worker that bears it, if it keeps what it
    /// has saved.
    std::chrono::milliseconds slow_patience{400};
    /// A worker on which a task stands still gets no new ones for this long.
    std::chrono::milliseconds stall_rest{2000};
    /// A worker without room for a task is not asked again for this long.
    std::chrono::milliseconds full_pause{100};
};

/// A change that must be recorded before the ends it rests on are
/// acknowledged.
struct progress_record
{
    /// The job.
    job_id job;
    /// The version of its progress that is written.
    std::uint64_t version = 0;
    /// What is written.
    graph_snapshot snapshot;
};

/// What the scheduler decided or learned, for logs.
struct schedule_note
{
    /// What happened.
    enum class kind : std::uint8_t
    {
        /// A run was ordered.
        run_ordered,
        /// A run has ended, or is known never to have begun.
        run_ended,
        /// A job has ended; its record is yet to be written.
        job_ended
    };
    /// What happened.
    kind is = kind::run_ordered;
    /// The run; only its job where a job ended.
    run_id run;
    /// The worker of the run.
    worker_id worker;
    /// How the run ended.
    run_end how = run_end::lost;
    /// How the job ended.
    job_phase phase = job_phase::queued;
};

/// What the scheduler counts, for metrics.
struct schedule_counts
{
    /// Runs ordered.
    std::uint64_t ordered = 0;
    /// Runs ended, by how.
    std::map<run_end, std::uint64_t> ended;
    /// Jobs ended, by how.
    std::map<job_phase, std::uint64_t> jobs_ended;
};

/// The scheduler of all jobs, while it holds the office. Reports go in, orders
/// and records come out; time is handed in.
class graph_scheduler
{
public:
    /// \param recorded  the workers on which earlier schedulers may have
    /// started runs. Until each has reported or its runs have lapsed, no task
    /// of a job that an earlier scheduler may have known is started.
    graph_scheduler(
        scheduler_term term, std::vector<worker_id> const& recorded,
        scheduler_limits const& limits, monotonic_time now);

    /// This scheduler's term.
    scheduler_term term() const { return term_; }
    /// Puts a configuration in force.
    void set_policy(schedule_policy policy);

    /// Takes up a job.
    /// \param recorded  its progress, where an earlier scheduler recorded any.
    /// \param accepted_in  the term in which it was accepted, as far as known.
    /// \return false where that term is later than this one: the job is a
    /// successor's, and this scheduler has lost its office.
    bool add_job(
        job_graph graph, graph_snapshot const* recorded,
        scheduler_term accepted_in, monotonic_time now);
    /// Cancels a job; unknown ones are ignored.
    void cancel_job(job_id const& job);
    /// Forgets a job whose end is recorded and has been kept long enough.
    void drop_job(job_id const& job);

    /// Takes in a runner's report.
    /// \return false where it is older than one that was taken in before.
    bool on_report(runner_report const& report, monotonic_time now);
    /// The workers that must be recorded before they are given work.
    std::vector<worker_id> unrecorded_workers() const;
    /// The worker is recorded.
    void on_worker_recorded(worker_id const& worker);
    /// The workers whose runs are all over and which have been silent since:
    /// their records may go, so that no successor waits for them.
    std::vector<worker_id> take_forgotten_workers();
    /// The answer to the last report of a worker.
    /// \param extends  false where its runs must not be let go on.
    runner_reply
    reply_to(worker_id const& worker, monotonic_time now, bool extends);
    /// True where a reply would bring the runner more than time.
    bool has_news(worker_id const& worker) const;

    /// Opens due occurrences, counts out silent workers and places tasks.
    /// \param time_of_day  since 1970.
    void plan(monotonic_time now, std::chrono::milliseconds time_of_day);

    /// The progress that is to be recorded, oldest change first; each job once.
    std::vector<progress_record> take_records(std::size_t most);
    /// The record of a job was written.
    void on_recorded(job_id const& job, std::uint64_t version);
    /// The record of a job was not written; it is offered again.
    void on_not_recorded(job_id const& job);

    /// Where a job stands; none where it isn't known.
    std::optional<job_phase> phase_of(job_id const& job) const;
    /// Accepted jobs of a queue of which no task has started.
    std::size_t pending(queue_id const& queue) const;
    /// Jobs that have not ended.
    std::size_t open_jobs() const;
    /// Tasks that wait for a place.
    std::size_t waiting_tasks() const { return waiting_.size(); }
    /// The workers, for metrics and tests.
    worker_registry const& workers() const { return workers_; }
    /// What was decided or learned since the last call, oldest first.
    std::vector<schedule_note> take_notes();
    /// What happened so far.
    schedule_counts const& counts() const { return counts_; }
    /// Tasks that wait for a place, by the priority of their queue.
    std::map<std::int32_t, std::size_t> waiting_by_priority() const;
    /// True where every recorded worker is accounted for.
    bool is_settled() const { return unsettled_.empty(); }

private:
    struct job_entry
    {
        graph_progress progress;
        queue_policy policy;
        /// Jobs with a lower one come first among equals.
        duration turn{0};
        bool is_fresh = false;
        std::uint64_t recorded_version = 0;
        std::map<run_id, worker_id> live;
        monotonic_time idle_since{};
    };
    struct waiting_task
    {
        std::int32_t priority = 0;
        bool is_short_lived = true;
        duration turn{0};
        task_id task;
        auto operator<=>(waiting_task const&) const = default;
    };

    job_entry* find_job(job_id const& job);
    job_entry const* find_job(job_id const& job) const;
    waiting_task waiting_entry(job_entry const& job, task_id const& id) const;
    void wait_for_place(job_entry const& job, std::vector<task_id> const& due);
    void stop_live_runs(job_entry const& job);
    void stop_copies(job_entry const& job, task_id const& task);
    void mark_changed(job_id const& job);
    void note_job_end(job_entry const& job);
    void end_run(
        registered_worker& worker, run_id const& run, run_end how,
        std::string const& checkpoint, monotonic_time now);
    void end_all_runs(registered_worker& worker, monotonic_time now);
    void take_ends(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void note_late_failure(run_id const& run);
    void take_runs(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void take_run(
        registered_worker& worker, run_report const& reported,
        monotonic_time now);
    void watch_progress(
        registered_worker& worker, run_report const& reported,
        graph_step const& step, monotonic_time now);
    void take_stranger(registered_worker& worker, run_id const& run);
    void end_missing_runs(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void begin_life(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    bool adopt(registered_worker& worker, run_id const& run);
    void note_health(
        registered_worker& worker, run_id const& run, run_end how,
        monotonic_time now);
    void count_out_silent(monotonic_time now);
    bool has_lapsed(registered_worker const& worker, monotonic_time now) const;
    void forget_silent(monotonic_time now);
    void take_leave(
        registered_worker& worker, runner_report const& report,
        monotonic_time now);
    void open_occurrences(std::chrono::milliseconds time_of_day);
    void place_waiting(monotonic_time now);
    void move_slow_backfill_tasks(monotonic_time now);
    void
    note_pace(placed_run& placed, std::uint32_t pace, monotonic_time now) const;
    bool place(task_id const& task, job_entry& job, monotonic_time now);
    bool place_gang(task_id const& any, job_entry& job, monotonic_time now);
    placement_query query_for(
        job_entry const& job, task_id const& task, monotonic_time now) const;
    placed_run place_of(job_entry const& job, task_id const& task) const;
    void start_on(registered_worker& worker, run_id const& run, job_entry& job);
    void advance_acknowledgements(registered_worker& worker);

    scheduler_term term_;
    scheduler_limits limits_;
    schedule_policy policy_;
    worker_registry workers_;
    std::set<worker_id> unsettled_;
    std::vector<worker_id> forgotten_;
    monotonic_time settled_at_;
    std::map<job_id, job_entry> jobs_;
    std::set<waiting_task> waiting_;
    std::vector<job_id> changed_;
    std::set<job_id> is_changed_;
    std::set<job_id> on_schedule_;
    std::uint64_t sessions_ = 0;
    std::vector<schedule_note> notes_;
    schedule_counts counts_;
};

} // namespace sycamorespar

#endif
