/// Permits: an agent's word that a start quoting it may run for a short time.
#ifndef SYCAMORESPAR_PERMIT_HPP
#define SYCAMORESPAR_PERMIT_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"

#include <chrono>
#include <deque>

namespace sycamorespar {

/// What a start must quote to be admitted.
struct permit
{
    /// The life of the agent that issued it.
    incarnation agent;
    /// The period in which it was issued.
    permit_epoch epoch;

    auto operator<=>(permit const&) const = default;
};

/// The time from a permit's issue until no start may quote it any more.
inline constexpr std::chrono::milliseconds permit_lifetime{2000};

/// How much faster than another one a process's clock may run, in percent.
inline constexpr int clock_rate_error_percent = 1;

/// A time on another process's clock, lengthened by the clocks' rate error.
constexpr duration with_clock_error(duration span)
{
    return span + span * clock_rate_error_percent / 100;
}

/// Issues the permits of one agent incarnation and judges quoted ones.
class permit_issuer
{
public:
    explicit permit_issuer(incarnation self) : self_(self) {}

    /// Issues a permit for a new epoch.
    permit issue(monotonic_time now);
    /// True while a start that quotes this permit may be admitted.
    bool is_live(permit const& quoted, monotonic_time now) const;
    /// The time left to a live permit; zero for all others.
    duration time_left(permit const& quoted, monotonic_time now) const;
    /// True where the permit was issued by this agent not longer ago.
    bool issued_within(
        permit const& quoted, duration span, monotonic_time now) const;
    /// The incarnation that issues.
    incarnation self() const { return self_; }

private:
    struct issued
    {
        permit_epoch epoch;
        monotonic_time at;
    };

    issued const* find(permit const& quoted) const;

    incarnation self_;
    permit_epoch last_;
    std::deque<issued> issued_;
};

} // namespace sycamorespar

#endif
