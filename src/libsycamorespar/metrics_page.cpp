/// The components keep their own counts; a page copies them when it is built.
#include "libsycamorespar/metrics_page.hpp"

#include <chrono>
#include <utility>

namespace sycamorespar {

void metrics_page::add_counter(
    char const* name, char const* help, std::uint64_t value,
    std::vector<metric_label> labels)
{
    metrics_.raise_to(
        metrics_.add_counter(
            {name, help, metric_unit::none, std::move(labels)}),
        value);
}

void metrics_page::add_gauge(
    char const* name, char const* help, double value,
    std::vector<metric_label> labels)
{
    metrics_.set(
        metrics_.add_gauge({name, help, metric_unit::none, std::move(labels)}),
        value);
}

void metrics_page::add_latencies(
    char const* name, char const* help, latency_histogram const& from)
{
    for (auto const& [label, part] :
         {std::pair{"0.5", 0.5}, std::pair{"0.99", 0.99},
          std::pair{"1", 1.0}}) {
        auto const bound =
            std::chrono::duration<double>(from.quantile(part)).count();
        metrics_.set(
            metrics_.add_gauge(
                {name, help, metric_unit::seconds, {{"quantile", label}}}),
            bound);
    }
    add_counter(name, help, from.count());
}

} // namespace sycamorespar
