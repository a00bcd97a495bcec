/// How long a worker's runs go on without word from the scheduler.
#ifndef SYCAMORESPAR_RUNNERS_LEASE_TIME_HPP
#define SYCAMORESPAR_RUNNERS_LEASE_TIME_HPP

#include <chrono>

namespace sycamorespar {

/// The longest lease that a worker gives where the settings don't say.
inline constexpr std::chrono::milliseconds default_max_lease_time{6000};

/// What is kept below the worker's longest lease: the worker counts it from
/// its own clock, which may be ahead of our estimate by a long poll.
inline constexpr std::chrono::milliseconds lease_time_margin{500};

/// The hold time that runners and schedulers both count by.
inline std::chrono::milliseconds
lease_time_below(std::chrono::milliseconds max_lease_time)
{
    return max_lease_time - lease_time_margin;
}

} // namespace sycamorespar

#endif
