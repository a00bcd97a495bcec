/// Uses the operating system's random source, never a clock.
#include "common/random_seed.hpp"

#include <random>

namespace sycamorespar {

std::uint64_t random_seed()
{
    constexpr int half_bits = 32;
    std::random_device source;
    std::uint64_t const high = source();
    std::uint64_t const low = source();
    // Below 2^63, so that it also fits signed 64-bit integers.
    return (((high << half_bits) | low) >> 1U) | 1U;
}

} // namespace sycamorespar
