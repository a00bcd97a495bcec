/// The JSON Schema is the only validation of the settings. Settings that
/// conform to it are read without further checks.
#include "spar-agent/agent_settings.hpp"

#include <nlohmann/json.hpp>

namespace sycamorespar {

char const* const agent_settings_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["worker", "failure_domain", "rack", "listen", "peer_listen",
               "worker_endpoint", "store"],
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 64},
    "endpoint": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535}
      }
    }
  },
  "properties": {
    "worker": {"$ref": "#/definitions/name"},
    "failure_domain": {"$ref": "#/definitions/name"},
    "rack": {"$ref": "#/definitions/name"},
    "listen": {"$ref": "#/definitions/endpoint"},
    "peer_listen": {"$ref": "#/definitions/endpoint"},
    "worker_endpoint": {"$ref": "#/definitions/endpoint"},
    "store": {
      "type": "array", "minItems": 1, "maxItems": 9,
      "items": {"$ref": "#/definitions/endpoint"}
    },
    "home_entries": {"type": "integer", "minimum": 1, "maximum": 16},
    "ledger_shards": {"type": "integer", "minimum": 1, "maximum": 4096}
  }
})";

namespace {

endpoint read_endpoint(nlohmann::json const& from)
{
    return {
        from.at("address").get<std::string>(),
        from.at("port").get<std::uint16_t>()};
}

} // namespace

agent_settings read_agent_settings(nlohmann::json const& from)
{
    agent_settings settings;
    settings.worker = worker_id{from.at("worker").get<std::string>()};
    settings.domain =
        failure_domain_id{from.at("failure_domain").get<std::string>()};
    settings.rack = rack_id{from.at("rack").get<std::string>()};
    settings.listen = read_endpoint(from.at("listen"));
    settings.peer_listen = read_endpoint(from.at("peer_listen"));
    settings.worker_endpoint = read_endpoint(from.at("worker_endpoint"));
    for (auto const& each : from.at("store"))
        settings.store.push_back(read_endpoint(each));
    settings.home_entries = from.value("home_entries", settings.home_entries);
    settings.ledger_shards =
        from.value("ledger_shards", settings.ledger_shards);
    return settings;
}

} // namespace sycamorespar
