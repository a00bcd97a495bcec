/// Invariants that are checked in every build, release builds too.
#ifndef SYCAMORESPAR_INVARIANT_HPP
#define SYCAMORESPAR_INVARIANT_HPP

#include <cstdint>
#include <functional>

namespace sycamorespar {

/// Receives the text of a broken invariant.
using invariant_handler = std::function<void(char const*)>;

/// Replaces what happens on a broken invariant; the default aborts.
void set_invariant_handler(invariant_handler handler);

/// Checks made by this process so far.
std::uint64_t invariant_checks();

namespace detail {
void count_invariant_check();
void report_broken_invariant(char const* what);
} // namespace detail

/// Checks what must always hold; the text names it for a person.
inline void invariant(bool holds, char const* what)
{
    detail::count_invariant_check();
    if (!holds)
        detail::report_broken_invariant(what);
}

} // namespace sycamorespar

#endif
