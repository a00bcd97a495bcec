/// Detection of workers on which tasks make no progress, or take many times as
/// long as estimated, although the workers report no failure.
#include "libsycamorespar/stall_detector.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

run_id run_of(char const* job)
{
    return {{job_id{job}, 0, 0, 0}, 1};
}

/// Reports a run at this part of the expected speed to a detector.
/// \return true if the run is stalled at the end of the span.
bool report_run(
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

TEST_CASE("a run without progress is stalled, a slow one isn't")
{
    stall_detector detector;
    monotonic_time now{1h};
    CHECK_FALSE(report_run(detector, "slow", 0.15, 5s, now));
    CHECK_FALSE(report_run(detector, "new", 0.0, 1400ms, now));
    CHECK(report_run(detector, "stuck", 0.0, 2s, now));
}

TEST_CASE("a worker is slow after two slow runs and recovers with time")
{
    stall_detector detector;
    monotonic_time now{1h};
    report_run(detector, "j1", 0.15, 2s, now);
    report_run(detector, "j2", 0.15, 2s, now);
    CHECK(detector.is_slow(now));
    now += 6s;
    CHECK_FALSE(detector.is_slow(now));
}

TEST_CASE("estimates that are off by half don't make a worker slow")
{
    stall_detector detector;
    monotonic_time now{1h};
    for (double const speed : {0.6, 0.5, 1.4, 0.55})
        report_run(detector, "j", speed, 2s, now);
    CHECK_FALSE(detector.is_slow(now));
}

TEST_CASE("a run that was dropped starts over when it is reported again")
{
    stall_detector detector;
    monotonic_time now{1h};
    report_run(detector, "j", 0.0, 1400ms, now);
    now += 10s;
    CHECK_FALSE(detector.on_progress(run_of("j"), 0, 2000ms, now));
}
