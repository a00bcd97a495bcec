/// Burn snapshots as JSON. Histogram buckets are encoded as pairs of index and
/// count to keep the message small.
#include "operators/burn_json.hpp"

#include "common/json_text.hpp"

#include <utility>

namespace sycamorespar {

namespace {

using nlohmann::json;

constexpr std::size_t max_burn_bytes = 16 * 1024 * 1024;
constexpr std::size_t max_burn_depth = 8;

constexpr char const* burn_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["observed_ms", "records"],
  "definitions": {
    "count": {"type": "integer", "minimum": 0},
    "counts": {
      "type": "object",
      "additionalProperties": false,
      "required": ["good", "bad"],
      "properties": {
        "good": {"$ref": "#/definitions/count"},
        "bad": {"$ref": "#/definitions/count"}}}
  },
  "properties": {
    "observed_ms": {"$ref": "#/definitions/count"},
    "records": {"type": "array", "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["row", "domain", "objective_ms", "objective_ratio",
        "short", "long", "since_start", "latencies"],
      "properties": {
        "row": {"type": "string"},
        "domain": {"type": "string"},
        "objective_ms": {"$ref": "#/definitions/count"},
        "objective_ratio": {"type": "number", "minimum": 0,
          "exclusiveMaximum": 1},
        "short": {"$ref": "#/definitions/counts"},
        "long": {"$ref": "#/definitions/counts"},
        "since_start": {"$ref": "#/definitions/counts"},
        "latencies": {
          "type": "object",
          "additionalProperties": false,
          "required": ["sum_us", "greatest_us", "buckets"],
          "properties": {
            "sum_us": {"$ref": "#/definitions/count"},
            "greatest_us": {"$ref": "#/definitions/count"},
            "buckets": {"type": "array", "items": {
              "type": "array",
              "minItems": 2,
              "maxItems": 2,
              "items": {"type": "integer"}}}}}}}}
  }
})";

json encode_counts(burn_counts const& counts)
{
    return {{"good", counts.good}, {"bad", counts.bad}};
}

burn_counts decode_counts(json const& from)
{
    return {
        from["good"].get<std::uint64_t>(), from["bad"].get<std::uint64_t>()};
}

json encode_latencies(latency_snapshot const& from)
{
    json buckets = json::array();
    for (auto const& bucket : from.buckets)
        buckets.push_back(json::array({bucket.index, bucket.count}));
    return {
        {"sum_us", from.sum.count()},
        {"greatest_us", from.greatest.count()},
        {"buckets", std::move(buckets)}};
}

latency_snapshot decode_latencies(json const& from)
{
    latency_snapshot read;
    read.sum = std::chrono::microseconds{from["sum_us"].get<std::int64_t>()};
    read.greatest =
        std::chrono::microseconds{from["greatest_us"].get<std::int64_t>()};
    for (auto const& bucket : from["buckets"])
        read.buckets.push_back(
            {bucket[0].get<int>(), bucket[1].get<std::uint64_t>()});
    return read;
}

burn_record decode_record(json const& from)
{
    burn_record read;
    read.key.row = row_id{from["row"].get<std::string>()};
    read.key.domain = failure_domain_id{from["domain"].get<std::string>()};
    read.objective =
        std::chrono::milliseconds{from["objective_ms"].get<std::int64_t>()};
    read.objective_ratio = from["objective_ratio"];
    read.short_window = decode_counts(from["short"]);
    read.long_window = decode_counts(from["long"]);
    read.since_start = decode_counts(from["since_start"]);
    read.latencies = decode_latencies(from["latencies"]);
    return read;
}

} // namespace

std::string encode_burn(burn_snapshot const& from)
{
    json records = json::array();
    for (auto const& record : from.records)
        records.push_back(
            {{"row", record.key.row.value},
             {"domain", record.key.domain.value},
             {"objective_ms", record.objective.count()},
             {"objective_ratio", record.objective_ratio},
             {"short", encode_counts(record.short_window)},
             {"long", encode_counts(record.long_window)},
             {"since_start", encode_counts(record.since_start)},
             {"latencies", encode_latencies(record.latencies)}});
    json const document{
        {"observed_ms", from.observed.count()},
        {"records", std::move(records)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<burn_snapshot> decode_burn(std::string_view text)
{
    auto const parsed = parse_json(text, {max_burn_bytes, max_burn_depth});
    if (!ok(parsed))
        return error{"burn.decode", "", failure(parsed).reason};
    auto const valid = validate_json(value(parsed), burn_schema);
    if (!ok(valid))
        return error{"burn.decode", "", failure(valid).reason};
    burn_snapshot read;
    read.observed = std::chrono::milliseconds{
        value(parsed)["observed_ms"].get<std::int64_t>()};
    for (auto const& record : value(parsed)["records"])
        read.records.push_back(decode_record(record));
    return read;
}

} // namespace sycamorespar
