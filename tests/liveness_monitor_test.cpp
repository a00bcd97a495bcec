#include "libsycamorespar/liveness_monitor.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

monotonic_time const start{1h};

} // namespace

TEST_CASE("failures among answers don't mean that contact is lost")
{
    // The load: answers of the store are lost, one in three.
    liveness_monitor watch;
    auto now = start;
    for (int call = 0; call < 300; ++call) {
        watch.on_call(now);
        now += 20ms;
        if (call % 3 == 0)
            watch.on_failure(now);
        else
            watch.on_answer(now);
        CHECK_FALSE(watch.is_lost(now));
    }
}

TEST_CASE("a slow store is not a lost one")
{
    liveness_monitor watch;
    for (int call = 0; call < 5; ++call)
        watch.on_call(start);
    CHECK_FALSE(watch.is_lost(start + 250ms));
    watch.on_answer(start + 250ms);
    CHECK_FALSE(watch.is_lost(start + 500ms));
}

TEST_CASE("refusals, and silence, mean that contact is lost")
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
