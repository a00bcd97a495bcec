/// A permit's validity is measured from its issue on the agent's own clock. A
/// message delayed for longer than the validity therefore can't start
/// anything, regardless of other processes' clocks.
#include "libsycamorespar/permit.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

/// How long a permit's time of issue is kept.
constexpr std::chrono::seconds issue_retention{60};

} // namespace

permit permit_issuer::issue(monotonic_time now)
{
    while (!issued_.empty() && now - issued_.front().at >= issue_retention)
        issued_.pop_front();
    last_ = permit_epoch{last_.value + 1};
    issued_.push_back({last_, now});
    return {self_, last_};
}

bool permit_issuer::is_live(permit const& quoted, monotonic_time now) const
{
    return time_left(quoted, now) > duration::zero();
}

duration
permit_issuer::time_left(permit const& quoted, monotonic_time now) const
{
    if (quoted.agent != self_)
        return duration::zero();
    issued const* found = find(quoted);
    if (found == nullptr)
        return duration::zero();
    duration const left = found->at + permit_lifetime - now;
    return std::max(left, duration::zero());
}

bool permit_issuer::issued_within(
    permit const& quoted, duration span, monotonic_time now) const
{
    issued const* found = find(quoted);
    return found != nullptr && now - found->at < span;
}

permit_issuer::issued const* permit_issuer::find(permit const& quoted) const
{
    if (quoted.agent != self_ || issued_.empty())
        return nullptr;
    // Epochs are consecutive, so the index follows from the epoch.
    std::uint64_t const first = issued_.front().epoch.value;
    std::uint64_t const wanted = quoted.epoch.value;
    if (wanted < first || wanted - first >= issued_.size())
        return nullptr;
    return &issued_[wanted - first];
}

} // namespace sycamorespar
