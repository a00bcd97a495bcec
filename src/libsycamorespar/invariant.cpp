/// A broken invariant ends the process: continuing could duplicate or lose
/// work, whereas a restarted process recovers from the state of the store and
/// the workers.
#include "libsycamorespar/invariant.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace sycamorespar {

namespace {

std::atomic<std::uint64_t> checks{0};

invariant_handler& current_handler()
{
    static invariant_handler handler = [](char const* what) {
        std::fprintf(stderr, "level=error event=invariant what=\"%s\"\n", what);
        std::abort();
    };
    return handler;
}

} // namespace

void set_invariant_handler(invariant_handler handler)
{
    current_handler() = std::move(handler);
}

std::uint64_t invariant_checks()
{
    return checks.load(std::memory_order_relaxed);
}

namespace detail {

void count_invariant_check()
{
    checks.fetch_add(1, std::memory_order_relaxed);
}

void report_broken_invariant(char const* what)
{
    current_handler()(what);
}

} // namespace detail

} // namespace sycamorespar
