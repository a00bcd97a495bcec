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
    /// Learns reservations from the classes' finished tasks.
    bool learns_sizes = true;
    /// Learns how much each class slows each service.
    bool learns_interference = true;
    /// Quarantines failing workers and parks failing jobs.
    bool tracks_faults = true;
    /// Moves tasks out of a domain before it goes out of service.
    bool plans_drains = true;
};

/// The load changes and faults of a run, besides the usual arrivals.
struct scenario
{
    std::string name;
    /// The load of the services is 1.6 times as high in the middle third.
    bool load_shift = false;
    /// The class that slows services most has 4 times as many arrivals in the
    /// middle third.
    bool noisy_wave = false;
    /// One failure domain drains and is out of service until the end of the
    /// middle third.
    bool domain_out = false;
    /// Every task on one worker fails.
    bool bad_worker = false;
    /// Each minute a job arrives that always fails; every other one of them is
    /// also too large for any worker.
    bool never_fit = false;
    /// Declared sizes are wrong by a factor of up to about 10, by class.
    bool declarations_off = false;
    /// 40 % of the waiting and running jobs are cancelled at half time.
    bool cancellations = false;
    /// Tasks start 15 s after their placement in the middle third, not 1 s.
    bool store_slow = false;
};

/// Results of one run.
struct policy_results
{
    fleet_statistics fleet;
    /// Jobs that fit no worker.
    std::uint64_t refused = 0;
    /// Parked jobs that do not always fail.
    std::uint64_t parked_good = 0;
    /// Parked jobs that always fail.
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
