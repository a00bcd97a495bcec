/// An entry's view of the workers, indexed for fast placement.
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

/// The number of a table row's task class, from 1; valid inside one process.
using class_number = number_id<struct class_number_tag>;

/// The description that a worker announces.
struct worker_description
{
    /// Its name.
    worker_id id;
    /// The failure domain that it is in.
    failure_domain_id domain;
    /// The rack that it is in.
    rack_id rack;
    /// Its physical capacity.
    resources capacity;
};

/// Total usage of the tasks of one class.
struct class_usage
{
    /// The class.
    class_number of;
    /// Number of running tasks.
    std::uint32_t tasks = 0;
    /// Sum of the resources committed to them.
    resources committed;
};

/// Totals over a rack, a failure domain or the fleet.
struct group_totals
{
    /// Number of known workers.
    std::uint32_t workers = 0;
    /// Number of workers open for placement.
    std::uint32_t available = 0;
    /// Total capacity of the known workers.
    resources capacity;
    /// Total resources committed on them.
    resources committed;
};

/// The entry's view of one worker.
struct worker_state
{
    /// The announced description.
    worker_description description;
    /// Resources committed to tasks.
    resources committed;
    /// False while the worker is drained or quarantined.
    bool available = true;
    /// Usage by class, unordered.
    boost::container::small_vector<class_usage, 4> running;

    /// Free capacity.
    resources free_capacity() const { return description.capacity - committed; }
};

/// The workers with totals by rack, failure domain and class. The view may be
/// outdated; the agent of each worker has the exact state and decides admission
/// by it. Each change costs O(log n) for n workers.
class fleet_view
{
public:
    /// The number of a row's class; assigns one to a new row.
    class_number class_of(row_id const& row);

    /// The number of a row's class, if it has one.
    std::optional<class_number> find_class(row_id const& row) const;

    /// The row of a class returned by `class_of`.
    row_id const& row_of(class_number number) const;

    /// Adds a worker, or updates the description of a known one, whose
    /// committed resources are kept.
    void add_worker(worker_description const& description);

    /// Removes a worker and the resources committed on it.
    /// \return false where it is not known.
    bool remove_worker(worker_id const& id);

    /// Replaces a worker's usage by the usage that its agent reports.
    /// \return false where the worker is not known.
    bool
    set_running(worker_id const& id, std::vector<class_usage> const& running);

    /// Commits resources to one more task of a class.
    /// \return false where the worker is not known.
    bool
    commit(worker_id const& id, class_number number, resources const& amount);

    /// Releases one task of a class and its resources.
    /// \return false where the worker is not known or runs none of the class.
    bool
    release(worker_id const& id, class_number number, resources const& amount);

    /// Opens or closes a worker for placement, for example for a quarantine.
    /// \return false where it is not known.
    bool set_available(worker_id const& id, bool available);

    /// Sets whether all workers had the time to announce themselves. Before
    /// that, no demand is refused as too large for every worker.
    void set_complete(bool complete) { complete_ = complete; }

    /// True once all workers had the time to announce themselves.
    bool is_complete() const { return complete_; }

    /// A worker; null where it is not known.
    worker_state const* find_worker(worker_id const& id) const;

    /// Totals over all workers.
    group_totals const& totals() const { return totals_; }

    /// Totals over a failure domain; zeros where it is not known.
    group_totals domain_totals(failure_domain_id const& domain) const;

    /// Totals over a rack; zeros where it is not known.
    group_totals
    rack_totals(failure_domain_id const& domain, rack_id const& rack) const;

    /// Total usage of a class on all workers.
    class_usage class_totals(class_number number) const;

    /// Number of running tasks of a class in a failure domain.
    std::uint32_t
    tasks_in(failure_domain_id const& domain, class_number number) const;

    /// Number of failure domains seen so far; positions are below it.
    std::size_t domain_count() const { return domains_.size(); }

    /// The failure domain at a position.
    failure_domain_id const& domain_at(std::size_t position) const;

    /// Totals of the failure domain at a position.
    group_totals const& domain_totals_at(std::size_t position) const;

    /// Number of running tasks of a class in the failure domain at a position.
    std::uint32_t tasks_at(std::size_t position, class_number number) const;

    /// True where the demand fits the capacity of some worker seen so far,
    /// including removed ones.
    bool has_capacity_for(resources const& demand) const;

    /// The same for the failure domain at a position.
    bool has_capacity_at(std::size_t position, resources const& demand) const;

    /// False only where no worker at the position has enough free capacity.
    bool may_fit_at(std::size_t position, resources const& demand) const;

    /// A worker with enough free capacity in the failure domain at a position;
    /// the random bits spread the choices.
    /// \return null where none was found.
    worker_state const* find_fitting_worker_at(
        std::size_t position, resources const& demand,
        std::uint64_t random_bits) const;

    /// Calls a function with the state of each worker; for status pages and
    /// tests.
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
        detail::free_capacity_index free_capacities;
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
    void update_free_capacity(slot const& at);

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
