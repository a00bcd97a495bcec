/// How long a worker's runs may continue without an answer of the scheduler.
#ifndef SYCAMORESPAR_RUNNERS_LEASE_TIME_HPP
#define SYCAMORESPAR_RUNNERS_LEASE_TIME_HPP

#include <chrono>

namespace sycamorespar {

/// The longest lease that a worker grants, unless the settings say otherwise.
inline constexpr std::chrono::milliseconds default_max_lease_time{6000};

/// Margin below the worker's longest lease: the worker measures leases by its
/// own clock, which may be ahead of our estimate by the time of a long poll.
inline constexpr std::chrono::milliseconds lease_time_margin{500};

/// The lease time that both runners and schedulers use.
inline std::chrono::milliseconds
lease_time_below(std::chrono::milliseconds max_lease_time)
{
    return max_lease_time - lease_time_margin;
}

} // namespace sycamorespar

#endif
