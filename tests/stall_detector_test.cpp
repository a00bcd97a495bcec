/// The pattern: workers on which tasks stand still, or take many times as
/// long, while they say that they are well.
#include "libsycamorespar/stall_detector.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

run_id run_of(char const* job)
{
    return {{job_id{job}, 0, 0, 0}, 1};
}

/// Shows a watch a run that goes on at this part of the usual speed.
bool show(
    stall_detector& detector, char const* job, double speed,
    std::chrono::milliseconds span, monotonic_time& now)
{
    bool is_stalled = false;
    auto const began = now;
    while (now - began < span) {
        auto const passed =
            std::chrono::duration<double, std::milli>(now - began).count();
        auto const percent =
            std::min(99U, static_cast<std::uint32_t>(speed * passed / 20.0));
        is_stalled = detector.on_progress(run_of(job), percent, 2000ms, now);
        now += 200ms;
    }
    detector.forget(run_of(job));
    return is_stalled;
}

} // namespace

TEST_CASE("a run without progress stands still, a slow one doesn't")
{
    stall_detector detector;
    monotonic_time now{1h};
    CHECK_FALSE(show(detector, "slow", 0.15, 5s, now));
    CHECK_FALSE(show(detector, "new", 0.0, 1400ms, now));
    CHECK(show(detector, "stuck", 0.0, 2s, now));
}

TEST_CASE("a worker is slow after one or two tasks, and is tried again")
{
    stall_detector detector;
    monotonic_time now{1h};
    show(detector, "j1", 0.15, 2s, now);
    show(detector, "j2", 0.15, 2s, now);
    CHECK(detector.is_slow(now));
    now += 6s;
    CHECK_FALSE(detector.is_slow(now));
}

TEST_CASE("estimates that are off by half make no worker slow")
{
    stall_detector detector;
    monotonic_time now{1h};
    for (double const speed : {0.6, 0.5, 1.4, 0.55})
        show(detector, "j", speed, 2s, now);
    CHECK_FALSE(detector.is_slow(now));
}

TEST_CASE("a run that has been told of anew begins anew")
{
    stall_detector detector;
    monotonic_time now{1h};
    show(detector, "j", 0.0, 1400ms, now);
    now += 10s;
    CHECK_FALSE(detector.on_progress(run_of("j"), 0, 2000ms, now));
}
