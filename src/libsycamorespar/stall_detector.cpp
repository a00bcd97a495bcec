/// Estimates of run times are often off by half or more, so that one slow run
/// is weak evidence. The smoothed speed over all runs of a worker is reliable.
#include "libsycamorespar/stall_detector.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

constexpr double whole_percent = 100.0;

/// Samples are capped so that one run that is much faster than its estimate
/// doesn't hide slow ones.
constexpr double largest_speed = 1.5;

} // namespace

stall_detector::stall_detector(stall_limits const& limits) : limits_(limits) {}

void stall_detector::forget(run_id const& run)
{
    runs_.erase(run);
}

double stall_detector::speed_at(monotonic_time now) const
{
    auto const idle = std::max(
        0.0, std::chrono::duration<double>(
                 now - sampled_at_ - limits_.recovery_delay)
                 .count());
    return std::min(1.0, speed_ + idle * limits_.recovery_per_second);
}

bool stall_detector::is_slow(monotonic_time now) const
{
    return speed_at(now) < limits_.slow_threshold;
}

bool stall_detector::on_progress(
    run_id const& run, std::uint32_t percent,
    std::chrono::milliseconds estimate, monotonic_time now)
{
    auto const added =
        runs_.try_emplace(run, observed_run{percent, now, percent, now});
    auto& seen = added.first->second;
    if (percent != seen.percent) {
        seen.percent = percent;
        seen.changed_at = now;
    }
    auto const span = now - seen.sampled_at;
    if (span >= limits_.sample_interval && estimate.count() > 0) {
        auto const done = percent > seen.sampled_percent
                              ? percent - seen.sampled_percent
                              : 0U;
        auto const expected = std::chrono::duration<double>(span).count() /
                              std::chrono::duration<double>(estimate).count();
        auto const speed =
            std::min(largest_speed, done / whole_percent / expected);
        speed_ = speed_at(now);
        speed_ += limits_.sample_weight * (speed - speed_);
        sampled_at_ = now;
        seen.sampled_percent = percent;
        seen.sampled_at = now;
    }
    return now - seen.changed_at >= limits_.stall_time;
}

} // namespace sycamorespar
