/// A latency histogram on top of Boost.Histogram. All histograms use the same
/// axis, so that merging adds counts and loses no precision.
#include "libsycamorespar/latency_histogram.hpp"

#include <algorithm>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>

namespace sycamorespar {

namespace {

using std::chrono::microseconds;

constexpr double lowest_bound_us = 100.0;
constexpr double highest_bound_us = 1e12;

detail::latency_axis const& shared_axis()
{
    static detail::latency_axis const axis(
        latency_bucket_count, lowest_bound_us, highest_bound_us);
    return axis;
}

} // namespace

latency_histogram::latency_histogram() : buckets_(shared_axis()) {}

void latency_histogram::record(microseconds latency)
{
    buckets_(static_cast<double>(latency.count()));
    ++count_;
    sum_ += latency;
    greatest_ = std::max(greatest_, latency);
}

void latency_histogram::merge(latency_histogram const& other)
{
    buckets_ += other.buckets_;
    count_ += other.count_;
    sum_ += other.sum_;
    greatest_ = std::max(greatest_, other.greatest_);
}

void latency_histogram::merge(latency_snapshot const& other)
{
    for (auto const& bucket : other.buckets) {
        if (bucket.index < -1 || bucket.index > latency_bucket_count)
            continue;
        buckets_.at(bucket.index) += bucket.count;
        count_ += bucket.count;
    }
    sum_ += other.sum;
    greatest_ = std::max(greatest_, other.greatest);
}

microseconds latency_histogram::mean() const
{
    if (count_ == 0)
        return microseconds{0};
    return sum_ / static_cast<std::int64_t>(count_);
}

microseconds latency_histogram::quantile(double part) const
{
    auto const wanted = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(
               std::ceil(part * static_cast<double>(count_))));
    std::uint64_t seen = 0;
    for (int index = -1; index < latency_bucket_count; ++index) {
        seen += buckets_.at(index);
        if (seen >= wanted)
            return std::min(upper_bound(index), greatest_);
    }
    return greatest_;
}

latency_snapshot latency_histogram::snapshot() const
{
    latency_snapshot taken{{}, sum_, greatest_};
    for (int index = -1; index <= latency_bucket_count; ++index) {
        std::uint64_t const count = buckets_.at(index);
        if (count != 0)
            taken.buckets.push_back({index, count});
    }
    return taken;
}

microseconds latency_histogram::upper_bound(int bucket)
{
    return microseconds{std::llround(shared_axis().value(bucket + 1))};
}

} // namespace sycamorespar
