/// Random numbers that are unique to a process.
#ifndef SYCAMORESPAR_COMMON_RANDOM_SEED_HPP
#define SYCAMORESPAR_COMMON_RANDOM_SEED_HPP

#include <cstdint>

namespace sycamorespar {

/// A random non-zero number from the operating system, for incarnations and
/// for seeding generators.
std::uint64_t random_seed();

} // namespace sycamorespar

#endif
