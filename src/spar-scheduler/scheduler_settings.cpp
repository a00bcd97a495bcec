/// The settings are validated by the schema before they are read, so reading
/// can't fail.
#include "spar-scheduler/scheduler_settings.hpp"

#include "common/endpoint_text.hpp"
#include "runners/lease_time.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sycamorespar {

namespace {

/// A link of this rate, in Mbit/s, carries the reports that one core handles.
constexpr double link_for_core_mbps = 100.0;

constexpr double millicores_per_core = 1000.0;

/// Capacity in thousandths of a core, limited by the processor or the link.
std::int64_t read_capacity(nlohmann::json const& from)
{
    auto const cores = from.value("processor_share", 0.0);
    auto const by_link =
        from.value("link_mbps", link_for_core_mbps) / link_for_core_mbps;
    return static_cast<std::int64_t>(
        std::min(cores, by_link) * millicores_per_core);
}

} // namespace

char const* const scheduler_settings_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["machine", "failure_domain", "callers", "readiness", "runners",
               "store"],
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 200},
    "endpoint": {
      "type": "string",
      "pattern": "^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]{1,5}$"
    }
  },
  "properties": {
    "machine": {"$ref": "#/definitions/name"},
    "failure_domain": {"$ref": "#/definitions/name"},
    "callers": {"$ref": "#/definitions/endpoint"},
    "readiness": {"$ref": "#/definitions/endpoint"},
    "runners": {"$ref": "#/definitions/endpoint"},
    "store": {"$ref": "#/definitions/endpoint"},
    "metrics": {"$ref": "#/definitions/endpoint"},
    "processor_share": {"type": "number", "minimum": 0},
    "link_mbps": {"type": "number", "minimum": 0},
    "longest_hold_ms": {"type": "integer", "minimum": 1500, "maximum": 60000},
    "drain_ms": {"type": "integer", "minimum": 0, "maximum": 60000}
  }
})";

scheduler_settings read_scheduler_settings(nlohmann::json const& from)
{
    auto const at = [&](char const* name) {
        return parse_endpoint(from.at(name).get<std::string>())
            .value_or(endpoint{});
    };
    scheduler_settings read;
    read.machine = from.at("machine").get<std::string>();
    read.domain.value = from.at("failure_domain").get<std::string>();
    read.callers = at("callers");
    read.readiness = at("readiness");
    read.runners = at("runners");
    read.store = at("store");
    if (from.contains("metrics"))
        read.metrics = at("metrics");
    read.lease_time = lease_time_below(std::chrono::milliseconds(
        from.value("longest_hold_ms", default_max_lease_time.count())));
    read.capacity = read_capacity(from);
    read.drain =
        std::chrono::milliseconds(from.value("drain_ms", read.drain.count()));
    return read;
}

} // namespace sycamorespar
