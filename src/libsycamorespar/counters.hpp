/// Counters and gauges of one process, exposed with their units in their names.
#ifndef SYCAMORESPAR_COUNTERS_HPP
#define SYCAMORESPAR_COUNTERS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar {

/// The unit of a metric; it becomes part of the exposed name.
enum class metric_unit
{
    /// A number of things, which the metric's name says.
    none,
    /// Seconds.
    seconds,
    /// Bytes.
    bytes,
    /// A fraction of 1.
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

/// Describes a metric.
struct metric_description
{
    /// The name in snake case, without unit, as in "spar_requests_shed".
    std::string name;
    /// One sentence of help text for the metrics page.
    std::string help;
    /// The unit.
    metric_unit unit = metric_unit::none;
    /// Labels that distinguish metrics of the same name.
    std::vector<metric_label> labels;
};

/// Identifies a counter in its set.
struct counter_id
{
    /// The counter's position in the set.
    std::size_t index = 0;
};

/// Identifies a gauge in its set.
struct gauge_id
{
    /// The gauge's position in the set.
    std::size_t index = 0;
};

/// Holds the counters and gauges of one process. Incrementing a counter costs
/// one addition.
class counter_set
{
public:
    /// Adds a counter, or finds the existing one with the same name, unit and
    /// labels. It is exposed as NAME_UNIT_total.
    counter_id add_counter(metric_description const& description);
    /// Adds a gauge, or finds the existing one with the same name, unit and
    /// labels. It is exposed as NAME_UNIT.
    gauge_id add_gauge(metric_description const& description);

    /// Adds to a counter.
    void increment(counter_id which, std::uint64_t by = 1)
    {
        counters_[which.index].value += by;
    }
    /// Sets a counter to a value that is counted elsewhere; a lower value is
    /// ignored.
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

    /// All metrics in Prometheus text format 0.0.4.
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
