/// The bucket's state is stored as the time at which it is empty; each call
/// advances that time by the interval that earns one call. Rounding errors
/// don't accumulate, and neither an unchanged clock nor a long pause needs
/// special handling.
#include "libsycamorespar/rate_budget.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

constexpr duration one_second = std::chrono::seconds(1);

// Rounds up, so that the rate is never exceeded.
duration cost_of_call(std::int64_t calls_per_second)
{
    auto const calls = std::max<std::int64_t>(calls_per_second, 1);
    return duration((one_second.count() + calls - 1) / calls);
}

} // namespace

rate_budget::rate_budget(rate_limits const& limits, monotonic_time now)
    : cost_(cost_of_call(limits.calls_per_second)),
      credit_limit_(cost_ * std::max<std::int64_t>(limits.burst, 1)),
      empty_at_(now - credit_limit_)
{}

bool rate_budget::take(monotonic_time now)
{
    if (wait(now) > duration::zero())
        return false;
    empty_at_ = std::max(empty_at_, now - credit_limit_) + cost_;
    return true;
}

duration rate_budget::wait(monotonic_time now) const
{
    auto const earliest = empty_at_ + cost_;
    return std::max(earliest - now, duration::zero());
}

} // namespace sycamorespar
