/// Short ways to fill a page of metrics that is made anew for each reader.
#ifndef SYCAMORESPAR_METRICS_PAGE_HPP
#define SYCAMORESPAR_METRICS_PAGE_HPP

#include "libsycamorespar/counters.hpp"
#include "libsycamorespar/latency_histogram.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar {

/// A page in the making.
class metrics_page
{
public:
    /// Adds a count, exposed as NAME_total.
    void add_counter(
        char const* name, char const* help, std::uint64_t value,
        std::vector<metric_label> labels = {});
    /// Adds a level.
    void add_gauge(
        char const* name, char const* help, double value,
        std::vector<metric_label> labels = {});
    /// Adds a histogram of latencies as its count and some quantiles, in
    /// seconds.
    void add_latencies(
        char const* name, char const* help, latency_histogram const& from);
    /// The page, as text.
    std::string render() const { return metrics_.render(); }

private:
    counter_set metrics_;
};

} // namespace sycamorespar

#endif
