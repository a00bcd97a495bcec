/// Runs one batch policy on the simulated fleet through one scenario.
#ifndef SYCAMORESPAR_BENCH_POLICY_DRIVER_HPP
#define SYCAMORESPAR_BENCH_POLICY_DRIVER_HPP

#include "bench/fake_fleet.hpp"
#include "libsycamorespar/drain_planner.hpp"
#include "libsycamorespar/fault_tracker.hpp"
#include "libsycamorespar/interference_control.hpp"
#include "libsycamorespar/placement.hpp"

#include <list>
#include <set>

namespace sycamorespar::bench {

/// How a policy chooses workers. `ours` is the project's placement; `oracle`
/// knows the actual sizes and slowdowns.
enum class placement_kind
{
    random,
    least_loaded,
    first_fit,
    ours,
    oracle
};

/// How a policy limits the slowdown of services by batch tasks.
enum class control_kind
{
    none,
    threshold,
    ours,
    evict_only,
    oracle
};

/// A policy under test: the project's own or a variant of it ("ours"), a
/// baseline or the oracle.
struct policy_kind
{
    std::string name;
    placement_kind placement = placement_kind::ours;
    control_kind control = control_kind::ours;
    bool learns_sizes = true;
    bool learns_interference = true;
    bool tracks_faults = true;
    bool plans_drains = true;
};

/// The load changes and faults of a run, besides the usual arrivals.
struct scenario
{
    std::string name;
    bool load_shift = false;
    bool noisy_wave = false;
    bool domain_out = false;
    bool bad_worker = false;
    bool never_fit = false;
    bool declarations_off = false;
    bool cancellations = false;
    bool store_slow = false;
};

/// Results of one run.
struct policy_results
{
    fleet_statistics fleet;
    std::uint64_t refused = 0;
    std::uint64_t parked_good = 0;
    std::uint64_t parked_bad = 0;
};

/// Draws the classes' actual sizes, declarations and slowdowns at random.
ground_truth draw_ground_truth(
    nlohmann::json const& settings, scenario const& conditions,
    std::uint64_t seed);

/// Simulates the policy for the number of seconds in the settings.
policy_results run_policy(
    nlohmann::json const& settings, fleet_shape const& shape,
    scenario const& conditions, policy_kind const& policy, std::uint64_t seed);

} // namespace sycamorespar::bench

#endif
