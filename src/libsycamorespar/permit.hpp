/// Permits: short-lived tokens by which an agent accepts starts.
#ifndef SYCAMORESPAR_PERMIT_HPP
#define SYCAMORESPAR_PERMIT_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"

#include <chrono>
#include <deque>

namespace sycamorespar {

/// The token that a start must quote to be admitted.
struct permit
{
    /// The incarnation of the agent that issued it.
    incarnation agent;
    /// Sequence number of the permit within the incarnation.
    permit_epoch epoch;

    auto operator<=>(permit const&) const = default;
};

/// Validity of a permit, from its issue on the agent's clock.
inline constexpr std::chrono::milliseconds permit_lifetime{2000};

/// Maximum difference between the rates of two processes' clocks, in percent.
inline constexpr int clock_rate_error_percent = 1;

/// Extends a time span by the clocks' rate error, so that it has also passed on
/// another process's clock.
constexpr duration with_clock_error(duration span)
{
    return span + span * clock_rate_error_percent / 100;
}

/// Issues the permits of one agent incarnation and validates quoted ones.
class permit_issuer
{
public:
    explicit permit_issuer(incarnation self) : self_(self) {}

    /// Issues the permit of a new epoch.
    permit issue(monotonic_time now);
    /// True where the permit was issued here and has not expired.
    bool is_live(permit const& quoted, monotonic_time now) const;
    /// Remaining validity; zero for expired and foreign permits.
    duration time_left(permit const& quoted, monotonic_time now) const;
    /// True where this incarnation issued the permit less than `span` ago.
    bool issued_within(
        permit const& quoted, duration span, monotonic_time now) const;
    /// The incarnation that issues the permits.
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
