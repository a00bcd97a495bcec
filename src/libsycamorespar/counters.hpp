/// Counters and gauges of one process, with their units in their names.
#ifndef SYCAMORESPAR_COUNTERS_HPP
#define SYCAMORESPAR_COUNTERS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar {

/// What a metric counts; it becomes a part of the exposed name.
enum class metric_unit
{
    /// Things, named by the metric itself.
    none,
    /// Seconds.
    seconds,
    /// Bytes.
    bytes,
    /// A part of one.
    ratio
};

/// One label of a metric.
struct metric_label
{
    /// The name, in snake case.
    std::string name;
    /// The value; any text.
    std::string value;

    bool operator==(metric_label const&) const = default;
};

/// What a metric is.
struct metric_description
{
    /// The name in snake case, without unit, as in "spar_requests_shed".
    std::string name;
    /// One sentence for the reader of the metrics page.
    std::string help;
    /// What it counts.
    metric_unit unit = metric_unit::none;
    /// Labels that tell apart metrics of one name.
    std::vector<metric_label> labels;
};

/// Identifies a counter of one set.
struct counter_id
{
    /// Its place in the set.
    std::size_t index = 0;
};

/// Identifies a gauge of one set.
struct gauge_id
{
    /// Its place in the set.
    std::size_t index = 0;
};

/// Holds the counters and gauges of one process. An increment is one addition.
class counter_set
{
public:
    /// Adds a counter, or finds the one of the same name and labels. It is
    /// exposed as NAME_UNIT_total.
    counter_id add_counter(metric_description const& description);
    /// Adds a gauge, or finds the one of the same name and labels. It is
    /// exposed as NAME_UNIT.
    gauge_id add_gauge(metric_description const& description);

    /// Raises a counter.
    void increment(counter_id which, std::uint64_t by = 1)
    {
        counters_[which.index].value += by;
    }
    /// Sets a counter that is kept elsewhere; a lower value is ignored.
    void raise_to(counter_id which, std::uint64_t value);
    /// Sets a gauge.
    void set(gauge_id which, double value)
    {
        gauges_[which.index].value = value;
    }

    /// The value of a counter.
    std::uint64_t counter_value(counter_id which) const
    {
        return counters_[which.index].value;
    }
    /// The value of a gauge.
    double gauge_value(gauge_id which) const
    {
        return gauges_[which.index].value;
    }

    /// All metrics in the Prometheus text format 0.0.4.
    std::string render() const;

private:
    struct counter
    {
        metric_description description;
        std::uint64_t value = 0;
    };
    struct gauge
    {
        metric_description description;
        double value = 0;
    };

    std::vector<counter> counters_;
    std::vector<gauge> gauges_;
};

} // namespace sycamorespar

#endif
