/// Latency histograms with logarithmic buckets, which can be merged without
/// losing the tail.
#ifndef SYCAMORESPAR_LATENCY_HISTOGRAM_HPP
#define SYCAMORESPAR_LATENCY_HISTOGRAM_HPP

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace sycamorespar {

namespace detail {

using latency_axis = boost::histogram::axis::regular<
    double, boost::histogram::axis::transform::log,
    boost::histogram::axis::null_type>;

using latency_buckets = boost::histogram::histogram<
    std::tuple<latency_axis>, boost::histogram::dense_storage<std::uint64_t>>;

} // namespace detail

/// The latencies in one bucket.
struct latency_bucket
{
    /// The bucket's index; -1 is the bucket below the lowest bound, and
    /// latency_bucket_count the one above the highest.
    int index = 0;
    /// Number of latencies in the bucket.
    std::uint64_t count = 0;

    bool operator==(latency_bucket const&) const = default;
};

/// Number of buckets between the lowest and the highest bound.
inline constexpr int latency_bucket_count = 200;

/// A histogram as plain data for messages; only non-empty buckets.
struct latency_snapshot
{
    /// The non-empty buckets by rising index.
    std::vector<latency_bucket> buckets;
    /// The sum of all latencies.
    std::chrono::microseconds sum{0};
    /// The greatest latency.
    std::chrono::microseconds greatest{0};

    bool operator==(latency_snapshot const&) const = default;
};

/// Counts latencies from 0.1 ms to 10^6 s in buckets that are 12% wide.
class latency_histogram
{
public:
    latency_histogram();

    /// Counts one latency.
    void record(std::chrono::microseconds latency);
    /// Adds the counts of another histogram, exactly.
    void merge(latency_histogram const& other);
    /// Adds a snapshot; buckets with an index out of range are ignored.
    void merge(latency_snapshot const& other);

    /// Number of latencies counted.
    std::uint64_t count() const { return count_; }
    /// The greatest latency.
    std::chrono::microseconds greatest() const { return greatest_; }
    /// The mean latency; zero if none was counted.
    std::chrono::microseconds mean() const;
    /// An upper bound of a quantile: the upper bound of its bucket or the
    /// greatest latency. Zero if none was counted.
    /// \param part  from 0 to 1.
    std::chrono::microseconds quantile(double part) const;
    /// The counts as plain data.
    latency_snapshot snapshot() const;

    /// The upper bound of a bucket.
    static std::chrono::microseconds upper_bound(int bucket);

private:
    detail::latency_buckets buckets_;
    std::uint64_t count_ = 0;
    std::chrono::microseconds sum_{0};
    std::chrono::microseconds greatest_{0};
};

} // namespace sycamorespar

#endif
