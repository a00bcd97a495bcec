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
    agent_settings read;
    read.worker = worker_id{from.at("worker").get<std::string>()};
    read.domain =
        failure_domain_id{from.at("failure_domain").get<std::string>()};
    read.rack = rack_id{from.at("rack").get<std::string>()};
    read.listen = read_endpoint(from.at("listen"));
    read.peer_listen = read_endpoint(from.at("peer_listen"));
    read.worker_endpoint = read_endpoint(from.at("worker_endpoint"));
    for (auto const& each : from.at("store"))
        read.store.push_back(read_endpoint(each));
    read.home_entries = from.value("home_entries", read.home_entries);
    read.ledger_shards = from.value("ledger_shards", read.ledger_shards);
    return read;
}

} // namespace sycamorespar
