/// Bucket widths grow by a fixed ratio. All counts are halved when their sum
/// reaches a threshold, so that old samples decay without timestamps.
#include "libsycamorespar/latency_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorespar {

namespace {

constexpr double lowest_bound_ns = 10'000.0;
constexpr double bucket_ratio = 1.2;
constexpr double halving_threshold = 2000.0;
constexpr double min_mean_step = 0.01;

std::size_t bucket_of(double nanoseconds, std::size_t count)
{
    if (nanoseconds <= lowest_bound_ns)
        return 0;
    auto const index = std::ceil(
        std::log(nanoseconds / lowest_bound_ns) / std::log(bucket_ratio));
    return std::min(static_cast<std::size_t>(index), count - 1);
}

duration from_ns(double nanoseconds)
{
    return duration(static_cast<duration::rep>(nanoseconds));
}

} // namespace

void latency_estimate::add(duration latency)
{
    auto const nanoseconds = static_cast<double>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(latency).count());
    ++samples_;
    double const step =
        std::max(1.0 / static_cast<double>(samples_), min_mean_step);
    mean_ns_ += step * (nanoseconds - mean_ns_);
    buckets_[bucket_of(nanoseconds, bucket_count)] += 1.0;
    total_ += 1.0;
    if (total_ < halving_threshold)
        return;
    for (double& each : buckets_)
        each /= 2.0;
    total_ /= 2.0;
}

duration latency_estimate::mean() const
{
    return from_ns(mean_ns_);
}

duration latency_estimate::quantile(double part) const
{
    if (samples_ == 0)
        return duration::zero();
    double below = 0.0;
    std::size_t index = 0;
    while (index + 1 < bucket_count) {
        below += buckets_[index];
        if (below >= part * total_)
            break;
        ++index;
    }
    return from_ns(
        lowest_bound_ns * std::pow(bucket_ratio, static_cast<double>(index)));
}

} // namespace sycamorespar
