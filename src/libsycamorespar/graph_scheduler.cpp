/// Starts are not recorded before they are sent: what runs is learned from the
/// runners, who list every run that may hold room. A scheduler that takes over
/// therefore waits for each recorded worker's list, or for its runs to lapse,
/// before it starts a task that its forerunner may have started.
///
/// An end is acknowledged only after the job's progress with this end in it is
/// recorded; until then the worker goes on listing it, also to a successor.
#include "libsycamorespar/graph_scheduler.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// Tokens of one term: the term's number, and a count below it.
constexpr std::uint64_t sessions_per_term = 1U << 16U;

/// Jobs whose failed runs must differ before the worker is thought to be at
/// fault; one job may be hopeless everywhere.
constexpr std::size_t jobs_before_rest = 2;

duration stretched(std::chrono::milliseconds span, double by)
{
    auto const stretch = static_cast<double>(span.count()) * (1.0 + by);
    return std::chrono::milliseconds(static_cast<std::int64_t>(stretch) + 1);
}

/// The work of one occurrence by its own estimates, in thousandths of a
/// core-millisecond; lasting tasks have none.
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

/// The time that work takes on so many thousandths of a core.
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
      unsettled_(recorded.begin(), recorded.end()),
      settled_at_(
          now +
          stretched(limits.hold + limits.former_office, limits.clock_drift) +
          limits.proof_margin)
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
        // A queue that is gone keeps its accepted jobs, as they were.
        if (found == policy_.queues.end() || found->second == job.policy)
            continue;
        must_sort = must_sort || found->second.priority != job.policy.priority;
        job.policy = found->second;
    }
    if (!must_sort)
        return;
    waiting_.clear();
    for (auto const& [id, job] : jobs_)
        wait_for_place(job, job.progress.due_tasks());
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
        now.time_since_epoch() + work_time(graph_work, limits_.turn_millicores),
        accepted_in == term_,
        0,
        {},
        now};
    if (!entry.is_fresh)
        entry.progress.restore(
            recorded == nullptr ? graph_snapshot{} : *recorded);
    entry.recorded_version = entry.progress.version();
    auto const& added = jobs_.emplace(id, std::move(entry)).first->second;
    if (added.progress.next_due())
        on_schedule_.insert(id);
    wait_for_place(added, added.progress.due_tasks());
    return true;
}

void graph_scheduler::cancel_job(job_id const& job)
{
    auto* const found = find_job(job);
    if (found == nullptr || is_final(found->progress.phase()))
        return;
    found->progress.cancel();
    note_job_end(*found);
    stop_live_runs(*found);
    mark_changed(job);
}

void graph_scheduler::drop_job(job_id const& job)
{
    auto const* const found = find_job(job);
    if (found == nullptr || !is_final(found->progress.phase()) ||
        !found->live.empty())
        return;
    jobs_.erase(job);
    on_schedule_.erase(job);
}

graph_scheduler::waiting_task
graph_scheduler::waiting_entry(job_entry const& job, task_id const& id) const
{
    // Tasks that last go first among equals: they have been away from their
    // users since they became due.
    return {
        job.policy.priority, !job.progress.step_of(id).long_running, job.turn,
        id};
}

void graph_scheduler::wait_for_place(
    job_entry const& job, std::vector<task_id> const& due)
{
    for (auto const& task : due)
        waiting_.insert(waiting_entry(job, task));
}

void graph_scheduler::stop_live_runs(job_entry const& job)
{
    for (auto const& [run, worker] : job.live)
        workers_.at(worker).order_stop(run);
}

void graph_scheduler::stop_copies(job_entry const& job, task_id const& task)
{
    for (auto const& [run, worker] : job.live) {
        if (run.task == task)
            workers_.at(worker).order_stop(run);
    }
}

void graph_scheduler::mark_changed(job_id const& job)
{
    if (is_changed_.insert(job).second)
        changed_.push_back(job);
}

bool graph_scheduler::on_report(runner_report const& report, monotonic_time now)
{
    auto& worker = workers_.at(report.worker);
    worker.id = report.worker;
    bool const is_older_life = report.facts.life.born < worker.facts.life.born;
    bool const is_older_report = worker.runner == report.runner &&
                                 report.sequence <= worker.last_sequence;
    if (is_older_life || is_older_report)
        return false;
    if (worker.runner != report.runner)
        worker.begin_session(
            report.runner, term_.value * sessions_per_term + ++sessions_);
    if (!(worker.facts.life == report.facts.life))
        begin_life(worker, report, now);
    worker.facts = report.facts;
    worker.last_sequence = report.sequence;
    worker.last_report_at = now;
    worker.is_reachable = report.is_reachable;
    if (report.facts.has_left) {
        take_leave(worker, report, now);
        return true;
    }
    if (report.token != worker.token) {
        worker.has_new_token = true;
        return true;
    }
    worker.has_new_token = false;
    worker.confirm_orders(report.last_order);
    if (!report.is_listed)
        return true;
    take_ends(worker, report, now);
    for (auto const& refusal : report.refusals)
        end_run(worker, refusal.run, run_end::refused, {}, now);
    take_runs(worker, report, now);
    workers_.update_contention(worker, now);
    worker.is_listed = true;
    unsettled_.erase(worker.id);
    return true;
}

// A worker that has left can't be listed under a new token: whoever takes over
// next would wait for it, and the one after that again.
void graph_scheduler::take_leave(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    worker.has_new_token = false;
    worker.confirm_orders(report.last_order);
    take_ends(worker, report, now);
    end_all_runs(worker, now);
    worker.orders.clear();
    worker.is_listed = false;
    unsettled_.erase(worker.id);
    if (!std::exchange(worker.is_forgotten, true))
        forgotten_.push_back(worker.id);
}

void graph_scheduler::begin_life(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    end_all_runs(worker, now);
    worker.ends.clear();
    worker.last_end = 0;
    worker.ended_through = 0;
    worker.acknowledged_through = 0;
    worker.unknown_runs.clear();
    worker.failures_in_row = 0;
    worker.failing_jobs.clear();
    worker.is_listed = false;
    // Orders to the life before it mean nothing to this one; their numbers
    // stay used.
    worker.orders.clear();
    worker.facts = report.facts;
    if (!std::exchange(worker.is_forgotten, false))
        return;
    // Its record is gone or going.
    worker.is_recorded = false;
    std::erase(forgotten_, worker.id);
}

void graph_scheduler::end_all_runs(
    registered_worker& worker, monotonic_time now)
{
    auto const runs = worker.runs;
    for (auto const& [run, placed] : runs)
        end_run(worker, run, run_end::lost, {}, now);
}

bool graph_scheduler::adopt(registered_worker& worker, run_id const& run)
{
    auto* const job = find_job(run.task.job);
    if (job == nullptr)
        return false;
    // Two schedulers may have given the same number to runs on two workers.
    auto const known = job->live.find(run);
    if (known != job->live.end() && known->second != worker.id)
        return false;
    if (!job->progress.adopt_run(run))
        return false;
    job->live.emplace(run, worker.id);
    worker.runs.emplace(run, place_of(*job, run.task));
    return true;
}

void graph_scheduler::take_ends(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    for (auto const& end : report.ends) {
        if (end.number <= worker.last_end)
            continue;
        worker.last_end = end.number;
        // An end may be the first that this scheduler hears of a run.
        if (worker.runs.contains(end.run) || adopt(worker, end.run))
            end_run(worker, end.run, end.how, end.checkpoint, now);
        else if (end.how == run_end::failed)
            note_late_failure(end.run);
        auto const* const job = find_job(end.run.task.job);
        worker.ends[end.number] = {
            end.run.task.job, job == nullptr ? 0 : job->progress.version()};
    }
    advance_acknowledgements(worker);
}

// After a takeover workers list their ends in any order: a later run of the
// task may be known already, and the fault counts all the same.
void graph_scheduler::note_late_failure(run_id const& run)
{
    auto* const job = find_job(run.task.job);
    if (job == nullptr)
        return;
    auto const before = job->progress.version();
    job->progress.note_late_failure(run);
    if (job->progress.version() == before)
        return;
    mark_changed(run.task.job);
    if (!is_final(job->progress.phase()))
        return;
    note_job_end(*job);
    stop_live_runs(*job);
}

void graph_scheduler::take_runs(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    end_missing_runs(worker, report, now);
    for (auto const& reported : report.runs)
        take_run(worker, reported, now);
}

void graph_scheduler::end_missing_runs(
    registered_worker& worker, runner_report const& report, monotonic_time now)
{
    std::set<run_id> reported;
    for (auto const& each : report.runs)
        reported.insert(each.run);
    std::vector<run_id> missing;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.order <= report.last_order && !reported.contains(run))
            missing.push_back(run);
    }
    for (auto const& run : missing)
        end_run(worker, run, run_end::lost, {}, now);
    std::erase_if(worker.unknown_runs, [&](run_id const& run) {
        return !reported.contains(run);
    });
}

void graph_scheduler::take_run(
    registered_worker& worker, run_report const& reported, monotonic_time now)
{
    auto const& run = reported.run;
    if (worker.unknown_runs.contains(run))
        return;
    if (!worker.runs.contains(run) && !adopt(worker, run)) {
        take_stranger(worker, run);
        return;
    }
    auto& placed = worker.runs.at(run);
    placed.percent = reported.percent;
    if (!placed.reported_at)
        placed.reported_at = now;
    placed.figure = reported.figure;
    note_pace(placed, reported.pace, now);
    auto& job = *find_job(run.task.job);
    job.progress.keep_checkpoint(run, reported.checkpoint);
    watch_progress(worker, reported, job.progress.step_of(run.task), now);
    if (reported.is_known || placed.is_described || placed.order != 0)
        return;
    placed.is_described = true;
    worker.orders.emplace_back(
        describe_order{worker.next_order++, run, placed.facts});
}

// A task that stands still is taken away: on a worker that hangs it would wait
// for as long as the worker does.
void graph_scheduler::watch_progress(
    registered_worker& worker, run_report const& reported,
    graph_step const& step, monotonic_time now)
{
    constexpr std::uint32_t full_pace = 100;
    if (step.long_running || step.gang || !reported.has_started ||
        reported.pace < full_pace || !worker.is_reachable) {
        worker.progress.forget(reported.run);
        return;
    }
    bool const stands_still = worker.progress.on_progress(
        reported.run, reported.percent, step.estimate, now);
    if (!stands_still)
        return;
    worker.cooldown_until =
        std::max(worker.cooldown_until, now + limits_.stall_rest);
    worker.order_stop(reported.run);
}

void graph_scheduler::take_stranger(
    registered_worker& worker, run_id const& run)
{
    worker.unknown_runs.insert(run);
    worker.order_stop(run);
}

void graph_scheduler::end_run(
    registered_worker& worker, run_id const& run, run_end how,
    std::string const& checkpoint, monotonic_time now)
{
    worker.unknown_runs.erase(run);
    worker.progress.forget(run);
    if (worker.runs.erase(run) == 0)
        return;
    auto* const job = find_job(run.task.job);
    invariant(job != nullptr, "a placed run belongs to a known job");
    if (job == nullptr)
        return;
    job->live.erase(run);
    job->idle_since = now;
    bool const had_ended = is_final(job->progress.phase());
    ++counts_.ended[how];
    notes_.push_back({schedule_note::kind::run_ended, run, worker.id, how, {}});
    note_health(worker, run, how, now);
    auto const due = job->progress.end_run(run, how, checkpoint);
    mark_changed(run.task.job);
    if (is_final(job->progress.phase())) {
        if (!had_ended)
            note_job_end(*job);
        stop_live_runs(*job);
        return;
    }
    if (how == run_end::finished)
        stop_copies(*job, run.task);
    wait_for_place(*job, due);
}

void graph_scheduler::note_health(
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
    bool const rests =
        how == run_end::refused ||
        (worker.failures_in_row >= limits_.failures_before_rest &&
         worker.failing_jobs.size() >= jobs_before_rest);
    if (!rests)
        return;
    constexpr std::uint32_t most_doublings = 6;
    auto const rest = std::min(
        limits_.longest_rest,
        (how == run_end::refused ? limits_.full_pause : limits_.first_rest) *
            (1U << std::min(worker.cooldowns, most_doublings)));
    ++worker.cooldowns;
    worker.cooldown_until = std::max(worker.cooldown_until, now + rest);
}

void graph_scheduler::advance_acknowledgements(registered_worker& worker)
{
    while (!worker.ends.empty()) {
        auto const& [number, end] = *worker.ends.begin();
        auto const* const job = find_job(end.job);
        if (job != nullptr && job->recorded_version < end.version)
            return;
        worker.ended_through = number;
        worker.ends.erase(worker.ends.begin());
    }
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
    workers_.at(worker).is_recorded = true;
}

runner_reply
graph_scheduler::reply_to(worker_id const& id, monotonic_time now, bool extends)
{
    auto& worker = workers_.at(id);
    if (extends)
        worker.runs_expire_at = now +
                                stretched(limits_.hold, limits_.clock_drift) +
                                limits_.proof_margin;
    worker.acknowledged_through = worker.ended_through;
    worker.sent_through = worker.next_order - 1;
    worker.has_new_token = false;
    return {term_,
            worker.token,
            extends,
            worker.facts.life,
            worker.ended_through,
            worker.orders};
}

bool graph_scheduler::has_news(worker_id const& id) const
{
    auto const* const worker = workers_.find(id);
    if (worker == nullptr)
        return false;
    return worker->has_new_token ||
           worker->acknowledged_through != worker->ended_through ||
           (!worker->orders.empty() &&
            number_of(worker->orders.back()) > worker->sent_through);
}

void graph_scheduler::plan(
    monotonic_time now, std::chrono::milliseconds time_of_day)
{
    count_out_silent(now);
    open_occurrences(time_of_day);
    place_waiting(now);
    move_slow_backfill_tasks(now);
}

void graph_scheduler::count_out_silent(monotonic_time now)
{
    if (now >= settled_at_)
        unsettled_.clear();
    for (auto& [id, worker] : workers_.all()) {
        if (!has_lapsed(worker, now) || worker.runs.empty())
            continue;
        end_all_runs(worker, now);
        worker.orders.clear();
        worker.is_listed = false;
    }
    forget_silent(now);
}

bool graph_scheduler::has_lapsed(
    registered_worker const& worker, monotonic_time now) const
{
    // Until it has settled, an earlier scheduler's grants may outlast ours.
    return now >= std::max(worker.runs_expire_at, settled_at_);
}

// A successor waits for every recorded worker. Those that are gone for good
// would hold up the tasks of each takeover until their time is over.
void graph_scheduler::forget_silent(monotonic_time now)
{
    std::erase_if(workers_.all(), [&](auto const& entry) {
        auto const& worker = entry.second;
        bool const is_silent = now - worker.last_report_at >= limits_.hold;
        if (!is_silent || !has_lapsed(worker, now))
            return false;
        if (!worker.is_forgotten)
            forgotten_.push_back(worker.id);
        return true;
    });
}

std::vector<worker_id> graph_scheduler::take_forgotten_workers()
{
    return std::exchange(forgotten_, {});
}

void graph_scheduler::open_occurrences(std::chrono::milliseconds time_of_day)
{
    std::vector<job_id> finished;
    for (auto const& id : on_schedule_) {
        auto& job = jobs_.at(id);
        wait_for_place(job, job.progress.open_due(time_of_day));
        if (!job.progress.next_due())
            finished.push_back(id);
    }
    for (auto const& id : finished)
        on_schedule_.erase(id);
}

void graph_scheduler::place_waiting(monotonic_time now)
{
    // A step without room for one task has none for its other tasks either.
    std::set<task_id> full_steps;
    for (auto next = waiting_.begin(); next != waiting_.end();) {
        auto const task = next->task;
        auto* const job = find_job(task.job);
        if (job == nullptr || !job->progress.is_due(task)) {
            next = waiting_.erase(next);
            continue;
        }
        task_id const step{task.job, task.occurrence, task.step, 0};
        bool const must_wait = !job->is_fresh && !unsettled_.empty();
        if (must_wait || full_steps.contains(step)) {
            ++next;
            continue;
        }
        bool const placed = job->progress.step_of(task).gang
                                ? place_gang(task, *job, now)
                                : place(task, *job, now);
        if (!placed) {
            full_steps.insert(step);
            ++next;
            continue;
        }
        next = waiting_.erase(next);
    }
}

void graph_scheduler::note_pace(
    placed_run& placed, std::uint32_t pace, monotonic_time now) const
{
    if (!placed.facts.fills || pace >= limits_.slow_pace)
        placed.slowed_since.reset();
    else if (!placed.slowed_since)
        placed.slowed_since = now;
}

void graph_scheduler::move_slow_backfill_tasks(monotonic_time now)
{
    for (auto& [id, worker] : workers_.all()) {
        for (auto const& [run, placed] : worker.runs) {
            if (!placed.slowed_since || placed.is_stopping ||
                now - *placed.slowed_since < limits_.slow_patience)
                continue;
            auto const& job = *find_job(run.task.job);
            auto const& step = job.progress.step_of(run.task);
            if (!step.saves_progress || step.gang)
                continue;
            auto const query = query_for(job, run.task, now);
            if (workers_.choose_alternative(
                    query, id, policy_.closed_domains, now) == nullptr)
                continue;
            worker.order_stop(run);
            break;
        }
    }
}

placement_query graph_scheduler::query_for(
    job_entry const& job, task_id const& task, monotonic_time now) const
{
    auto const& step = job.progress.step_of(task);
    placement_query query;
    query.pool = job.policy.pool;
    auto const place = place_of(job, task);
    query.need = place.need;
    query.fills = step.fills;
    query.backfill_millicores = place.facts.backfill_millicores;
    query.image = step.image;
    query.allows_contention =
        job.live.empty() && now - job.idle_since >= limits_.backfill_wait;
    query.serves = step.target > std::chrono::milliseconds::zero();
    query.required_label = step.required_label;
    query.preferred_rack = step.data_rack;
    query.step = task;
    query.max_per_worker = step.max_per_worker;
    return query;
}

placed_run
graph_scheduler::place_of(job_entry const& job, task_id const& task) const
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

bool graph_scheduler::place(
    task_id const& task, job_entry& job, monotonic_time now)
{
    auto* const worker =
        workers_.choose(query_for(job, task, now), policy_.closed_domains, now);
    if (worker == nullptr)
        return false;
    start_on(*worker, {task, job.progress.begin_run(task)}, job);
    return true;
}

bool graph_scheduler::place_gang(
    task_id const& any, job_entry& job, monotonic_time now)
{
    auto const count = job.progress.step_of(any).count;
    auto query = query_for(job, any, now);
    std::vector<registered_worker*> chosen;
    // Members reserve their room one after the other, under a run number that
    // no real run has, so that the next choice sees what is left.
    for (std::uint32_t index = 0; index < count; ++index) {
        auto* const worker =
            workers_.choose(query, policy_.closed_domains, now);
        if (worker == nullptr)
            break;
        task_id member = any;
        member.index = index;
        worker->runs[{member, 0}] = place_of(job, member);
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
        if (is_whole)
            start_on(*chosen[index], {member, number}, job);
    }
    return is_whole;
}

void graph_scheduler::start_on(
    registered_worker& worker, run_id const& run, job_entry& job)
{
    auto const placed = place_of(job, run.task);
    job.live.emplace(run, worker.id);
    ++counts_.ordered;
    notes_.push_back(
        {schedule_note::kind::run_ordered, run, worker.id, {}, {}});
    auto hints = placed.facts.fills
                     ? workers_.hints_for(worker, placed.facts.image)
                     : std::vector<contention_hint>{};
    worker.order_start(
        run, job.progress.graph().payload, job.progress.checkpoint_of(run.task),
        placed, std::move(hints));
}

std::vector<progress_record> graph_scheduler::take_records(std::size_t most)
{
    std::vector<progress_record> records;
    std::size_t taken = 0;
    while (taken < changed_.size() && records.size() < most) {
        auto const& id = changed_[taken++];
        auto const* const job = find_job(id);
        if (job == nullptr) {
            is_changed_.erase(id);
            continue;
        }
        records.push_back(
            {id, job->progress.version(), job->progress.snapshot()});
    }
    changed_.erase(
        changed_.begin(),
        changed_.begin() + static_cast<std::ptrdiff_t>(taken));
    return records;
}

void graph_scheduler::on_recorded(job_id const& id, std::uint64_t version)
{
    is_changed_.erase(id);
    auto* const job = find_job(id);
    if (job == nullptr)
        return;
    job->recorded_version = std::max(job->recorded_version, version);
    if (job->progress.version() > job->recorded_version)
        mark_changed(id);
    for (auto& [worker_name, worker] : workers_.all())
        advance_acknowledgements(worker);
}

void graph_scheduler::on_not_recorded(job_id const& job)
{
    is_changed_.erase(job);
    mark_changed(job);
}

std::optional<job_phase> graph_scheduler::phase_of(job_id const& job) const
{
    auto const* const found = find_job(job);
    if (found == nullptr)
        return std::nullopt;
    // An end is only told once it is recorded, so that it never reverts.
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

void graph_scheduler::note_job_end(job_entry const& job)
{
    auto const phase = job.progress.phase();
    ++counts_.jobs_ended[phase];
    run_id run;
    run.task.job = job.progress.graph().id;
    notes_.push_back({schedule_note::kind::job_ended, run, {}, {}, phase});
}

std::vector<schedule_note> graph_scheduler::take_notes()
{
    return std::exchange(notes_, {});
}

std::map<std::int32_t, std::size_t> graph_scheduler::waiting_by_priority() const
{
    std::map<std::int32_t, std::size_t> counts;
    for (auto const& each : waiting_)
        ++counts[each.priority];
    return counts;
}

std::size_t graph_scheduler::open_jobs() const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](auto const& entry) {
            return !is_final(entry.second.progress.phase());
        }));
}

} // namespace sycamorespar
