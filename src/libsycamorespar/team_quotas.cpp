/// Team quotas, and plans that free capacity for urgent tasks.
#include "libsycamorespar/team_quotas.hpp"

#include <algorithm>
#include <limits>

namespace sycamorespar {

namespace {

double ratio_of(std::int64_t part, std::int64_t whole)
{
    if (whole <= 0)
        return 0.0;
    return static_cast<double>(part) / static_cast<double>(whole);
}

bool stops_in_time(running_task const& task, duration stop_within)
{
    if (task.is_long_lived)
        return false;
    return !task.can_checkpoint || task.checkpoint_time <= stop_within;
}

std::vector<running_task const*>
cheapest_first(std::span<running_task const> tasks, duration stop_within)
{
    std::vector<running_task const*> order;
    for (auto const& task : tasks) {
        if (stops_in_time(task, stop_within))
            order.push_back(&task);
    }
    std::sort(
        order.begin(), order.end(),
        [](running_task const* left, running_task const* right) {
            auto const left_cost = work_lost_by_moving(*left);
            auto const right_cost = work_lost_by_moving(*right);
            if (left_cost != right_cost)
                return left_cost < right_cost;
            return left->id < right->id;
        });
    return order;
}

// Selects the cheapest tasks until the demand fits, then drops those, most
// expensive first, that turn out not to be needed.
std::optional<reclaim_plan> plan_on_worker(
    resources const& demand, reclaim_candidate const& at, duration stop_within)
{
    auto available = at.available;
    std::vector<running_task const*> chosen;
    for (auto const* task : cheapest_first(at.tasks, stop_within)) {
        if (fits(demand, available))
            break;
        available += task->reserved;
        chosen.push_back(task);
    }
    if (!fits(demand, available))
        return std::nullopt;
    reclaim_plan plan{at.id, {}, core_seconds{0}};
    std::reverse(chosen.begin(), chosen.end());
    for (auto const* task : chosen) {
        if (fits(demand, available - task->reserved)) {
            available -= task->reserved;
            continue;
        }
        plan.move.push_back(task->id);
        plan.lost += work_lost_by_moving(*task);
    }
    return plan;
}

} // namespace

void team_quotas::set_quota(team_id const& team, team_quota const& quota)
{
    teams_[team].quota = quota;
}

void team_quotas::commit(team_id const& team, resources const& amount)
{
    teams_[team].reserved += amount;
}

void team_quotas::release(team_id const& team, resources const& amount)
{
    teams_[team].reserved -= amount;
}

resources team_quotas::reserved(team_id const& team) const
{
    auto const found = teams_.find(team);
    return found == teams_.end() ? resources{} : found->second.reserved;
}

bool team_quotas::allows(team_id const& team, resources const& demand) const
{
    auto const found = teams_.find(team);
    if (found == teams_.end() || !found->second.quota.limit)
        return true;
    return fits(found->second.reserved + demand, *found->second.quota.limit);
}

double
team_quotas::weighted_share(team_id const& team, resources const& fleet) const
{
    auto const found = teams_.find(team);
    if (found == teams_.end())
        return 0.0;
    auto const& reserved = found->second.reserved;
    auto const share = std::max(
        {ratio_of(reserved.millicores, fleet.millicores),
         ratio_of(reserved.memory_mib, fleet.memory_mib),
         ratio_of(reserved.accelerators, fleet.accelerators)});
    return share / found->second.quota.weight;
}

std::optional<std::size_t> team_quotas::next(
    std::span<waiting_demand const> waiting, resources const& fleet) const
{
    std::optional<std::size_t> best;
    auto best_share = std::numeric_limits<double>::infinity();
    for (std::size_t at = 0; at < waiting.size(); ++at) {
        auto const& [team, demand] = waiting[at];
        if (!allows(team, demand))
            continue;
        auto const share = weighted_share(team, fleet);
        if (share >= best_share)
            continue;
        best = at;
        best_share = share;
    }
    return best;
}

std::optional<reclaim_plan> plan_reclaim(
    resources const& demand, std::span<reclaim_candidate const> candidates,
    duration stop_within)
{
    std::optional<reclaim_plan> best;
    for (auto const& candidate : candidates) {
        auto plan = plan_on_worker(demand, candidate, stop_within);
        if (!plan || (best && plan->lost >= best->lost))
            continue;
        best = std::move(plan);
    }
    return best;
}

resources reclaimable(std::span<running_task const> tasks, duration stop_within)
{
    resources sum;
    for (auto const& task : tasks) {
        if (stops_in_time(task, stop_within))
            sum += task.reserved;
    }
    return sum;
}

} // namespace sycamorespar
