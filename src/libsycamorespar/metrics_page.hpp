/// Builds a page of metrics from counts that are kept elsewhere.
#ifndef SYCAMORESPAR_METRICS_PAGE_HPP
#define SYCAMORESPAR_METRICS_PAGE_HPP

#include "libsycamorespar/counters.hpp"
#include "libsycamorespar/latency_histogram.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar {

/// A page of metrics, built anew for each request.
class metrics_page
{
public:
    /// Adds a counter, exposed as NAME_total.
    void add_counter(
        char const* name, char const* help, std::uint64_t value,
        std::vector<metric_label> labels = {});
    /// Adds a gauge, exposed as NAME.
    void add_gauge(
        char const* name, char const* help, double value,
        std::vector<metric_label> labels = {});
    /// Adds a latency histogram: its count, and its median, 99th percentile
    /// and maximum in seconds.
    void add_latencies(
        char const* name, char const* help, latency_histogram const& from);
    /// The page in the Prometheus text format.
    std::string render() const { return metrics_.render(); }

private:
    counter_set metrics_;
};

} // namespace sycamorespar

#endif
