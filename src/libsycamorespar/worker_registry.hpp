/// All workers of a scheduler, an index of what they can take, and the
/// contention model that placement uses.
#ifndef SYCAMORESPAR_WORKER_REGISTRY_HPP
#define SYCAMORESPAR_WORKER_REGISTRY_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/contention_model.hpp"
#include "libsycamorespar/placement_query.hpp"
#include "libsycamorespar/registered_worker.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// The part of a worker's state that rules most workers out for a task. Kept
/// apart from the workers, so that a search reads little memory.
struct worker_slot
{
    /// The worker.
    registered_worker* worker = nullptr;
    /// Resources that no run reserves.
    resources free;
    /// It may take work, as far as that depends on no time and no task.
    bool is_usable = false;
    /// It takes no work before this time.
    monotonic_time usable_from{};
    /// It takes no work from this time on, unless its lease is extended.
    monotonic_time usable_until{};

    /// False if the worker certainly can't take the task now.
    bool may_take(resources const& need, monotonic_time now) const
    {
        return is_usable && now >= usable_from && now < usable_until &&
               fits(need, free);
    }
};

/// All workers, and the contention model that placement uses.
class worker_registry
{
public:
    /// Returns the worker; creates it if it is not registered.
    registered_worker& at(worker_id const& id);
    /// Returns the worker, or null if it is not registered.
    registered_worker* find(worker_id const& id);
    /// Returns the worker, or null if it is not registered.
    registered_worker const* find(worker_id const& id) const;
    /// All workers by id.
    std::map<worker_id, registered_worker>& all() { return workers_; }
    /// All workers by id.
    std::map<worker_id, registered_worker> const& all() const
    {
        return workers_;
    }
    /// Removes the workers for which the function returns true.
    void
    erase_if(std::function<bool(registered_worker const&)> const& is_erased);

    /// Updates the index after a change that leaves the worker less able to
    /// take work.
    void on_loaded(registered_worker& worker);
    /// Updates the index after a change, by which the worker may have become
    /// able to take work that it could not take before.
    void on_changed(registered_worker& worker);
    /// Updates the index after the lease of the worker's runs was extended.
    void on_lease_extended(registered_worker& worker, monotonic_time now);
    /// Moves out the workers that have changed since the last call, and those
    /// whose cooldown has ended; valid until a worker is removed.
    std::vector<registered_worker*> take_changed(monotonic_time now);
    /// The index; the order is arbitrary.
    std::vector<worker_slot> const& slots() const { return slots_; }
    /// Position in the index at which the next search begins, so that searches
    /// that end early reach all workers in turn.
    std::size_t next_search_start();

    /// The number of times that a worker was considered for a step, for
    /// metrics and tests.
    std::uint64_t considered() const { return considered_; }
    /// Counts a worker that is considered.
    void count_considered() { ++considered_; }

    /// Chooses the best worker for a task; null if none can take it now.
    registered_worker* choose(
        placement_query const& query,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);
    /// Chooses another worker for a backfill task, only one where it can run at
    /// full speed without slowing serving tasks; null if there is none.
    registered_worker* choose_alternative(
        placement_query query, worker_id const& current,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);

    /// The contention model.
    contention_model const& contention() const { return contention_; }
    /// Updates the contention model with the measurements of a worker.
    void update_contention(registered_worker& worker, monotonic_time now);
    /// Computes the headroom of the worker's serving tasks if it is outdated.
    void update_headroom(registered_worker& worker, monotonic_time now) const;
    /// Moves out the estimates that have changed considerably since the last
    /// call.
    std::vector<contention_hint> take_changed_estimates()
    {
        return contention_.take_changed_estimates();
    }
    /// The model forgets the own load of a run that has ended.
    void forget_run(run_id const& run) { contention_.forget(run); }
    /// Estimates of the contention that a backfill image causes to each serving
    /// image on a worker.
    std::vector<contention_hint>
    hints_for(registered_worker const& worker, std::string const& image) const;

private:
    std::map<worker_id, registered_worker> workers_;
    std::vector<worker_slot> slots_;
    std::vector<worker_id> changed_;
    std::multimap<monotonic_time, worker_id> cooling_;
    std::size_t search_start_ = 0;
    std::uint64_t considered_ = 0;
    contention_model contention_;
};

} // namespace sycamorespar

#endif
