/// Chooses a worker for a task by power-of-d choices.
#include "libsycamorespar/placement.hpp"

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <limits>

namespace sycamorespar {

namespace {

struct open_domain
{
    std::size_t position = 0;
    std::uint64_t workers = 0;
};

constexpr double first_interference_limit = 0.01;
constexpr double interference_limit_rise_per_second = 0.1 / 300;

constexpr std::size_t usual_domain_count = 16;
using open_domains =
    boost::container::small_vector<open_domain, usual_domain_count>;

std::string describe(resources const& amount)
{
    return std::to_string(amount.millicores) + " millicores, " +
           std::to_string(amount.memory_mib) + " MiB, " +
           std::to_string(amount.accelerators) + " accelerators";
}

bool is_below_domain_limit(
    row_policy const& row, fleet_view const& fleet, std::size_t position,
    std::optional<class_number> number)
{
    auto const found = row.domain_limits.find(fleet.domain_at(position));
    if (found == row.domain_limits.end())
        return true;
    auto const running = number ? fleet.tasks_at(position, *number) : 0;
    return running < found->second;
}

bool exceeds(std::optional<std::int64_t> const& limit, std::int64_t amount)
{
    return limit && amount > *limit;
}

bool is_within_row_limits(
    row_policy const& row, resources const& demand, fleet_view const& fleet,
    std::optional<class_number> number)
{
    auto wanted = demand;
    if (number)
        wanted += fleet.class_totals(*number).committed;
    return !exceeds(row.millicores_limit, wanted.millicores) &&
           !exceeds(row.memory_mib_limit, wanted.memory_mib) &&
           !exceeds(row.accelerators_limit, wanted.accelerators);
}

double part_of(std::int64_t amount, std::int64_t whole)
{
    if (whole <= 0)
        return 0.0;
    return static_cast<double>(amount) / static_cast<double>(whole);
}

double load_after(resources const& demand, worker_state const& worker)
{
    auto const after = worker.committed + demand;
    auto const& capacity = worker.description.capacity;
    return std::max(
        part_of(after.millicores, capacity.millicores),
        part_of(after.memory_mib, capacity.memory_mib));
}

// Keeps workers with idle accelerators free for tasks that need them, and packs
// tasks with accelerators onto workers whose accelerators are partly in use
// before an unused worker is taken.
double accelerator_waste(resources const& demand, worker_state const& worker)
{
    auto const idle = worker.free_capacity().accelerators - demand.accelerators;
    return part_of(idle, worker.description.capacity.accelerators);
}

double score(
    resources const& demand, std::optional<class_number> number,
    worker_state const& worker, placement_hooks const& hooks,
    placement_weights const& weights)
{
    auto total = weights.load * load_after(demand, worker);
    total += weights.accelerator_waste * accelerator_waste(demand, worker);
    if (!hooks.interference || !number)
        return total;
    auto const slowdown = hooks.interference(*number, worker);
    if (slowdown > weights.interference_limit)
        return std::numeric_limits<double>::infinity();
    return total + weights.interference * slowdown;
}

// Finds the reason why no worker was chosen; called only if placement fails.
placement_refusal explain(
    resources const& demand, row_policy const& row, table_policy const& policy,
    fleet_view const& fleet, std::optional<class_number> number)
{
    if (fleet.is_complete() && !fleet.has_capacity_for(demand)) {
        return {
            refusal_reason::never_fits, "no worker holds " + describe(demand)};
    }
    auto is_domain_in = false;
    auto is_under_limit = false;
    for (std::size_t at = 0; at < fleet.domain_count(); ++at) {
        if (!fleet.has_capacity_at(at, demand))
            continue;
        if (!may_run_in(policy, row, fleet.domain_at(at)))
            continue;
        is_domain_in = true;
        if (is_below_domain_limit(row, fleet, at, number))
            is_under_limit = true;
    }
    if (fleet.has_capacity_for(demand) && !is_domain_in) {
        return {
            refusal_reason::domain_out,
            "the failure domains that could hold it are out of service"};
    }
    if (is_domain_in && !is_under_limit) {
        return {
            refusal_reason::quota,
            "row " + row.id.value + " is at its failure domain limits"};
    }
    return {
        refusal_reason::no_room_now,
        "no worker has " + describe(demand) + " free"};
}

open_domains find_open_domains(
    resources const& demand, row_policy const& row, table_policy const& policy,
    fleet_view const& fleet, std::optional<class_number> number,
    placement_hooks const& hooks)
{
    open_domains found;
    for (std::size_t at = 0; at < fleet.domain_count(); ++at) {
        if (!fleet.may_fit_at(at, demand))
            continue;
        auto const& domain = fleet.domain_at(at);
        if (!may_run_in(policy, row, domain))
            continue;
        if (!is_below_domain_limit(row, fleet, at, number))
            continue;
        if (hooks.domain_open && !hooks.domain_open(domain))
            continue;
        found.push_back({at, fleet.domain_totals_at(at).available});
    }
    return found;
}

std::size_t draw_domain(open_domains const& domains, random_engine& engine)
{
    std::uint64_t sum = 0;
    for (auto const& domain : domains)
        sum += domain.workers;
    boost::random::uniform_int_distribution<std::uint64_t> draw(0, sum - 1);
    auto left = draw(engine);
    for (auto const& domain : domains) {
        if (left < domain.workers)
            return domain.position;
        left -= domain.workers;
    }
    return domains.back().position;
}

} // namespace

std::string to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::never_fits:
        return "never_fits";
    case refusal_reason::no_room_now:
        return "no_room_now";
    case refusal_reason::domain_out:
        return "domain_out";
    case refusal_reason::quota:
        return "quota";
    case refusal_reason::unknown_row:
        return "unknown_row";
    case refusal_reason::invalid_demand:
        return "invalid_demand";
    }
    return "unknown";
}

double interference_limit_after(duration waited)
{
    auto const seconds = std::chrono::duration<double>(waited).count();
    return first_interference_limit +
           seconds * interference_limit_rise_per_second;
}

placement_choice choose_worker(
    resources const& demand, row_id const& row, table_policy const& policy,
    fleet_view const& fleet, random_engine& engine,
    placement_hooks const& hooks, placement_weights const& weights)
{
    if (!is_valid_demand(demand)) {
        return placement_refusal{
            refusal_reason::invalid_demand, describe(demand)};
    }
    auto const* found_row = find_row(policy, row);
    if (found_row == nullptr)
        return placement_refusal{refusal_reason::unknown_row, row.value};
    auto const& limits = *found_row;
    auto const number = fleet.find_class(row);
    if (!is_within_row_limits(limits, demand, fleet, number)) {
        return placement_refusal{
            refusal_reason::quota, "row " + row.value + " is at its limits"};
    }
    auto const domains =
        find_open_domains(demand, limits, policy, fleet, number, hooks);
    worker_state const* best = nullptr;
    auto best_score = std::numeric_limits<double>::infinity();
    boost::random::uniform_int_distribution<std::uint64_t> bits;
    for (unsigned i = 0; i < weights.choices && !domains.empty(); ++i) {
        auto const position = draw_domain(domains, engine);
        auto const* found =
            fleet.find_fitting_worker_at(position, demand, bits(engine));
        if (found == nullptr || found == best)
            continue;
        auto const found_score = score(demand, number, *found, hooks, weights);
        if (found_score >= best_score)
            continue;
        best = found;
        best_score = found_score;
    }
    if (best == nullptr)
        return explain(demand, limits, policy, fleet, number);
    return best->description.id;
}

} // namespace sycamorespar
