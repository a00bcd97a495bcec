/// Runs of a task are told apart by their number. A checkpoint of a run that
/// isn't live is ignored, and so is an end, unless it is a failure or completes
/// the task, so messages may arrive late, repeatedly or out of order.
#include "libsycamorespar/graph_progress.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// Upper bound of the runs of one task that an earlier scheduler started after
/// its last record; a new leader skips this many run numbers. Each end is
/// recorded within seconds, so there are far fewer.
constexpr std::uint32_t max_unrecorded_runs = 100;

/// The number of the latest run up to which a task without failures is not
/// recorded. Together with the unrecorded runs it stays below the numbers that
/// a new leader skips.
constexpr std::uint32_t max_unlisted_run = max_unrecorded_runs / 5;

/// Runs of one task that may be live at once if copies may run.
constexpr std::size_t max_live_runs = 2;

bool is_live(task_progress const& task, std::uint32_t run)
{
    return std::find(task.live_runs.begin(), task.live_runs.end(), run) !=
           task.live_runs.end();
}

bool is_idle(task_progress const& task)
{
    return !task.is_done && task.live_runs.empty();
}

} // namespace

bool is_final(job_phase phase)
{
    return phase == job_phase::completed || phase == job_phase::failed ||
           phase == job_phase::cancelled;
}

char const* to_string(job_phase phase)
{
    switch (phase) {
    case job_phase::queued:
        return "queued";
    case job_phase::running:
        return "running";
    case job_phase::completed:
        return "completed";
    case job_phase::failed:
        return "failed";
    case job_phase::cancelled:
        return "cancelled";
    }
    return "queued";
}

graph_progress::graph_progress(job_graph graph, std::uint32_t max_failures)
    : graph_(std::move(graph)), max_failures_(std::max(max_failures, 1U))
{
    if (graph_.schedule.count == 0) {
        occurrences_.emplace(0, new_occurrence());
        next_occurrence_ = 1;
    }
}

graph_progress::occurrence_progress graph_progress::new_occurrence() const
{
    task_progress fresh;
    fresh.may_have_unrecorded_runs = is_restored_;
    occurrence_progress created;
    for (auto const& step : graph_.steps)
        created.steps.push_back(
            {std::vector<task_progress>(step.count, fresh), 0});
    created.open_steps = graph_.steps.size();
    return created;
}

void graph_progress::restore(graph_snapshot const& recorded)
{
    is_restored_ = true;
    phase_ = recorded.phase;
    // A record of another writer may name occurrences that the job doesn't
    // have; every occurrence up to the last one named takes memory.
    auto const occurrences = std::max(graph_.schedule.count, 1U);
    first_open_ = std::min(recorded.first_open, occurrences);
    occurrences_.clear();
    next_occurrence_ =
        std::max(first_open_, graph_.schedule.count == 0 ? 1U : 0U);
    for (auto const& each : recorded.tasks) {
        if (each.occurrence < occurrences)
            next_occurrence_ = std::max(next_occurrence_, each.occurrence + 1);
    }
    for (auto const& each : recorded.steps) {
        if (each.occurrence < occurrences)
            next_occurrence_ = std::max(next_occurrence_, each.occurrence + 1);
    }
    for (auto each = first_open_; each < next_occurrence_; ++each)
        occurrences_.emplace(each, new_occurrence());
    for (auto const& each : recorded.tasks) {
        task_id const id{graph_.id, each.occurrence, each.step, each.index};
        auto* const task = find_mutable(id);
        if (task == nullptr)
            continue;
        task->last_run = each.last_run;
        task->failed_runs = each.failed_runs;
        task->checkpoint = each.checkpoint;
        if (each.is_done && !task->is_done)
            complete_task(id);
    }
    for (auto const& each : recorded.steps)
        restore_done(each);
}

void graph_progress::restore_done(step_snapshot const& recorded)
{
    for (std::size_t index = 0; index < recorded.is_done.size(); ++index) {
        task_id const id{
            graph_.id, recorded.occurrence, recorded.step,
            static_cast<std::uint32_t>(index)};
        auto const* const task = find(id);
        if (recorded.is_done[index] && task != nullptr && !task->is_done)
            complete_task(id);
    }
}

graph_step const& graph_progress::step_of(task_id const& task) const
{
    return graph_.steps.at(task.step);
}

bool graph_progress::has(task_id const& task) const
{
    auto const occurrences = std::max(graph_.schedule.count, 1U);
    return task.job == graph_.id && task.occurrence < occurrences &&
           task.step < graph_.steps.size() &&
           task.index < graph_.steps[task.step].count;
}

task_progress const* graph_progress::find(task_id const& task) const
{
    if (!has(task))
        return nullptr;
    auto const found = occurrences_.find(task.occurrence);
    if (found == occurrences_.end())
        return nullptr;
    return &found->second.steps[task.step].tasks[task.index];
}

task_progress* graph_progress::find_mutable(task_id const& task)
{
    return const_cast<task_progress*>(std::as_const(*this).find(task));
}

std::optional<std::chrono::milliseconds> graph_progress::next_due() const
{
    if (is_final(phase_) || next_occurrence_ >= graph_.schedule.count)
        return std::nullopt;
    return graph_.schedule.first + graph_.schedule.interval * next_occurrence_;
}

std::vector<task_id>
graph_progress::open_due(std::chrono::milliseconds time_of_day)
{
    std::vector<task_id> due;
    for (auto next = next_due(); next && *next <= time_of_day;
         next = next_due())
        open_next(due);
    return due;
}

std::vector<task_id> graph_progress::open_through(std::uint32_t occurrence)
{
    std::vector<task_id> due;
    if (occurrence >= graph_.schedule.count)
        return due;
    while (next_due() && next_occurrence_ <= occurrence)
        open_next(due);
    return due;
}

void graph_progress::open_next(std::vector<task_id>& due)
{
    occurrences_.emplace(next_occurrence_, new_occurrence());
    for (std::uint32_t step = 0; step < graph_.steps.size(); ++step)
        append_due(next_occurrence_, step, due);
    ++next_occurrence_;
}

bool graph_progress::is_open(
    occurrence_progress const& of, std::uint32_t step) const
{
    auto const& after = graph_.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t before) {
        return of.steps[before].done == graph_.steps[before].count;
    });
}

bool graph_progress::is_due(task_id const& task) const
{
    auto const* const found = find(task);
    if (found == nullptr || is_final(phase_) || !is_idle(*found))
        return false;
    auto const& of = occurrences_.at(task.occurrence);
    if (!is_open(of, task.step))
        return false;
    auto const& members = of.steps[task.step].tasks;
    return !step_of(task).gang ||
           std::all_of(members.begin(), members.end(), &is_idle);
}

bool graph_progress::may_copy(task_id const& task) const
{
    auto const* const found = find(task);
    return found != nullptr && !is_final(phase_) && !found->is_done &&
           step_of(task).speculative && !step_of(task).gang &&
           !found->live_runs.empty() && found->live_runs.size() < max_live_runs;
}

void graph_progress::append_due(
    std::uint32_t occurrence, std::uint32_t step,
    std::vector<task_id>& due) const
{
    for (std::uint32_t index = 0; index < graph_.steps[step].count; ++index) {
        task_id const task{graph_.id, occurrence, step, index};
        if (is_due(task))
            due.push_back(task);
    }
}

std::vector<task_id> graph_progress::due_tasks() const
{
    std::vector<task_id> due;
    for (auto const& [occurrence, of] : occurrences_) {
        for (std::uint32_t step = 0; step < of.steps.size(); ++step)
            append_due(occurrence, step, due);
    }
    return due;
}

std::uint32_t graph_progress::next_run_number(task_progress const& task) const
{
    return task.last_run + 1 +
           (task.may_have_unrecorded_runs ? max_unrecorded_runs : 0);
}

std::uint32_t graph_progress::begin_run(task_id const& task)
{
    invariant(
        is_due(task) || may_copy(task),
        "a run starts only for a task that is due or may have a copy");
    invariant(!step_of(task).gang, "the tasks of a gang start together");
    auto& chosen = *find_mutable(task);
    chosen.last_run = next_run_number(chosen);
    chosen.may_have_unrecorded_runs = false;
    chosen.live_runs.push_back(chosen.last_run);
    if (phase_ == job_phase::queued)
        phase_ = job_phase::running;
    return chosen.last_run;
}

std::uint32_t graph_progress::begin_gang_run(task_id const& any_member)
{
    invariant(is_due(any_member), "a gang starts only when it is due");
    auto& members =
        occurrences_.at(any_member.occurrence).steps[any_member.step].tasks;
    std::uint32_t number = 0;
    for (auto const& member : members)
        number = std::max(number, next_run_number(member));
    for (auto& member : members) {
        member.last_run = number;
        member.may_have_unrecorded_runs = false;
        member.live_runs.assign(1, number);
    }
    if (phase_ == job_phase::queued)
        phase_ = job_phase::running;
    return number;
}

std::string const& graph_progress::checkpoint_of(task_id const& task) const
{
    auto const& tasks = occurrences_.at(task.occurrence).steps[task.step].tasks;
    return tasks[step_of(task).gang ? 0 : task.index].checkpoint;
}

bool graph_progress::adopt_run(run_id const& run)
{
    auto* const found = find_mutable(run.task);
    if (found == nullptr || is_final(phase_) || found->is_done)
        return false;
    if (is_live(*found, run.number))
        return true;
    bool const may_join =
        found->live_runs.empty() || step_of(run.task).speculative;
    if (!may_join || run.number < found->last_run ||
        found->live_runs.size() >= max_live_runs)
        return false;
    // may_have_unrecorded_runs stays set: later runs may have started on other
    // workers.
    found->last_run = run.number;
    found->live_runs.push_back(run.number);
    if (phase_ == job_phase::queued)
        phase_ = job_phase::running;
    return true;
}

bool graph_progress::needs_runs_of(task_id const& task) const
{
    auto const* const found = find(task);
    return found != nullptr && !is_final(phase_) && !found->is_done;
}

void graph_progress::save_checkpoint(
    run_id const& run, std::string const& checkpoint)
{
    auto* const found = find_mutable(run.task);
    if (found == nullptr || checkpoint.empty() || !is_live(*found, run.number))
        return;
    task_id holder = run.task;
    if (step_of(run.task).gang)
        holder.index = 0;
    find_mutable(holder)->checkpoint = checkpoint;
}

void graph_progress::count_failure(run_id const& run)
{
    auto const& step = step_of(run.task);
    if (step.long_running)
        return;
    // A gang counts its failures once, for its first task.
    task_id counted = run.task;
    if (step.gang)
        counted.index = 0;
    auto& failed = find_mutable(counted)->failed_runs;
    if (std::find(failed.begin(), failed.end(), run.number) != failed.end())
        return;
    failed.push_back(run.number);
    ++version_;
    if (failed.size() >= max_failures_ && !is_final(phase_))
        phase_ = job_phase::failed;
}

std::vector<task_id> graph_progress::complete_task(task_id const& task)
{
    auto& of = occurrences_.at(task.occurrence);
    auto& step = of.steps[task.step];
    step.tasks[task.index].is_done = true;
    step.tasks[task.index].checkpoint.clear();
    ++step.done;
    if (step.done < step.tasks.size())
        return {};
    std::vector<task_id> due;
    for (auto next = task.step + 1; next < graph_.steps.size(); ++next) {
        auto const& after = graph_.steps[next].after;
        if (std::find(after.begin(), after.end(), task.step) != after.end())
            append_due(task.occurrence, next, due);
    }
    --of.open_steps;
    if (of.open_steps == 0)
        close_occurrence(task.occurrence);
    return due;
}

std::vector<task_id> graph_progress::complete_gang(task_id const& member)
{
    auto& tasks = occurrences_.at(member.occurrence).steps[member.step].tasks;
    std::vector<task_id> due;
    auto const count = static_cast<std::uint32_t>(tasks.size());
    for (std::uint32_t index = 0; index < count; ++index) {
        task_id each = member;
        each.index = index;
        due = complete_task(each);
    }
    return due;
}

void graph_progress::close_occurrence(std::uint32_t occurrence)
{
    if (occurrence != first_open_)
        return;
    while (!occurrences_.empty() &&
           occurrences_.begin()->second.open_steps == 0) {
        occurrences_.erase(occurrences_.begin());
        ++first_open_;
    }
    if (first_open_ >= std::max(graph_.schedule.count, 1U) && !is_final(phase_))
        phase_ = job_phase::completed;
}

void graph_progress::count_late_failure(run_id const& run)
{
    auto const* const found = find(run.task);
    if (found != nullptr && !found->is_done && !is_final(phase_))
        count_failure(run);
}

std::vector<task_id> graph_progress::finish_late(run_id const& run)
{
    auto const* const found = find(run.task);
    if (found == nullptr || found->is_done || is_final(phase_) ||
        step_of(run.task).long_running)
        return {};
    ++version_;
    return step_of(run.task).gang ? complete_gang(run.task)
                                  : complete_task(run.task);
}

std::vector<task_id> graph_progress::end_run(
    run_id const& run, run_end how, std::string const& checkpoint)
{
    auto* const found = find_mutable(run.task);
    if (found == nullptr || found->is_done || !is_live(*found, run.number))
        return {};
    auto const& step = step_of(run.task);
    save_checkpoint(run, checkpoint);
    std::erase(found->live_runs, run.number);
    ++version_;
    if (how == run_end::finished && !step.long_running)
        return step.gang ? complete_gang(run.task) : complete_task(run.task);
    if (how == run_end::failed)
        count_failure(run);
    std::vector<task_id> due;
    if (step.gang)
        append_due(run.task.occurrence, run.task.step, due);
    else if (is_due(run.task))
        due.push_back(run.task);
    return due;
}

void graph_progress::cancel()
{
    if (is_final(phase_))
        return;
    phase_ = job_phase::cancelled;
    ++version_;
}

graph_snapshot graph_progress::snapshot() const
{
    graph_snapshot written{phase_, first_open_, {}, {}};
    if (is_final(phase_))
        return written;
    for (auto const& [occurrence, of] : occurrences_) {
        for (std::uint32_t step = 0; step < of.steps.size(); ++step)
            append_snapshot(occurrence, step, written);
    }
    return written;
}

void graph_progress::append_snapshot(
    std::uint32_t occurrence, std::uint32_t step, graph_snapshot& to) const
{
    auto const& progress = occurrences_.at(occurrence).steps[step];
    auto const& tasks = progress.tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        auto const& task = tasks[index];
        bool const is_listed =
            !task.failed_runs.empty() || task.last_run > max_unlisted_run ||
            (!task.checkpoint.empty() && task.live_runs.empty());
        if (is_listed && !task.is_done)
            to.tasks.push_back(
                {occurrence, step, index, false, task.last_run,
                 task.failed_runs, task.checkpoint});
    }
    if (progress.done == 0)
        return;
    step_snapshot finished{occurrence, step, {}};
    finished.is_done.reserve(tasks.size());
    for (auto const& task : tasks)
        finished.is_done.push_back(task.is_done);
    to.steps.push_back(std::move(finished));
}

} // namespace sycamorespar
