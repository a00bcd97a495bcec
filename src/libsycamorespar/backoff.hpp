/// Exponential backoff with full jitter.
#ifndef SYCAMORESPAR_BACKOFF_HPP
#define SYCAMORESPAR_BACKOFF_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/random_engine.hpp"

#include <chrono>
#include <cstdint>

namespace sycamorespar {

/// Bounds of the delays.
struct backoff_limits
{
    /// Upper bound of the first delay; the bound doubles after each retry.
    std::chrono::milliseconds first{100};
    /// Upper bound of every delay.
    std::chrono::milliseconds longest{10'000};
};

/// Draws the delay before each retry of one operation.
class backoff
{
public:
    /// \param seed  differs between processes, so that their delays differ.
    backoff(backoff_limits const& limits, std::uint64_t seed);

    /// The delay before the next attempt, from zero to ceiling().
    duration next();
    /// The longest delay that the next call of next() may return.
    duration ceiling() const { return ceiling_; }
    /// Resets the ceiling after a success.
    void reset();

private:
    backoff_limits limits_;
    duration ceiling_;
    random_engine random_;
};

} // namespace sycamorespar

#endif
