/// Invariants that are checked in all builds, including release builds.
#ifndef SYCAMORESPAR_INVARIANT_HPP
#define SYCAMORESPAR_INVARIANT_HPP

#include <cstdint>
#include <functional>

namespace sycamorespar {

/// Receives the description of a broken invariant.
using invariant_handler = std::function<void(char const*)>;

/// Replaces the handler of broken invariants; the default one aborts the
/// process.
void set_invariant_handler(invariant_handler handler);

/// Number of checks that this process has made.
std::uint64_t invariant_checks();

namespace detail {
void count_invariant_check();
void report_broken_invariant(char const* what);
} // namespace detail

/// Checks a condition that must always hold.
/// \param what  describes the condition for a person.
inline void invariant(bool holds, char const* what)
{
    detail::count_invariant_check();
    if (!holds)
        detail::report_broken_invariant(what);
}

} // namespace sycamorespar

#endif
