/// The schema does all validation, so that reading valid settings can't fail.
#include "spar-entry/entry_settings.hpp"

#include <nlohmann/json.hpp>

namespace sycamorespar {

char const* const entry_settings_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["entry", "failure_domain", "listen", "peer_listen", "store"],
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
    "entry": {"$ref": "#/definitions/name"},
    "failure_domain": {"$ref": "#/definitions/name"},
    "listen": {"$ref": "#/definitions/endpoint"},
    "peer_listen": {"$ref": "#/definitions/endpoint"},
    "store": {
      "type": "array", "minItems": 1, "maxItems": 9,
      "items": {"$ref": "#/definitions/endpoint"}
    },
    "ledger_shards": {"type": "integer", "minimum": 1, "maximum": 4096},
    "lease_ttl_s": {"type": "integer", "minimum": 2, "maximum": 60}
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

entry_settings read_entry_settings(nlohmann::json const& from)
{
    entry_settings settings;
    settings.id = entry_id{from.at("entry").get<std::string>()};
    settings.domain =
        failure_domain_id{from.at("failure_domain").get<std::string>()};
    settings.listen = read_endpoint(from.at("listen"));
    settings.peer_listen = read_endpoint(from.at("peer_listen"));
    for (auto const& each : from.at("store"))
        settings.store.push_back(read_endpoint(each));
    settings.ledger_shards =
        from.value("ledger_shards", settings.ledger_shards);
    settings.lease_ttl = std::chrono::seconds(from.value(
        "lease_ttl_s", static_cast<std::int64_t>(settings.lease_ttl.count())));
    return settings;
}

} // namespace sycamorespar
