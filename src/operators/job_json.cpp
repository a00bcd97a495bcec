/// Each member is read with bounds. Unknown members are rejected, so that a
/// misspelt limit is not silently replaced by its default.
#include "operators/job_json.hpp"

#include "common/json_reader.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace sycamorespar::operators {

namespace {

constexpr std::int64_t max_millicores = 10'000'000;
constexpr std::int64_t max_memory_mib = 100'000'000;
constexpr std::int64_t max_accelerators = 10'000;
constexpr std::int64_t max_run_ms = 1000LL * 60 * 60 * 24 * 365;
constexpr std::size_t max_name_bytes = 128;

nlohmann::json encode_job(job_record const& from)
{
    return {
        {"job", from.request.id.value},
        {"row", from.request.row.value},
        {"state", to_string(from.state)},
        {"attempt", from.attempt.value},
        {"worker", from.attempt.value == 0 ? "" : from.placement.worker.value},
        {"failures", from.failures},
        {"checkpoint", from.checkpoint}};
}

std::optional<error> unknown_member(nlohmann::json const& from)
{
    constexpr std::array<std::string_view, 7> known{
        "job",          "row",    "millicores", "memory_mib",
        "accelerators", "run_ms", "team"};
    for (auto const& [name, each] : from.items()) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            return error{"job." + name, "", "unknown member"};
    }
    return std::nullopt;
}

} // namespace

result<job_request> job_request_from_json(std::string const& text)
{
    auto const parsed = parse_json(text);
    if (!ok(parsed))
        return failure(parsed);
    if (!value(parsed).is_object())
        return error{"job", "", "not an object"};
    if (auto const unknown = unknown_member(value(parsed)))
        return *unknown;
    json_reader reader(value(parsed), "job");
    job_request read;
    read.id = job_id{reader.optional_text("job", max_name_bytes)};
    read.row = row_id{reader.text("row", max_name_bytes)};
    read.demand.millicores = reader.number("millicores", {1, max_millicores});
    read.demand.memory_mib = reader.number("memory_mib", {1, max_memory_mib});
    read.demand.accelerators =
        reader.number_or("accelerators", 0, {0, max_accelerators});
    read.run =
        std::chrono::milliseconds(reader.number("run_ms", {-1, max_run_ms}));
    if (reader.fault())
        return *reader.fault();
    return read;
}

std::string job_request_to_json(job_request const& from)
{
    nlohmann::json const encoded{
        {"job", from.id.value},
        {"row", from.row.value},
        {"millicores", from.demand.millicores},
        {"memory_mib", from.demand.memory_mib},
        {"accelerators", from.demand.accelerators},
        {"run_ms", from.run.count()}};
    return encoded.dump();
}

std::string job_to_json(job_record const& from)
{
    nlohmann::json encoded = encode_job(from);
    encoded["history"] = nlohmann::json::array();
    for (job_event const& each : from.history)
        encoded["history"].push_back(
            {{"state", to_string(each.state)},
             {"attempt", each.attempt.value},
             {"at_ms", each.at_ms},
             {"reason", each.reason}});
    return encoded.dump();
}

std::string jobs_to_json(std::vector<job_record> const& from)
{
    nlohmann::json encoded = nlohmann::json::array();
    for (job_record const& each : from)
        encoded.push_back(encode_job(each));
    return nlohmann::json{{"jobs", encoded}}.dump();
}

} // namespace sycamorespar::operators
