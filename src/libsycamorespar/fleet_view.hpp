/// What an entry believes about the workers, kept for quick placement.
#ifndef SYCAMORESPAR_FLEET_VIEW_HPP
#define SYCAMORESPAR_FLEET_VIEW_HPP

#include "libsycamorespar/free_capacity_index.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/resources.hpp"

#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sycamorespar {

/// A table row inside one process, by number instead of name; from 1.
using class_number = number_id<struct class_number_tag>;

/// What a worker announces about itself.
struct worker_description
{
    /// Its name.
    worker_id id;
    /// The failure domain that it is in.
    failure_domain_id domain;
    /// The rack that it is in.
    rack_id rack;
    /// What it physically holds.
    resources capacity;
};

/// What the tasks of one class use together.
struct class_usage
{
    /// The class.
    class_number of;
    /// How many tasks run.
    std::uint32_t tasks = 0;
    /// What is committed to them.
    resources committed;
};

/// Sums over a rack, a failure domain or the fleet.
struct group_totals
{
    /// Workers that are known.
    std::uint32_t workers = 0;
    /// Workers at which tasks may be placed.
    std::uint32_t available = 0;
    /// What the known workers hold.
    resources capacity;
    /// What is committed on them.
    resources committed;
};

/// One worker as believed.
struct worker_state
{
    /// What it announced.
    worker_description description;
    /// What is committed to tasks.
    resources committed;
    /// False while drained or quarantined.
    bool available = true;
    /// The classes that run there, in no order.
    boost::container::small_vector<class_usage, 4> running;

    /// What is free.
    resources room() const { return description.capacity - committed; }
};

/// The workers with sums by rack, failure domain and class. It is a belief:
/// the agent beside each worker admits by what is true. Each change costs
/// O(log n) for n workers.
class fleet_view
{
public:
    /// The number of a row's class; a new one where the row is new.
    class_number class_of(row_id const& row);

    /// The number of a row's class, where it has one.
    std::optional<class_number> find_class(row_id const& row) const;

    /// The row of a class that `class_of` returned.
    row_id const& row_of(class_number number) const;

    /// Adds a worker, or takes its changed description; what is committed
    /// on a known worker stays.
    void add_worker(worker_description const& description);

    /// Removes a worker and all that is committed on it.
    /// \return false where it is not known.
    bool remove_worker(worker_id const& id);

    /// Takes over what the agent reports in place of what was believed.
    /// \return false where the worker is not known.
    bool
    set_running(worker_id const& id, std::vector<class_usage> const& running);

    /// Counts one task in.
    /// \return false where the worker is not known.
    bool
    commit(worker_id const& id, class_number number, resources const& amount);

    /// Counts one task out.
    /// \return false where the worker is not known or runs none of the class.
    bool
    release(worker_id const& id, class_number number, resources const& amount);

    /// Opens or closes a worker for placement, as when it is quarantined.
    /// \return false where it is not known.
    bool set_available(worker_id const& id, bool available);

    /// Says whether all workers had the time to announce themselves. Until
    /// then no demand is refused as too large for every worker.
    void set_complete(bool complete) { complete_ = complete; }

    /// True where all workers had the time to announce themselves.
    bool is_complete() const { return complete_; }

    /// A worker; null where it is not known.
    worker_state const* find_worker(worker_id const& id) const;

    /// The sums over all workers.
    group_totals const& totals() const { return totals_; }

    /// The sums over a failure domain; zeros where it is not known.
    group_totals domain_totals(failure_domain_id const& domain) const;

    /// The sums over a rack; zeros where it is not known.
    group_totals
    rack_totals(failure_domain_id const& domain, rack_id const& rack) const;

    /// What a class uses on all workers.
    class_usage class_totals(class_number number) const;

    /// How many tasks of a class run in a failure domain.
    std::uint32_t
    tasks_in(failure_domain_id const& domain, class_number number) const;

    /// The failure domains in which workers were seen, by their position.
    std::size_t domain_count() const { return domains_.size(); }

    /// The failure domain at a position.
    failure_domain_id const& domain_at(std::size_t position) const;

    /// The sums of the failure domain at a position.
    group_totals const& domain_totals_at(std::size_t position) const;

    /// How many tasks of a class run in the failure domain at a position.
    std::uint32_t tasks_at(std::size_t position, class_number number) const;

    /// True where the capacity of some worker, seen at any time, holds the
    /// demand.
    bool has_capacity_for(resources const& demand) const;

    /// The same for the failure domain at a position.
    bool has_capacity_at(std::size_t position, resources const& demand) const;

    /// False where surely no worker at the position has room now.
    bool may_have_room_at(std::size_t position, resources const& demand) const;

    /// A worker of the failure domain at a position that has room now.
    /// \return null where none was found.
    worker_state const* find_room_at(
        std::size_t position, resources const& demand,
        std::uint64_t random_bits) const;

    /// Calls a function with each worker; for pages and tests.
    template<class Function>
    void for_each_worker(Function&& visit) const
    {
        for (auto const& found : slot_of_)
            visit(slots_[found.second].state);
    }

private:
    struct slot
    {
        worker_state state;
        std::size_t domain = 0;
        std::size_t rack = 0;
        std::size_t leaf = 0;
    };

    struct rack_entry
    {
        rack_id id;
        group_totals totals;
    };

    struct domain_entry
    {
        failure_domain_id id;
        group_totals totals;
        detail::free_capacity_index rooms;
        std::vector<std::size_t> slot_at_leaf;
        std::vector<std::size_t> unused_leaves;
        std::vector<rack_entry> racks;
        std::unordered_map<rack_id, std::size_t> rack_of;
        std::vector<resources> capacities;
        std::vector<std::uint32_t> tasks;
    };

    slot* find_slot(worker_id const& id);
    std::size_t domain_position(failure_domain_id const& id);
    std::size_t new_slot();
    void place_in_domain(std::size_t position);
    void remove_from_groups(slot& from);
    void add_to_groups(slot const& to);
    void change_committed(slot& at, class_usage const& by, int sign);
    void change_usage(slot& at, class_usage const& by, int sign);
    void refresh_room(slot const& at);

    bool complete_ = false;
    group_totals totals_;
    std::vector<slot> slots_;
    std::vector<std::size_t> unused_slots_;
    std::unordered_map<worker_id, std::size_t> slot_of_;
    std::vector<domain_entry> domains_;
    std::unordered_map<failure_domain_id, std::size_t> domain_of_;
    std::vector<resources> capacities_;
    std::unordered_map<row_id, class_number> class_of_;
    std::vector<row_id> rows_;
    std::vector<class_usage> class_totals_;
};

} // namespace sycamorespar

#endif
