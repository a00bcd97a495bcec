/// A moving estimate of the mean and quantiles of a latency, in constant space.
#ifndef SYCAMORESPAR_LATENCY_ESTIMATE_HPP
#define SYCAMORESPAR_LATENCY_ESTIMATE_HPP

#include "libsycamorespar/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace sycamorespar {

/// Old samples lose weight as new ones arrive, so that the estimate follows
/// changes of the load.
class latency_estimate
{
public:
    /// Adds one latency.
    void add(duration latency);
    /// The mean of recent samples; zero before the first one.
    duration mean() const;
    /// An upper bound of a quantile, at most 20% too high; zero before the
    /// first sample.
    /// \param part  from 0 to 1.
    duration quantile(double part) const;
    /// Number of samples added since the start.
    std::uint64_t samples() const { return samples_; }

private:
    static constexpr std::size_t bucket_count = 96;

    std::array<double, bucket_count> buckets_{};
    double total_ = 0.0;
    double mean_ns_ = 0.0;
    std::uint64_t samples_ = 0;
};

} // namespace sycamorespar

#endif
