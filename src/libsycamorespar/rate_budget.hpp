/// A token bucket that limits the rate of calls.
#ifndef SYCAMORESPAR_RATE_BUDGET_HPP
#define SYCAMORESPAR_RATE_BUDGET_HPP

#include "libsycamorespar/clock.hpp"

#include <chrono>
#include <cstdint>

namespace sycamorespar {

/// The limits of a budget.
struct rate_limits
{
    /// Average number of calls per second; at least 1.
    std::int64_t calls_per_second = 1;
    /// Maximum number of calls at once after a pause; at least 1.
    std::int64_t burst = 1;
};

/// Limits the rate of calls. Any time span has at most the burst plus the
/// number of calls that the rate allows for that span.
class rate_budget
{
public:
    /// Starts with the full burst. Rates and bursts below 1 are treated as 1.
    rate_budget(rate_limits const& limits, monotonic_time now);

    /// Uses up one call; false if none is available.
    bool take(monotonic_time now);
    /// The time until a call is available; zero if one is available now.
    duration wait(monotonic_time now) const;

private:
    duration cost_;
    duration credit_limit_;
    /// The time at which the bucket was, or would have been, empty.
    monotonic_time empty_at_;
};

} // namespace sycamorespar

#endif
