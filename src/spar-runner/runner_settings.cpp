/// The settings are validated by the schema before they are read, so reading
/// can't fail.
#include "spar-runner/runner_settings.hpp"

#include "common/endpoint_text.hpp"
#include "runners/lease_time.hpp"

#include <nlohmann/json.hpp>

namespace sycamorespar {

char const* const runner_settings_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["machine", "announcements", "worker", "store"],
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 200},
    "endpoint": {
      "type": "string",
      "pattern": "^[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]{1,5}$"
    }
  },
  "properties": {
    "machine": {"$ref": "#/definitions/name"},
    "announcements": {"$ref": "#/definitions/endpoint"},
    "worker": {"$ref": "#/definitions/endpoint"},
    "store": {"$ref": "#/definitions/endpoint"},
    "schedulers": {
      "type": "array", "maxItems": 64,
      "items": {"$ref": "#/definitions/endpoint"}
    },
    "scheduler_port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "metrics": {"$ref": "#/definitions/endpoint"},
    "longest_hold_ms": {"type": "integer", "minimum": 1500, "maximum": 60000}
  }
})";

runner_settings read_runner_settings(nlohmann::json const& from)
{
    auto const at = [&](char const* name) {
        return parse_endpoint(from.at(name).get<std::string>())
            .value_or(endpoint{});
    };
    runner_settings read;
    read.machine.value = from.at("machine").get<std::string>();
    read.announcements = at("announcements");
    read.worker = at("worker");
    read.store = at("store");
    for (auto const& each : from.value("schedulers", nlohmann::json::array())) {
        auto scheduler = parse_endpoint(each.get<std::string>());
        if (!scheduler)
            continue;
        scheduler->port = from.value("scheduler_port", scheduler->port);
        read.schedulers.push_back(*scheduler);
    }
    if (from.contains("metrics"))
        read.metrics = at("metrics");
    read.lease_time = lease_time_below(std::chrono::milliseconds(
        from.value("longest_hold_ms", default_max_lease_time.count())));
    return read;
}

} // namespace sycamorespar
