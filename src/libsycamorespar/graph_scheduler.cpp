/// Starts are not written to the store before they are sent. The running runs
/// are known from the runners, which list every run that may use resources. A
/// new leader therefore waits for the list of each recorded worker, or for its
/// lease to lapse, before it starts a task that the previous leader may have
/// started.
///
/// The end of a run is acknowledged only after job progress that contains it is
/// written. Until then the worker keeps listing it, also to a successor.
///
/// A runner may report a run of a job that this scheduler doesn't know yet: a
/// predecessor that had lost its leadership without knowing has accepted it and
/// started its tasks. Such a run is neither stopped nor acknowledged before all
/// jobs are known that had been stored by then.
#include "libsycamorespar/graph_scheduler.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sycamorespar {

namespace {

/// A token is the term's number times this, plus the number of the session, so
/// that tokens of a later term are higher.
constexpr std::uint64_t sessions_per_term = 1U << 16U;

/// Failures of at least this many different jobs put the blame on the worker;
/// a single job may fail on every worker.
constexpr std::size_t min_failing_jobs = 2;

/// A pool of which more than this part of the processors is reserved is busy.
constexpr double busy_part = 0.6;

/// False for a runner to which its worker has not listed its runs yet.
bool is_confirmed(runner_report const& report)
{
    return !(report.facts.incarnation == worker_incarnation{});
}

duration stretched(std::chrono::milliseconds span, double by)
{
    auto const stretch = static_cast<double>(span.count()) * (1.0 + by);
    return std::chrono::milliseconds(static_cast<std::int64_t>(stretch) + 1);
}

/// The estimated work of one occurrence, in thousandths of a core-millisecond.
/// Long-running tasks add nothing.
double work_of(job_graph const& graph)
{
    double sum = 0.0;
    for (auto const& step : graph.steps) {
        if (!step.long_running)
            sum += static_cast<double>(step.count) *
                   static_cast<double>(step.need.millicores) *
                   static_cast<double>(step.estimate.count());
    }
    return sum;
}

/// The time that the work takes on this many thousandths of a core.
duration work_time(double work, std::int64_t millicores)
{
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(work / static_cast<double>(millicores)));
}

} // namespace

graph_scheduler::graph_scheduler(
    scheduler_term term, std::vector<worker_id> const& recorded,
    scheduler_limits const& limits, monotonic_time now)
    : term_(term), limits_(limits),
      unsettled_workers_(recorded.begin(), recorded.end()),
      settled_at_(
          now +
          stretched(
              limits.lease_time + limits.predecessor_grace,
              limits.clock_drift) +
          limits.lapse_margin)
{
    if (recorded.empty())
        settled_at_ = now;
    for (auto const& id : recorded) {
        workers_.at(id).id = id;
        workers_.at(id).is_recorded = true;
    }
}

void graph_scheduler::set_policy(schedule_policy policy)
{
    policy_ = std::move(policy);
    bool must_sort = false;
    for (auto& [id, job] : jobs_) {
        auto const found = policy_.queues.find(job.progress.graph().queue);
        // Jobs of a queue that was removed keep its last policy.
        if (found == policy_.queues.end() || found->second == job.policy)
            continue;
        must_sort = must_sort || found->second.priority != job.policy.priority;
        job.policy = found->second;
    }
    waiting_.forget_full_steps();
    if (!must_sort)
        return;
    waiting_.clear();
    for (auto const& [id, job] : jobs_)
        enqueue(job, job.progress.due_tasks());
}

graph_scheduler::job_entry* graph_scheduler::find_job(job_id const& job)
{
    auto const found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

graph_scheduler::job_entry const*
graph_scheduler::find_job(job_id const& job) const
{
    auto const found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

bool graph_scheduler::add_job(
    job_graph graph, graph_snapshot const* recorded, scheduler_term accepted_in,
    monotonic_time now)
{
    if (accepted_in > term_)
        return false;
    if (find_job(graph.id) != nullptr)
        return true;
    queue_policy policy;
    if (auto const found = policy_.queues.find(graph.queue);
        found != policy_.queues.end())
        policy = found->second;
    auto const id = graph.id;
    auto const graph_work = work_of(graph);
    job_entry entry{
        graph_progress(std::move(graph), policy.max_failures),
        policy,
        now.time_since_epoch() +
            work_time(graph_work, limits_.virtual_rate_millicores),
        accepted_in == term_,
        0,
        {},
        now};
    if (!entry.is_accepted_this_term)
        entry.progress.restore(
            recorded == nullptr ? graph_snapshot{} : *recorded);
    entry.recorded_version = entry.progress.version();
    auto const& added = jobs_.emplace(id, std::move(entry)).first->second;
    adopt_awaited(id, now);
    if (added.progress.next_due())
        scheduled_jobs_.insert(id);
    enqueue(added, added.progress.due_tasks());
    return true;
}

void graph_scheduler::cancel_job(job_id const& job)
{
    auto* const found = find_job(job);
    if (found == nullptr || is_final(found->progress.phase()))
        return;
    found->progress.cancel();
    waiting_.erase_job(position_of(*found, {job, 0, 0, 0}));
    emit_job_end(*found);
    stop_live_runs(*found);
    mark_changed(job);
}

void graph_scheduler::drop_job(job_id const& job)
{
    auto const* const found = find_job(job);
    if (found == nullptr || !is_final(found->progress.phase()) ||
        !found->live_runs.empty())
        return;
    jobs_.erase(job);
    scheduled_jobs_.erase(job);
}

waiting_position
graph_scheduler::position_of(job_entry const& job, task_id const& task) const
{
    // Long-running tasks go before others of equal priority: their users are
    // without service from the moment that they become due.
    return {
        job.policy.priority,
        !job.progress.step_of(task).long_running,
        job.virtual_finish,
        {task.job, task.occurrence, task.step, 0}};
}

void graph_scheduler::enqueue(
    job_entry const& job, std::vector<task_id> const& due)
{
    for (auto const& task : due)
        waiting_.insert(position_of(job, task), task.index);
}

void graph_scheduler::order_stop(registered_worker& worker, run_id const& run)
{
    if (!worker.order_stop(run))
        return;
    updated_workers_.insert(worker.id);
    ++counts_.stops;
    events_.push_back(
        {scheduling_event::kind::stop_ordered, run, worker.id, {}, {}, 0});
}

void graph_scheduler::stop_live_runs(job_entry const& job)
{
    for (auto const& [run, worker] : job.live_runs)
        order_stop(workers_.at(worker), run);
}

void graph_scheduler::stop_copies(job_entry const& job, task_id const& task)
{
    for (auto const& [run, worker] : job.live_runs) {
        if (run.task == task)
            order_stop(workers_.at(worker), run);
    }
}

void graph_scheduler::mark_changed(job_id const& job)
{
    if (unwritten_.insert(job).second)
        write_queue_.push_back(job);
}

std::uint64_t graph_scheduler::next_token()
{
    return term_.value * sessions_per_term + ++session_count_;
}

bool graph_scheduler::on_report(runner_report const& report, monotonic_time now)
{
    auto& worker = workers_.at(report.worker);
    bool const is_older_incarnation =
        is_confirmed(report) &&
        report.facts.incarnation.born < worker.facts.incarnation.born;
    bool const is_older_report = worker.runner == report.runner &&
                                 report.sequence <= worker.last_sequence;
    if (is_older_incarnation || is_older_report)
        return false;
    process_report(worker, report, now);
    workers_.on_changed(worker);
    updated_workers_.insert(worker.id);
    return true;
}

void graph_scheduler::process_report(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    if (worker.runner != report.runner) {
        events_.push_back(
            {scheduling_event::kind::session_began,
             {},
             worker.id,
             {},
             {},
             worker.orders.size()});
        worker.begin_session(report.runner, next_token());
    }
    worker.last_sequence = report.sequence;
    worker.last_report_at = now;
    worker.is_reachable = report.is_reachable;
    worker.is_confirmed = is_confirmed(report);
    if (is_confirmed(report)) {
        if (!(worker.facts.incarnation == report.facts.incarnation))
            begin_incarnation(worker, report, now);
        worker.facts = report.facts;
    }
    if (report.facts.has_left) {
        process_leave(worker, report, now);
        return;
    }
    if (report.token != worker.token) {
        worker.has_new_token = true;
        return;
    }
    worker.has_new_token = false;
    worker.confirm_orders(report.last_order);
    // A worker with many ends lists the others, and then its runs, only once
    // the first ones are acknowledged.
    process_ends(worker, report, now);
    if (!report.is_listed)
        return;
    for (auto const& refusal : report.refusals)
        end_run(worker, refusal.run, run_end::refused, {}, now);
    process_runs(worker, report, now);
    workers_.update_contention(worker, now);
    worker.is_listed = true;
    unsettled_workers_.erase(worker.id);
}

// A worker that has left can't list its runs under a new token, so its leave is
// processed under any token. Otherwise each later leader would wait for it
// again.
void graph_scheduler::process_leave(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    worker.has_new_token = false;
    worker.confirm_orders(report.last_order);
    process_ends(worker, report, now);
    emit_loss(scheduling_event::kind::worker_gone, worker, now);
    end_all_runs(worker, now);
    worker.orders.clear();
    worker.is_listed = false;
    unsettled_workers_.erase(worker.id);
    if (!std::exchange(worker.is_forgotten, true))
        forgotten_workers_.push_back(worker.id);
}

void graph_scheduler::begin_incarnation(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    emit_loss(scheduling_event::kind::worker_gone, worker, now);
    end_runs_of_incarnation(worker, report, now);
    worker.ends.clear();
    worker.last_end = 0;
    worker.ended_through = 0;
    worker.acknowledged_through = 0;
    worker.unknown_runs.clear();
    worker.failures_in_row = 0;
    worker.failing_jobs.clear();
    worker.is_listed = false;
    // Orders for the previous incarnation are void; their numbers are not
    // reused under the same token.
    worker.orders.clear();
    worker.facts = report.facts;
    // What was sent to the previous incarnation may yet reach this one, which
    // may have the same name: starts, acknowledgements of ends, and leases by
    // another clock. Once this one has seen a higher token, it refuses them.
    if (report.token == worker.token)
        worker.assign_token(next_token());
    if (!std::exchange(worker.is_forgotten, false))
        return;
    // Its record has been deleted or is about to be.
    worker.is_recorded = false;
    std::erase(forgotten_workers_, worker.id);
}

void graph_scheduler::end_all_runs(
    registered_worker& worker, monotonic_time now)
{
    worker.undecided_runs.clear();
    std::vector<run_id> ended;
    for (auto const& [run, placed] : worker.runs)
        ended.push_back(run);
    for (auto const& run : ended)
        end_run(worker, run, run_end::lost, {}, now);
}

// The runner names the runs that the next incarnation may have begun, as their
// starts were sent under the name that it has as well.
void graph_scheduler::end_runs_of_incarnation(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    std::set<run_id> kept;
    for (auto const& each : report.runs)
        kept.insert(each.run);
    std::erase_if(worker.undecided_runs, [&](auto const& entry) {
        return !kept.contains(entry.first);
    });
    std::vector<run_id> ended;
    worker.runs.visit([&](run_id const& run, placed_run& placed) {
        placed.order = 0;
        placed.is_stopping = false;
        if (!kept.contains(run))
            ended.push_back(run);
    });
    for (auto const& run : ended)
        end_run(worker, run, run_end::lost, {}, now);
}

bool graph_scheduler::adopt_run(registered_worker& worker, run_id const& run)
{
    auto* const job = find_job(run.task.job);
    if (job == nullptr)
        return false;
    // Two schedulers may have used the same number for runs on two workers.
    auto const known = job->live_runs.find(run);
    if (known != job->live_runs.end() && known->second != worker.id)
        return false;
    // Its occurrence may not be open yet by this scheduler's time of day.
    enqueue(*job, job->progress.open_through(run.task.occurrence));
    if (!job->progress.adopt_run(run))
        return false;
    job->live_runs.emplace(run, worker.id);
    worker.runs.insert(run, placement_of(*job, run.task));
    return true;
}

void graph_scheduler::process_ends(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    for (auto const& end : report.ends) {
        if (end.number <= worker.last_end)
            continue;
        worker.last_end = end.number;
        auto& pending = worker.ends[end.number];
        pending = {end.run, end.how, end.checkpoint, now, std::nullopt};
        worker.undecided_runs.erase(end.run);
        if (find_job(end.run.task.job) != nullptr)
            process_end(worker, pending, now);
        else
            awaited_jobs_[end.run.task.job].insert(worker.id);
        workers_with_ends_.insert(worker.id);
    }
    advance_acknowledgements(worker);
}

// The end may be the first report of the run to this scheduler.
void graph_scheduler::process_end(
    registered_worker& worker, pending_end& end, monotonic_time now)
{
    if (worker.runs.contains(end.run) || adopt_run(worker, end.run))
        end_run(worker, end.run, end.how, end.checkpoint, now);
    else if (end.how == run_end::failed)
        apply_late_failure(end.run);
    else if (end.how == run_end::finished)
        apply_late_finish(end.run);
    end.version = find_job(end.run.task.job)->progress.version();
}

// Runs of jobs that don't exist are stopped as their runners report them again.
void graph_scheduler::on_jobs_complete(monotonic_time until)
{
    jobs_complete_until_ = std::max(jobs_complete_until_, until);
    for (auto next = awaited_jobs_.begin(); next != awaited_jobs_.end();) {
        auto& reporters = next->second;
        std::erase_if(reporters, [&](worker_id const& id) {
            auto* const worker = workers_.find(id);
            if (worker == nullptr)
                return true;
            advance_acknowledgements(*worker);
            return !awaits(*worker, next->first);
        });
        next = reporters.empty() ? awaited_jobs_.erase(next) : std::next(next);
    }
}

bool graph_scheduler::awaits(
    registered_worker const& worker, job_id const& job) const
{
    bool const has_run = std::any_of(
        worker.undecided_runs.begin(), worker.undecided_runs.end(),
        [&](auto const& entry) {
            return entry.first.task.job == job &&
                   entry.second > jobs_complete_until_;
        });
    return has_run ||
           std::any_of(
               worker.ends.begin(), worker.ends.end(), [&](auto const& entry) {
                   auto const& end = entry.second;
                   return end.run.task.job == job && !end.version &&
                          end.reported_at > jobs_complete_until_;
               });
}

// Ends go first: a task whose run has ended may have a later one on another
// worker.
void graph_scheduler::adopt_awaited(job_id const& job, monotonic_time now)
{
    auto const found = awaited_jobs_.find(job);
    if (found == awaited_jobs_.end())
        return;
    auto const reporters = std::move(found->second);
    awaited_jobs_.erase(found);
    for (auto const& id : reporters) {
        if (auto* const worker = workers_.find(id))
            adopt_awaited_ends(*worker, job, now);
    }
    for (auto const& id : reporters) {
        if (auto* const worker = workers_.find(id))
            adopt_awaited_runs(*worker, job);
    }
}

void graph_scheduler::adopt_awaited_ends(
    registered_worker& worker, job_id const& job, monotonic_time now)
{
    for (auto& [number, end] : worker.ends) {
        if (end.run.task.job == job && !end.version)
            process_end(worker, end, now);
    }
    advance_acknowledgements(worker);
}

void graph_scheduler::adopt_awaited_runs(
    registered_worker& worker, job_id const& job)
{
    std::vector<run_id> awaited;
    for (auto const& [run, since] : worker.undecided_runs) {
        if (run.task.job == job)
            awaited.push_back(run);
    }
    for (auto const& run : awaited) {
        worker.undecided_runs.erase(run);
        if (!adopt_run(worker, run))
            worker.unknown_runs.insert(run);
    }
    workers_.on_changed(worker);
}

bool graph_scheduler::must_await_job(
    registered_worker& worker, run_id const& run, monotonic_time now)
{
    bool const is_decided = worker.runs.contains(run) ||
                            worker.unknown_runs.contains(run) ||
                            find_job(run.task.job) != nullptr;
    if (is_decided) {
        worker.undecided_runs.erase(run);
        return false;
    }
    auto const since = worker.undecided_runs.try_emplace(run, now).first;
    if (since->second > jobs_complete_until_) {
        awaited_jobs_[run.task.job].insert(worker.id);
        return true;
    }
    worker.undecided_runs.erase(since);
    return false;
}

// The run was given up with its worker's lease, and its end comes once the
// worker is back. It is about to be acknowledged, after which the task must not
// start again, whatever becomes of the later run.
void graph_scheduler::apply_late_finish(run_id const& run)
{
    auto& job = *find_job(run.task.job);
    auto const before = job.progress.version();
    auto const due = job.progress.finish_late(run);
    if (job.progress.version() == before)
        return;
    mark_changed(run.task.job);
    if (is_final(job.progress.phase())) {
        emit_job_end(job);
        waiting_.erase_job(position_of(job, run.task));
        stop_live_runs(job);
        return;
    }
    auto const count = job.progress.step_of(run.task).gang
                           ? job.progress.step_of(run.task).count
                           : 0;
    stop_copies(job, run.task);
    for (std::uint32_t index = 0; index < count; ++index)
        stop_copies(
            job, {run.task.job, run.task.occurrence, run.task.step, index});
    enqueue(job, due);
}

// After a change of leader, workers report ends in any order. A failure counts
// even if a later run of the task is already known.
void graph_scheduler::apply_late_failure(run_id const& run)
{
    auto* const job = find_job(run.task.job);
    if (job == nullptr)
        return;
    auto const before = job->progress.version();
    job->progress.count_late_failure(run);
    if (job->progress.version() == before)
        return;
    mark_changed(run.task.job);
    if (!is_final(job->progress.phase()))
        return;
    emit_job_end(*job);
    waiting_.erase_job(position_of(*job, run.task));
    stop_live_runs(*job);
}

void graph_scheduler::process_runs(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    end_missing_runs(worker, report, now);
    for (auto const& reported : report.runs)
        process_run(worker, reported, now);
}

void graph_scheduler::end_missing_runs(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    std::vector<run_id const*> reported;
    reported.reserve(report.runs.size());
    for (auto const& each : report.runs)
        reported.push_back(&each.run);
    auto const is_before = [](run_id const* left, run_id const* right) {
        return *left < *right;
    };
    if (!std::is_sorted(reported.begin(), reported.end(), is_before))
        std::sort(reported.begin(), reported.end(), is_before);
    auto const is_reported = [&](run_id const& run) {
        return std::binary_search(
            reported.begin(), reported.end(), &run, is_before);
    };
    std::vector<run_id> missing;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.order <= report.last_order && !is_reported(run))
            missing.push_back(run);
    }
    for (auto const& run : missing)
        end_run(worker, run, run_end::lost, {}, now);
    std::erase_if(worker.unknown_runs, [&](run_id const& run) {
        return !is_reported(run);
    });
    std::erase_if(worker.undecided_runs, [&](auto const& entry) {
        return !is_reported(entry.first);
    });
}

void graph_scheduler::process_run(
    registered_worker& worker, run_report const& reported, monotonic_time now)
{
    auto const& run = reported.run;
    if (must_await_job(worker, run, now))
        return;
    bool const is_unknown =
        worker.unknown_runs.contains(run) ||
        (!worker.runs.contains(run) && !adopt_run(worker, run));
    if (is_unknown) {
        stop_unknown_run(worker, reported);
        return;
    }
    auto& placed = *worker.runs.find(run);
    placed.percent = reported.percent;
    if (!placed.reported_at)
        placed.reported_at = now;
    placed.measurement = reported.measurement;
    update_slowed_since(placed, reported.pace, now);
    auto& job = *find_job(run.task.job);
    job.progress.save_checkpoint(run, reported.checkpoint);
    check_progress(worker, reported, job.progress.step_of(run.task), now);
    stop_unneeded_run(worker, placed, reported);
    if (reported.is_known || placed.is_described || placed.order != 0)
        return;
    placed.is_described = true;
    worker.orders.emplace_back(
        describe_order{worker.next_order++, run, placed.facts});
}

// Stops a task that has stalled, so that it can run elsewhere: on a worker that
// hangs it would wait for as long as the worker does.
void graph_scheduler::check_progress(
    registered_worker& worker, run_report const& reported,
    graph_step const& step, monotonic_time now)
{
    constexpr std::uint32_t full_pace = 100;
    if (step.long_running || step.gang || !reported.has_started ||
        reported.pace < full_pace || !worker.is_reachable) {
        worker.progress.forget(reported.run);
        return;
    }
    bool const is_stalled = worker.progress.on_progress(
        reported.run, reported.percent, step.estimate, now);
    if (!is_stalled)
        return;
    worker.cooldown_until =
        std::max(worker.cooldown_until, now + limits_.stall_cooldown);
    order_stop(worker, reported.run);
}

// Orders are lost with the session of a runner, and have no effect on a run
// that the runner has not listed yet. Each report is therefore compared with
// what should be running, so that a lost stop is ordered again.
void graph_scheduler::stop_unneeded_run(
    registered_worker& worker, placed_run& placed, run_report const& reported)
{
    auto const& run = reported.run;
    bool const is_stop_lost = placed.is_stopping && !reported.is_stopping &&
                              !worker.has_stop_order(run);
    auto const& progress = find_job(run.task.job)->progress;
    if (!is_stop_lost && progress.needs_runs_of(run.task))
        return;
    placed.is_stopping = placed.is_stopping && !is_stop_lost;
    order_stop(worker, run);
}

void graph_scheduler::stop_unknown_run(
    registered_worker& worker, run_report const& reported)
{
    worker.unknown_runs.insert(reported.run);
    if (!reported.is_stopping && !worker.has_stop_order(reported.run))
        order_stop(worker, reported.run);
}

void graph_scheduler::end_run(
    registered_worker& worker, run_id const& run, run_end how,
    std::string const& checkpoint, monotonic_time now)
{
    worker.unknown_runs.erase(run);
    worker.progress.forget(run);
    if (!worker.runs.erase(run))
        return;
    workers_.forget_run(run);
    contention_runs_.erase(run);
    auto* const job = find_job(run.task.job);
    invariant(job != nullptr, "a placed run belongs to a known job");
    if (job == nullptr)
        return;
    job->live_runs.erase(run);
    job->idle_since = now;
    bool const was_final = is_final(job->progress.phase());
    ++counts_.ended[how];
    events_.push_back(
        {scheduling_event::kind::run_ended, run, worker.id, how, {}, 0});
    update_health(worker, run, how, now);
    auto const due = job->progress.end_run(run, how, checkpoint);
    mark_changed(run.task.job);
    if (is_final(job->progress.phase())) {
        if (!was_final)
            emit_job_end(*job);
        waiting_.erase_job(position_of(*job, run.task));
        stop_live_runs(*job);
        return;
    }
    if (how == run_end::finished)
        stop_copies(*job, run.task);
    enqueue(*job, due);
}

void graph_scheduler::update_health(
    registered_worker& worker, run_id const& run, run_end how,
    monotonic_time now)
{
    if (how == run_end::finished) {
        worker.failures_in_row = 0;
        worker.failing_jobs.clear();
        worker.cooldowns = 0;
        return;
    }
    if (how != run_end::failed && how != run_end::refused)
        return;
    ++worker.failures_in_row;
    worker.failing_jobs.insert(run.task.job);
    bool const must_cool_down =
        how == run_end::refused ||
        (worker.failures_in_row >= limits_.failures_before_cooldown &&
         worker.failing_jobs.size() >= min_failing_jobs);
    if (!must_cool_down)
        return;
    constexpr std::uint32_t max_doublings = 6;
    auto const cooldown = std::min(
        limits_.longest_cooldown,
        (how == run_end::refused ? limits_.refusal_cooldown
                                 : limits_.first_cooldown) *
            (1U << std::min(worker.cooldowns, max_doublings)));
    ++worker.cooldowns;
    worker.cooldown_until = std::max(worker.cooldown_until, now + cooldown);
}

void graph_scheduler::advance_acknowledgements(registered_worker& worker)
{
    while (!worker.ends.empty()) {
        auto const& [number, end] = *worker.ends.begin();
        auto const* const job = find_job(end.run.task.job);
        bool const may_be_stored =
            !end.version && end.reported_at > jobs_complete_until_;
        if (job == nullptr ? may_be_stored
                           : job->recorded_version < end.version.value_or(0))
            return;
        worker.ended_through = number;
        worker.ends.erase(worker.ends.begin());
        updated_workers_.insert(worker.id);
    }
    workers_with_ends_.erase(worker.id);
}

std::vector<worker_id> graph_scheduler::unrecorded_workers() const
{
    std::vector<worker_id> found;
    for (auto const& [id, worker] : workers_.all()) {
        if (!worker.is_recorded && !worker.is_forgotten)
            found.push_back(id);
    }
    return found;
}

void graph_scheduler::on_worker_recorded(worker_id const& worker)
{
    auto& recorded = workers_.at(worker);
    recorded.is_recorded = true;
    workers_.on_changed(recorded);
}

runner_reply
graph_scheduler::reply_to(worker_id const& id, monotonic_time now, bool extends)
{
    auto& worker = workers_.at(id);
    // A runner that has restarted and never hears of its worker would otherwise
    // keep this scheduler waiting for the runs of before.
    if (extends && worker.is_confirmed)
        worker.runs_expire_at =
            now + stretched(limits_.lease_time, limits_.clock_drift) +
            limits_.lapse_margin;
    workers_.on_lease_extended(worker, now);
    worker.acknowledged_through = worker.ended_through;
    worker.sent_through = worker.next_order - 1;
    worker.has_new_token = false;
    return {
        term_,
        worker.token,
        extends,
        worker.facts.incarnation,
        worker.ended_through,
        worker.orders,
        false};
}

bool graph_scheduler::has_updates(worker_id const& id) const
{
    auto const* const worker = workers_.find(id);
    if (worker == nullptr)
        return false;
    return worker->has_new_token ||
           worker->acknowledged_through != worker->ended_through ||
           (!worker->orders.empty() &&
            number_of(worker->orders.back()) > worker->sent_through);
}

std::set<worker_id> graph_scheduler::take_updated_workers()
{
    return std::exchange(updated_workers_, {});
}

bool graph_scheduler::plan(
    monotonic_time now, std::chrono::milliseconds time_of_day,
    monotonic_time confirmed_at)
{
    bool const is_housekeeping_due = now >= housekeeping_due_;
    if (is_housekeeping_due)
        keep_house(now, confirmed_at);
    open_occurrences(time_of_day);
    bool const is_whole = place_waiting(
        {now, workers_.take_changed(now),
         counts_.ordered + limits_.max_starts_per_pass, is_housekeeping_due});
    if (is_housekeeping_due)
        move_slow_backfill_runs(now);
    return is_whole;
}

void graph_scheduler::keep_house(
    monotonic_time now, monotonic_time confirmed_at)
{
    housekeeping_due_ = now + limits_.housekeeping_interval;
    expire_silent_workers(now, confirmed_at);
    update_pool_uses(now);
}

void graph_scheduler::expire_silent_workers(
    monotonic_time now, monotonic_time confirmed_at)
{
    if (confirmed_at >= settled_at_)
        unsettled_workers_.clear();
    for (auto& [id, worker] : workers_.all()) {
        if (!has_lapsed(worker, confirmed_at) || worker.runs.empty())
            continue;
        emit_loss(scheduling_event::kind::lease_lapsed, worker, now);
        end_all_runs(worker, now);
        worker.orders.clear();
        worker.is_listed = false;
        workers_.on_changed(worker);
    }
    forget_silent_workers(now, confirmed_at);
}

// A successor extends the leases that this scheduler has granted. It is
// therefore not enough that the last grant is over: this scheduler must have
// been the leader after that.
bool graph_scheduler::has_lapsed(
    registered_worker const& worker, monotonic_time confirmed_at) const
{
    // Until then, a lease that an earlier scheduler granted may outlast ours.
    return confirmed_at >= std::max(worker.runs_expire_at, settled_at_);
}

// A new leader waits for every recorded worker. The record of a worker that is
// gone for good would delay the tasks of each new leader until the lease time
// is over.
void graph_scheduler::forget_silent_workers(
    monotonic_time now, monotonic_time confirmed_at)
{
    workers_.erase_if([&](registered_worker const& worker) {
        bool const is_silent =
            now - worker.last_report_at >= limits_.lease_time;
        if (!is_silent || !has_lapsed(worker, confirmed_at))
            return false;
        if (!worker.is_forgotten)
            forgotten_workers_.push_back(worker.id);
        return true;
    });
}

std::vector<worker_id> graph_scheduler::take_forgotten_workers()
{
    return std::exchange(forgotten_workers_, {});
}

void graph_scheduler::open_occurrences(std::chrono::milliseconds time_of_day)
{
    std::vector<job_id> finished;
    for (auto const& id : scheduled_jobs_) {
        auto& job = jobs_.at(id);
        enqueue(job, job.progress.open_due(time_of_day));
        if (!job.progress.next_due())
            finished.push_back(id);
    }
    for (auto const& id : finished)
        scheduled_jobs_.erase(id);
}

// A step that no worker could take is tried again only on workers that have
// changed since: on the others nothing has become free.
bool graph_scheduler::place_waiting(placement_pass const& pass)
{
    auto const is_over = [&] {
        return counts_.ordered >= pass.last_start;
    };
    for (auto next = waiting_.begin(); next != waiting_.end() && !is_over();) {
        place_step(next, pass);
        next = next->second.tasks.empty() ? waiting_.erase_step(next) : ++next;
    }
    if (!is_over())
        return true;
    // The steps that were not reached are still to be tried on them.
    for (auto* const worker : pass.changed)
        workers_.on_changed(*worker);
    return false;
}

void graph_scheduler::place_step(
    waiting_queue::container::iterator step, placement_pass const& pass)
{
    bool const is_full = step->second.is_full;
    if (is_full && pass.changed.empty() && !pass.includes_overdue)
        return;
    auto* const job = find_job(step->first.step.job);
    invariant(job != nullptr, "a waiting step belongs to a known job");
    if (job == nullptr)
        return;
    if (!job->is_accepted_this_term && !unsettled_workers_.empty())
        return;
    if (job->progress.step_of(step->first.step).gang) {
        place_gang_step(step, *job, pass);
        return;
    }
    place_tasks(step, *job, pass);
}

worker_ranking graph_scheduler::rank_workers(
    waiting_queue::container::iterator step, job_entry const& job,
    placement_pass const& pass, bool all)
{
    auto query = query_for(job, step->first.step, pass.now);
    query.step_millicores =
        query.need.millicores *
        static_cast<std::int64_t>(step->second.tasks.size());
    worker_ranking ranking(
        workers_, std::move(query), policy_.closed_domains, pass.now);
    if (all || (pass.includes_overdue && ranking.query().allows_contention)) {
        ranking.add_all();
        return ranking;
    }
    for (auto* const worker : pass.changed)
        ranking.add(*worker);
    return ranking;
}

// A step that is full is tried on few workers: what they say can only bring
// the task nearer.
void graph_scheduler::note_wait(
    waiting_queue::container::iterator step, backfill_wait const& wait)
{
    auto& noted = step->second.wait;
    auto const before = noted.reason;
    if (!step->second.is_full)
        noted = {wait_reason::no_room, {}, 0.0};
    noted.merge(wait);
    if (noted.reason == before)
        return;
    scheduling_event event;
    event.type = scheduling_event::kind::backfill_waits;
    event.run.task = step->first.step;
    event.wait = noted;
    events_.push_back(std::move(event));
}

void graph_scheduler::note_accepted_contention(
    run_id const& run, job_entry const& job, worker_id const& worker,
    backfill_wait const& contention, monotonic_time now)
{
    if (contention.is_borne())
        return;
    ++counts_.accepted_contention;
    ++pool_uses_[job.policy.pool].contention_runs;
    contention_runs_[run] = {job.policy.pool, now};
    scheduling_event event;
    event.type = scheduling_event::kind::contention_accepted;
    event.run = run;
    event.worker = worker;
    event.wait = contention;
    event.waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - job.idle_since);
    events_.push_back(std::move(event));
}

void graph_scheduler::place_tasks(
    waiting_queue::container::iterator step, job_entry& job,
    placement_pass const& pass)
{
    auto task = step->first.step;
    std::optional<worker_ranking> ranking(
        rank_workers(step, job, pass, !step->second.is_full));
    auto const indices = step->second.tasks;
    for (auto const index : indices) {
        task.index = index;
        if (!job.progress.is_due(task)) {
            waiting_.erase_task(step, index);
            continue;
        }
        if (counts_.ordered >= pass.last_start)
            return;
        auto* const worker = ranking->best();
        if (worker == nullptr) {
            if (ranking->query().fills)
                note_wait(step, ranking->wait());
            step->second.is_full = true;
            return;
        }
        run_id const run{task, job.progress.begin_run(task)};
        if (ranking->query().allows_contention)
            note_accepted_contention(
                run, job, worker->id, ranking->contention_on(*worker),
                pass.now);
        start_on(*worker, run, job);
        waiting_.erase_task(step, index);
        // Only the first task of a job may be placed despite contention.
        if (ranking->query().allows_contention)
            ranking.emplace(rank_workers(step, job, pass, true));
        else
            ranking->rerank_best();
    }
}

void graph_scheduler::place_gang_step(
    waiting_queue::container::iterator step, job_entry& job,
    placement_pass const& pass)
{
    if (step->second.is_full && pass.changed.empty())
        return;
    auto task = step->first.step;
    task.index = *step->second.tasks.begin();
    if (!job.progress.is_due(task) || place_gang(task, job, pass.now))
        waiting_.erase_task(step, task.index);
    else
        step->second.is_full = true;
}

void graph_scheduler::update_slowed_since(
    placed_run& placed, std::uint32_t pace, monotonic_time now) const
{
    if (!placed.facts.fills || pace >= limits_.slow_pace_percent)
        placed.slowed_since.reset();
    else if (!placed.slowed_since)
        placed.slowed_since = now;
}

void graph_scheduler::move_slow_backfill_runs(monotonic_time now)
{
    for (auto& [id, worker] : workers_.all()) {
        if (worker.runs.backfill_millicores() > 0)
            move_slow_run(worker, now);
    }
}

void graph_scheduler::move_slow_run(
    registered_worker& worker, monotonic_time now)
{
    for (auto const& [run, placed] : worker.runs) {
        if (!placed.slowed_since || placed.is_stopping ||
            now - *placed.slowed_since < limits_.slow_pace_timeout)
            continue;
        auto const& job = *find_job(run.task.job);
        auto const& step = job.progress.step_of(run.task);
        if (!step.saves_progress || step.gang)
            continue;
        auto const query = query_for(job, run.task, now);
        if (workers_.choose_alternative(
                query, worker.id, policy_.closed_domains, now) == nullptr)
            continue;
        order_stop(worker, run);
        return;
    }
}

// A job whose tasks every serving task minds would otherwise never run. While
// most of the pool is free, few are harmed. In a busy pool each such run harms
// many for little, and jobs that run side by side all end late: there the jobs
// take turns, in their order.
bool graph_scheduler::may_accept_contention(
    job_entry const& job, graph_step const& step, monotonic_time now) const
{
    bool const is_overdue = step.fills && job.live_runs.empty() &&
                            now - job.idle_since >= limits_.max_backfill_wait;
    if (!is_overdue)
        return false;
    auto const found = pool_uses_.find(job.policy.pool);
    if (found == pool_uses_.end())
        return false;
    auto const& use = found->second;
    bool const is_busy = static_cast<double>(use.reserved_millicores) >
                         busy_part * static_cast<double>(use.millicores);
    auto const most = std::max(
        std::size_t{1}, use.workers / limits_.workers_per_contention_run);
    return !is_busy || use.contention_runs < most;
}

void graph_scheduler::update_pool_uses(monotonic_time now)
{
    pool_uses_.clear();
    for (auto const& [id, worker] : workers_.all()) {
        if (!worker.is_usable())
            continue;
        auto& use = pool_uses_[worker.facts.pool];
        ++use.workers;
        use.reserved_millicores += worker.runs.reserved().millicores;
        use.millicores += worker.facts.capacity.millicores;
    }
    for (auto const& [run, contention] : contention_runs_) {
        if (now - contention.ordered_at < limits_.contention_turn)
            ++pool_uses_[contention.pool].contention_runs;
    }
}

placement_query graph_scheduler::query_for(
    job_entry const& job, task_id const& task, monotonic_time now) const
{
    auto const& step = job.progress.step_of(task);
    placement_query query;
    query.pool = job.policy.pool;
    auto const place = placement_of(job, task);
    query.need = place.need;
    query.fills = step.fills;
    query.backfill_millicores = place.facts.backfill_millicores;
    query.image = step.image;
    query.allows_contention = may_accept_contention(job, step, now);
    query.serves = step.target > std::chrono::milliseconds::zero();
    query.required_label = step.required_label;
    query.preferred_rack = step.data_rack;
    query.step = task;
    query.max_per_worker = step.max_per_worker;
    return query;
}

placed_run
graph_scheduler::placement_of(job_entry const& job, task_id const& task) const
{
    auto const& step = job.progress.step_of(task);
    placed_run placed;
    placed.need = step.need;
    placed.facts = {step.fills, 0, step.target, step.image};
    if (step.fills) {
        placed.facts.backfill_millicores = step.need.millicores;
        placed.need.millicores = 0;
    }
    return placed;
}

bool graph_scheduler::place_gang(
    task_id const& any, job_entry& job, monotonic_time now)
{
    auto const count = job.progress.step_of(any).count;
    auto query = query_for(job, any, now);
    std::vector<registered_worker*> chosen;
    // Each member reserves its resources under run number 0, which no real run
    // has, so that the choice for the next member sees what is left.
    for (std::uint32_t index = 0; index < count; ++index) {
        auto* const worker =
            workers_.choose(query, policy_.closed_domains, now);
        if (worker == nullptr)
            break;
        task_id member = any;
        member.index = index;
        worker->runs.insert({member, 0}, placement_of(job, member));
        workers_.on_loaded(*worker);
        chosen.push_back(worker);
        if (job.progress.step_of(any).same_rack &&
            !worker->facts.labels.empty())
            query.preferred_rack = rack_id{worker->facts.labels.back()};
    }
    bool const is_whole = chosen.size() == count;
    auto const number = is_whole ? job.progress.begin_gang_run(any) : 0;
    for (std::uint32_t index = 0; index < chosen.size(); ++index) {
        task_id member = any;
        member.index = index;
        chosen[index]->runs.erase({member, 0});
        workers_.on_loaded(*chosen[index]);
        if (is_whole)
            start_on(*chosen[index], {member, number}, job);
    }
    return is_whole;
}

void graph_scheduler::start_on(
    registered_worker& worker, run_id const& run, job_entry& job)
{
    auto const placed = placement_of(job, run.task);
    job.live_runs.emplace(run, worker.id);
    ++counts_.ordered;
    events_.push_back(
        {scheduling_event::kind::run_ordered, run, worker.id, {}, {}, 0});
    auto hints = placed.facts.fills
                     ? workers_.hints_for(worker, placed.facts.image)
                     : std::vector<contention_hint>{};
    worker.order_start(
        run, job.progress.graph().payload, job.progress.checkpoint_of(run.task),
        placed, std::move(hints));
    workers_.on_loaded(worker);
    updated_workers_.insert(worker.id);
}

std::vector<progress_record> graph_scheduler::take_records(std::size_t most)
{
    std::vector<progress_record> records;
    std::size_t taken = 0;
    while (taken < write_queue_.size() && records.size() < most) {
        auto const& id = write_queue_[taken++];
        auto const* const job = find_job(id);
        if (job == nullptr) {
            unwritten_.erase(id);
            continue;
        }
        records.push_back(
            {id, job->progress.version(), job->progress.snapshot()});
    }
    write_queue_.erase(
        write_queue_.begin(),
        write_queue_.begin() + static_cast<std::ptrdiff_t>(taken));
    return records;
}

void graph_scheduler::on_recorded(job_id const& id, std::uint64_t version)
{
    unwritten_.erase(id);
    auto* const job = find_job(id);
    if (job == nullptr)
        return;
    job->recorded_version = std::max(job->recorded_version, version);
    if (job->progress.version() > job->recorded_version)
        mark_changed(id);
    auto const waiting = workers_with_ends_;
    for (auto const& worker : waiting) {
        if (auto* const found = workers_.find(worker))
            advance_acknowledgements(*found);
    }
}

void graph_scheduler::on_not_recorded(job_id const& job)
{
    unwritten_.erase(job);
    mark_changed(job);
}

std::optional<job_phase> graph_scheduler::phase_of(job_id const& job) const
{
    auto const* const found = find_job(job);
    if (found == nullptr)
        return std::nullopt;
    // A final phase is only reported once it is recorded, so that it never
    // reverts.
    if (is_final(found->progress.phase()) &&
        found->recorded_version < found->progress.version())
        return job_phase::running;
    return found->progress.phase();
}

std::size_t graph_scheduler::pending(queue_id const& queue) const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [&](auto const& entry) {
            auto const& progress = entry.second.progress;
            return progress.graph().queue == queue &&
                   progress.phase() == job_phase::queued;
        }));
}

void graph_scheduler::emit_job_end(job_entry const& job)
{
    auto const phase = job.progress.phase();
    ++counts_.jobs_ended[phase];
    run_id run;
    run.task.job = job.progress.graph().id;
    events_.push_back(
        {scheduling_event::kind::job_ended, run, {}, {}, phase, 0});
}

// Each way of losing runs without their ends has an event of its own: what a
// run's end alone shows is the same for all.
void graph_scheduler::emit_loss(
    scheduling_event::kind type, registered_worker const& worker,
    monotonic_time now)
{
    if (worker.runs.empty())
        return;
    scheduling_event event;
    event.type = type;
    event.worker = worker.id;
    event.lost_runs = worker.runs.size();
    event.silence = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - worker.last_report_at);
    events_.push_back(std::move(event));
}

std::vector<scheduling_event> graph_scheduler::take_events()
{
    return std::exchange(events_, {});
}

std::size_t graph_scheduler::runs_of_ended_jobs() const
{
    std::size_t count = 0;
    for (auto const& [id, job] : jobs_) {
        if (is_final(job.progress.phase()))
            count += job.live_runs.size();
    }
    for (auto const& [id, worker] : workers_.all())
        count += worker.unknown_runs.size();
    return count;
}

std::size_t graph_scheduler::open_jobs() const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](auto const& entry) {
            return !is_final(entry.second.progress.phase());
        }));
}

} // namespace sycamorespar
