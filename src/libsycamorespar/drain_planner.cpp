/// Plans the drain of failure domains and their gradual return to service.
#include "libsycamorespar/drain_planner.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

double ratio_of(duration part, duration whole)
{
    if (whole <= duration{0})
        return 1.0;
    return static_cast<double>(part.count()) /
           static_cast<double>(whole.count());
}

double ratio_of(std::int64_t part, std::int64_t whole)
{
    if (whole <= 0)
        return 0.0;
    return static_cast<double>(part) / static_cast<double>(whole);
}

duration stop_time(running_task const& task)
{
    return task.can_checkpoint ? task.checkpoint_time : duration{0};
}

// Tasks that can't be checkpointed come first, because all work that they do
// until they are stopped is lost; then those with the longest checkpoints,
// which have to start earliest.
bool is_moved_before(running_task const* left, running_task const* right)
{
    if (left->can_checkpoint != right->can_checkpoint)
        return !left->can_checkpoint;
    if (left->checkpoint_time != right->checkpoint_time)
        return left->checkpoint_time > right->checkpoint_time;
    return left->id < right->id;
}

} // namespace

drain_planner::drain_planner(drain_settings const& settings)
    : settings_(settings)
{}

void drain_planner::start_drain(
    failure_domain_id const& domain, monotonic_time deadline)
{
    auto& state = domains_[domain];
    // A repeated order may bring the deadline forward, but not postpone it.
    state.deadline =
        state.is_draining ? std::min(state.deadline, deadline) : deadline;
    state.is_draining = true;
}

void drain_planner::return_to_service(
    failure_domain_id const& domain, monotonic_time now)
{
    auto const found = domains_.find(domain);
    if (found == domains_.end() || !found->second.is_draining)
        return;
    // Before the deadline most of the domain's work still runs, so no ramp is
    // needed.
    if (now < found->second.deadline) {
        domains_.erase(found);
        return;
    }
    found->second.is_draining = false;
    found->second.returned_at = now;
}

domain_phase
drain_planner::phase(failure_domain_id const& domain, monotonic_time now) const
{
    auto const found = domains_.find(domain);
    if (found == domains_.end())
        return domain_phase::in_service;
    auto const& state = found->second;
    if (state.is_draining) {
        return now < state.deadline ? domain_phase::draining
                                    : domain_phase::drained;
    }
    return now - state.returned_at < settings_.ramp ? domain_phase::returning
                                                    : domain_phase::in_service;
}

double
drain_planner::share(failure_domain_id const& domain, monotonic_time now) const
{
    switch (phase(domain, now)) {
    case domain_phase::in_service:
        return 1.0;
    case domain_phase::returning:
        break;
    default:
        return 0.0;
    }
    auto const since = now - domains_.at(domain).returned_at;
    auto const part = ratio_of(since, settings_.ramp);
    return settings_.initial_share + (1.0 - settings_.initial_share) * part;
}

bool drain_planner::may_start_in(
    failure_domain_id const& domain, group_totals const& totals,
    monotonic_time now) const
{
    auto const allowed = share(domain, now);
    if (allowed >= 1.0)
        return true;
    auto const used = std::max(
        ratio_of(totals.committed.millicores, totals.capacity.millicores),
        ratio_of(totals.committed.memory_mib, totals.capacity.memory_mib));
    return used < allowed;
}

resources drain_planner::free_in_service(
    fleet_view const& fleet, monotonic_time now) const
{
    resources available;
    for (std::size_t at = 0; at < fleet.domain_count(); ++at) {
        if (share(fleet.domain_at(at), now) <= 0.0)
            continue;
        auto const& totals = fleet.domain_totals_at(at);
        available += totals.capacity;
        available -= totals.committed;
    }
    return available;
}

std::vector<drain_action> drain_planner::next_steps(
    failure_domain_id const& domain, drain_input const& input,
    monotonic_time now) const
{
    std::vector<drain_action> steps;
    auto const found = domains_.find(domain);
    if (found == domains_.end() || !found->second.is_draining)
        return steps;
    auto const latest_stop = found->second.deadline - settings_.margin;
    auto const time_left = std::max(duration{0}, latest_stop - now);
    std::vector<running_task const*> to_move;
    for (auto const& task : input.tasks) {
        auto const needed =
            static_cast<double>(task.expected_remaining.count());
        auto const limit =
            static_cast<double>(time_left.count()) * settings_.stay_ratio;
        if (task.is_long_lived)
            steps.emplace_back(replace_task{task.id});
        else if (needed > limit)
            to_move.push_back(&task);
    }
    std::sort(to_move.begin(), to_move.end(), is_moved_before);

    // A task is moved early if there is capacity for it elsewhere. Otherwise it
    // runs until the remaining checkpoints need all of the time that is left.
    duration checkpoint_time_left{0};
    for (auto const* task : to_move)
        checkpoint_time_left += stop_time(*task);
    auto available = input.free_elsewhere;
    auto free_moves =
        settings_.parallel_moves -
        std::min(settings_.parallel_moves, input.moves_in_progress);
    for (auto const* task : to_move) {
        auto const needed = std::max(
            stop_time(*task), checkpoint_time_left / settings_.parallel_moves);
        auto const must_move = time_left <= needed;
        checkpoint_time_left -= stop_time(*task);
        if (free_moves == 0 && !must_move)
            continue;
        if (!must_move && !fits(task->reserved, available))
            continue;
        if (fits(task->reserved, available))
            available -= task->reserved;
        free_moves -= free_moves > 0 ? 1 : 0;
        steps.emplace_back(move_task{task->id});
    }
    return steps;
}

} // namespace sycamorespar
