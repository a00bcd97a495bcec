/// An event loop with an in-memory store, for tests of what uses the store.
#ifndef SYCAMORESPAR_TESTS_STORE_RIG_HPP
#define SYCAMORESPAR_TESTS_STORE_RIG_HPP

#include "common/event_loop.hpp"
#include "standins/kv/memory_kv.hpp"

#include <chrono>
#include <functional>

namespace sycamorespar::tests {

/// An event loop with a store.
struct store_rig
{
    event_loop loop;
    standins::memory_kv kv{loop};
    kv_store store = kv.store();

    void run_for(std::chrono::milliseconds span)
    {
        loop.after(span, [this] { loop.stop(); });
        loop.run();
    }

    /// Runs until a condition holds; the bound only stops a hanging test.
    bool run_until(std::function<bool()> const& holds)
    {
        constexpr std::chrono::seconds bound{20};
        constexpr std::chrono::milliseconds step{5};
        auto const begin = event_loop::now();
        while (!holds() && event_loop::now() - begin < bound)
            run_for(step);
        return holds();
    }
};

} // namespace sycamorespar::tests

#endif
