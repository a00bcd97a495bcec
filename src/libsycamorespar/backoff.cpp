/// Full jitter: each delay is drawn uniformly from zero to the ceiling, so that
/// processes that lost the same peer at the same moment don't reconnect at the
/// same time.
#include "libsycamorespar/backoff.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

namespace sycamorespar {

backoff::backoff(backoff_limits const& limits, std::uint64_t seed)
    : limits_(limits),
      ceiling_(std::min<duration>(limits.first, limits.longest)), random_(seed)
{}

duration backoff::next()
{
    using ticks = duration::rep;
    boost::random::uniform_int_distribution<ticks> const range(
        0, ceiling_.count());
    duration const delay(range(random_));
    // Compares with half the limit, because doubling first could overflow.
    duration const longest = limits_.longest;
    ceiling_ = ceiling_ > longest / 2 ? longest : ceiling_ * 2;
    return delay;
}

void backoff::reset()
{
    ceiling_ = std::min<duration>(limits_.first, limits_.longest);
}

} // namespace sycamorespar
