/// Totals and indices are updated together with each worker.
#include "libsycamorespar/fleet_view.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

// Workers have few distinct sizes, so the list stays short.
void add_capacity(std::vector<resources>& capacities, resources const& capacity)
{
    auto const found =
        std::find(capacities.begin(), capacities.end(), capacity);
    if (found == capacities.end())
        capacities.push_back(capacity);
}

bool fits_any(std::vector<resources> const& capacities, resources const& demand)
{
    return std::any_of(
        capacities.begin(), capacities.end(),
        [&](resources const& capacity) { return fits(demand, capacity); });
}

resources smaller_of(resources const& left, resources const& right)
{
    return {
        std::min(left.millicores, right.millicores),
        std::min(left.memory_mib, right.memory_mib),
        std::min(left.accelerators, right.accelerators)};
}

void add_signed(resources& to, resources const& amount, int sign)
{
    if (sign > 0)
        to += amount;
    else
        to -= amount;
}

void add_worker_to(group_totals& totals, worker_state const& state)
{
    ++totals.workers;
    totals.available += state.available ? 1 : 0;
    totals.capacity += state.description.capacity;
    totals.committed += state.committed;
}

void remove_worker_from(group_totals& totals, worker_state const& state)
{
    --totals.workers;
    totals.available -= state.available ? 1 : 0;
    totals.capacity -= state.description.capacity;
    totals.committed -= state.committed;
}

} // namespace

class_number fleet_view::class_of(row_id const& row)
{
    auto const found = class_of_.find(row);
    if (found != class_of_.end())
        return found->second;
    rows_.push_back(row);
    class_number const number{rows_.size()};
    class_totals_.push_back({number, 0, {}});
    class_of_.emplace(row, number);
    return number;
}

std::optional<class_number> fleet_view::find_class(row_id const& row) const
{
    auto const found = class_of_.find(row);
    if (found == class_of_.end())
        return std::nullopt;
    return found->second;
}

row_id const& fleet_view::row_of(class_number number) const
{
    return rows_[number.value - 1];
}

void fleet_view::add_worker(worker_description const& description)
{
    auto* known = find_slot(description.id);
    if (known != nullptr) {
        remove_from_groups(*known);
        known->state.description = description;
        place_in_domain(slot_of_.at(description.id));
        return;
    }
    auto const position = new_slot();
    slots_[position].state = {description, {}, true, {}};
    slot_of_.emplace(description.id, position);
    place_in_domain(position);
}

bool fleet_view::remove_worker(worker_id const& id)
{
    auto const found = slot_of_.find(id);
    if (found == slot_of_.end())
        return false;
    auto const position = found->second;
    auto& removed = slots_[position];
    remove_from_groups(removed);
    removed.state = {};
    unused_slots_.push_back(position);
    slot_of_.erase(found);
    return true;
}

bool fleet_view::set_running(
    worker_id const& id, std::vector<class_usage> const& running)
{
    auto* at = find_slot(id);
    if (at == nullptr)
        return false;
    for (auto const& usage : at->state.running)
        change_committed(*at, usage, -1);
    at->state.running.assign(running.begin(), running.end());
    for (auto const& usage : running)
        change_committed(*at, usage, 1);
    update_free_capacity(*at);
    return true;
}

bool fleet_view::commit(
    worker_id const& id, class_number number, resources const& amount)
{
    auto* at = find_slot(id);
    if (at == nullptr)
        return false;
    class_usage const task{number, 1, amount};
    change_usage(*at, task, 1);
    change_committed(*at, task, 1);
    update_free_capacity(*at);
    return true;
}

bool fleet_view::release(
    worker_id const& id, class_number number, resources const& amount)
{
    auto* at = find_slot(id);
    if (at == nullptr)
        return false;
    auto const& running = at->state.running;
    auto const found = std::find_if(
        running.begin(), running.end(),
        [&](class_usage const& usage) { return usage.of == number; });
    if (found == running.end())
        return false;
    // The last task of a class releases all of its resources, and no task
    // releases more than is committed, so that the worker's committed resources
    // stay the sum over its classes.
    auto const is_last = found->tasks <= 1;
    auto const released =
        is_last ? found->committed : smaller_of(amount, found->committed);
    class_usage const task{number, 1, released};
    change_usage(*at, task, -1);
    change_committed(*at, task, -1);
    update_free_capacity(*at);
    return true;
}

bool fleet_view::set_available(worker_id const& id, bool available)
{
    auto* at = find_slot(id);
    if (at == nullptr)
        return false;
    if (at->state.available == available)
        return true;
    at->state.available = available;
    auto& domain = domains_[at->domain];
    for (auto* totals :
         {&totals_, &domain.totals, &domain.racks[at->rack].totals}) {
        if (available)
            ++totals->available;
        else
            --totals->available;
    }
    update_free_capacity(*at);
    return true;
}

worker_state const* fleet_view::find_worker(worker_id const& id) const
{
    auto const found = slot_of_.find(id);
    return found == slot_of_.end() ? nullptr : &slots_[found->second].state;
}

group_totals fleet_view::domain_totals(failure_domain_id const& domain) const
{
    auto const found = domain_of_.find(domain);
    if (found == domain_of_.end())
        return {};
    return domains_[found->second].totals;
}

group_totals fleet_view::rack_totals(
    failure_domain_id const& domain, rack_id const& rack) const
{
    auto const found = domain_of_.find(domain);
    if (found == domain_of_.end())
        return {};
    auto const& entry = domains_[found->second];
    auto const at = entry.rack_of.find(rack);
    if (at == entry.rack_of.end())
        return {};
    return entry.racks[at->second].totals;
}

class_usage fleet_view::class_totals(class_number number) const
{
    return class_totals_[number.value - 1];
}

std::uint32_t
fleet_view::tasks_in(failure_domain_id const& domain, class_number number) const
{
    auto const found = domain_of_.find(domain);
    if (found == domain_of_.end())
        return 0;
    return tasks_at(found->second, number);
}

failure_domain_id const& fleet_view::domain_at(std::size_t position) const
{
    return domains_[position].id;
}

group_totals const& fleet_view::domain_totals_at(std::size_t position) const
{
    return domains_[position].totals;
}

std::uint32_t
fleet_view::tasks_at(std::size_t position, class_number number) const
{
    auto const& tasks = domains_[position].tasks;
    return number.value < tasks.size() ? tasks[number.value] : 0;
}

bool fleet_view::has_capacity_for(resources const& demand) const
{
    return fits_any(capacities_, demand);
}

bool fleet_view::has_capacity_at(
    std::size_t position, resources const& demand) const
{
    return fits_any(domains_[position].capacities, demand);
}

bool fleet_view::may_fit_at(std::size_t position, resources const& demand) const
{
    return domains_[position].free_capacities.may_fit(demand);
}

worker_state const* fleet_view::find_fitting_worker_at(
    std::size_t position, resources const& demand,
    std::uint64_t random_bits) const
{
    auto const& domain = domains_[position];
    auto const leaf = domain.free_capacities.find(demand, random_bits);
    if (!leaf)
        return nullptr;
    return &slots_[domain.slot_at_leaf[*leaf]].state;
}

fleet_view::slot* fleet_view::find_slot(worker_id const& id)
{
    auto const found = slot_of_.find(id);
    return found == slot_of_.end() ? nullptr : &slots_[found->second];
}

std::size_t fleet_view::domain_position(failure_domain_id const& id)
{
    auto const [found, is_new] = domain_of_.emplace(id, domains_.size());
    if (is_new) {
        domains_.emplace_back();
        domains_.back().id = id;
    }
    return found->second;
}

std::size_t fleet_view::new_slot()
{
    if (unused_slots_.empty()) {
        slots_.emplace_back();
        return slots_.size() - 1;
    }
    auto const position = unused_slots_.back();
    unused_slots_.pop_back();
    return position;
}

void fleet_view::place_in_domain(std::size_t position)
{
    auto& placed = slots_[position];
    auto const& description = placed.state.description;
    placed.domain = domain_position(description.domain);
    auto& domain = domains_[placed.domain];
    auto const [rack, is_new] =
        domain.rack_of.emplace(description.rack, domain.racks.size());
    if (is_new)
        domain.racks.push_back({description.rack, {}});
    placed.rack = rack->second;
    if (domain.unused_leaves.empty()) {
        placed.leaf = domain.free_capacities.add_leaf();
        domain.slot_at_leaf.push_back(position);
    } else {
        placed.leaf = domain.unused_leaves.back();
        domain.unused_leaves.pop_back();
        domain.slot_at_leaf[placed.leaf] = position;
    }
    add_capacity(capacities_, description.capacity);
    add_capacity(domain.capacities, description.capacity);
    add_to_groups(placed);
}

void fleet_view::remove_from_groups(slot& from)
{
    auto& domain = domains_[from.domain];
    remove_worker_from(totals_, from.state);
    remove_worker_from(domain.totals, from.state);
    remove_worker_from(domain.racks[from.rack].totals, from.state);
    for (auto const& usage : from.state.running) {
        auto& total = class_totals_[usage.of.value - 1];
        total.tasks -= usage.tasks;
        total.committed -= usage.committed;
        domain.tasks[usage.of.value] -= usage.tasks;
    }
    domain.free_capacities.close(from.leaf);
    domain.unused_leaves.push_back(from.leaf);
}

void fleet_view::add_to_groups(slot const& to)
{
    auto& domain = domains_[to.domain];
    add_worker_to(totals_, to.state);
    add_worker_to(domain.totals, to.state);
    add_worker_to(domain.racks[to.rack].totals, to.state);
    domain.tasks.resize(rows_.size() + 1);
    for (auto const& usage : to.state.running) {
        auto& total = class_totals_[usage.of.value - 1];
        total.tasks += usage.tasks;
        total.committed += usage.committed;
        domain.tasks[usage.of.value] += usage.tasks;
    }
    update_free_capacity(to);
}

// Updates the totals for one worker; the calling functions update its usage by
// class.
void fleet_view::change_committed(slot& at, class_usage const& by, int sign)
{
    auto& domain = domains_[at.domain];
    auto& total = class_totals_[by.of.value - 1];
    if (domain.tasks.size() <= by.of.value)
        domain.tasks.resize(rows_.size() + 1);
    auto const change = sign > 0 ? by.tasks : 0U - by.tasks;
    domain.tasks[by.of.value] += change;
    total.tasks += change;
    for (auto* sum :
         {&at.state.committed, &domain.totals.committed,
          &domain.racks[at.rack].totals.committed, &totals_.committed,
          &total.committed})
        add_signed(*sum, by.committed, sign);
}

void fleet_view::change_usage(slot& at, class_usage const& by, int sign)
{
    auto& running = at.state.running;
    auto found = std::find_if(
        running.begin(), running.end(),
        [&](class_usage const& usage) { return usage.of == by.of; });
    if (found == running.end()) {
        running.push_back({by.of, 0, {}});
        found = running.end() - 1;
    }
    found->tasks += sign > 0 ? by.tasks : 0U - by.tasks;
    add_signed(found->committed, by.committed, sign);
    if (found->tasks > 0)
        return;
    *found = running.back();
    running.pop_back();
}

void fleet_view::update_free_capacity(slot const& at)
{
    auto& free_capacities = domains_[at.domain].free_capacities;
    if (at.state.available)
        free_capacities.set(at.leaf, at.state.free_capacity());
    else
        free_capacities.close(at.leaf);
}

} // namespace sycamorespar
