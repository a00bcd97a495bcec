/// Detection of a lost peer from failed and unanswered calls.
#include "libsycamorespar/liveness_monitor.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

monotonic_time const start{1h};

} // namespace

TEST_CASE("failures between answers don't mean that contact is lost")
{
    // One in three answers of the store is lost.
    liveness_monitor monitor;
    auto now = start;
    for (int call = 0; call < 300; ++call) {
        monitor.on_call(now);
        now += 20ms;
        if (call % 3 == 0)
            monitor.on_failure(now);
        else
            monitor.on_answer(now);
        CHECK_FALSE(monitor.is_lost(now));
    }
}

TEST_CASE("a slow store does not count as lost")
{
    liveness_monitor monitor;
    for (int call = 0; call < 5; ++call)
        monitor.on_call(start);
    CHECK_FALSE(monitor.is_lost(start + 250ms));
    monitor.on_answer(start + 250ms);
    CHECK_FALSE(monitor.is_lost(start + 500ms));
}

TEST_CASE("persistent failures or silence mean that contact is lost")
{
    liveness_monitor refused;
    refused.on_call(start);
    refused.on_failure(start);
    CHECK_FALSE(refused.is_lost(start + 100ms));
    CHECK(refused.is_lost(start + 200ms));
    liveness_monitor silent;
    silent.on_call(start);
    CHECK(silent.is_lost(start + 450ms));
    silent.on_answer(start + 500ms);
    CHECK_FALSE(silent.is_lost(start + 2s));
}
