/// Types for time. The library uses monotonic time that its callers pass in.
#ifndef SYCAMORESPAR_CLOCK_HPP
#define SYCAMORESPAR_CLOCK_HPP

#include <chrono>

namespace sycamorespar {

/// A point in the local process's monotonic time. The library never reads a
/// clock, so that tests can control time.
using monotonic_time = std::chrono::steady_clock::time_point;

/// A span of local monotonic time.
using duration = std::chrono::steady_clock::duration;

} // namespace sycamorespar

#endif
