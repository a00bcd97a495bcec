/// Chooses a worker for a task by power-of-d choices.
#ifndef SYCAMORESPAR_PLACEMENT_HPP
#define SYCAMORESPAR_PLACEMENT_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/random_engine.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <functional>
#include <limits>
#include <string>
#include <variant>

namespace sycamorespar {

/// Why no worker was chosen.
enum class refusal_reason
{
    /// No known worker is large enough: refuse the job.
    never_fits,
    /// All eligible workers are full or unavailable: wait and retry.
    no_room_now,
    /// The failure domains with large enough workers are out of service or not
    /// in the table.
    domain_out,
    /// The row has reached one of its limits.
    quota,
    /// The table has no such row.
    unknown_row,
    /// The demand has a negative amount.
    invalid_demand
};

/// Name of the reason in answers and logs, in snake case.
std::string to_string(refusal_reason reason);

/// Why a task was not placed.
struct placement_refusal
{
    /// Kind of refusal.
    refusal_reason reason = refusal_reason::no_room_now;
    /// One line for the caller with the relevant amounts or names.
    std::string detail;
};

/// Weights of the terms in a worker's score, which is minimised.
struct placement_weights
{
    /// Number of workers compared; more take time and improve little.
    unsigned choices = 8;
    /// Weight per 1.0 of slowdown that the task and its neighbours cause to
    /// each other.
    double interference = 4.0;
    /// Weight of the most used resource after placement, as a part of its
    /// capacity.
    double load = 1.0;
    /// Highest slowdown that the task may add to the chosen worker; the caller
    /// raises it with the time that the task has waited.
    double interference_limit = std::numeric_limits<double>::infinity();
    /// Weight of the accelerators that stay idle, as a part of the worker's.
    double accelerator_waste = 1.0;
};

/// Optional callbacks; an empty one has no effect.
struct placement_hooks
{
    /// Slowdown that one more task of the class adds to a worker, summed over
    /// the task and its neighbours; 0 means none.
    std::function<double(class_number, worker_state const&)> interference;
    /// False if a failure domain accepts no task now, for example while it is
    /// taken out of service or brought back in steps.
    std::function<bool(failure_domain_id const&)> domain_open;
};

/// The chosen worker, or the reason why there is none.
using placement_choice = std::variant<worker_id, placement_refusal>;

/// Highest slowdown that a task may add to its worker after a wait. It is low
/// at first, so that the task gets a worker with little interference, and rises
/// with time, so that the task starts eventually.
double interference_limit_after(duration waited);

/// Chooses a worker for one task of a row. Run time is linear in the number of
/// failure domains and logarithmic in the number of workers.
/// \param demand  the resources to reserve, as the usage estimator gives them.
placement_choice choose_worker(
    resources const& demand, row_id const& row, table_policy const& policy,
    fleet_view const& fleet, random_engine& engine,
    placement_hooks const& hooks = {}, placement_weights const& weights = {});

} // namespace sycamorespar

#endif
