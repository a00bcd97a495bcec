/// Each member is read with bounds. Unknown members are rejected, so that a
/// misspelt limit is not silently replaced by its default.
#include "operators/job_json.hpp"

#include "common/json_reader.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace sycamorespar::operators {

namespace {

constexpr std::int64_t most_millicores = 10'000'000;
constexpr std::int64_t most_memory_mib = 100'000'000;
constexpr std::int64_t most_accelerators = 10'000;
constexpr std::int64_t longest_run_ms = 1000LL * 60 * 60 * 24 * 365;
constexpr std::size_t longest_name = 128;

nlohmann::json write_job(job_record const& from)
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
    read.id = job_id{reader.optional_text("job", longest_name)};
    read.row = row_id{reader.text("row", longest_name)};
    read.demand.millicores = reader.number("millicores", {1, most_millicores});
    read.demand.memory_mib = reader.number("memory_mib", {1, most_memory_mib});
    read.demand.accelerators =
        reader.number_or("accelerators", 0, {0, most_accelerators});
    read.run = std::chrono::milliseconds(
        reader.number("run_ms", {-1, longest_run_ms}));
    if (reader.fault())
        return *reader.fault();
    return read;
}

std::string job_request_to_json(job_request const& from)
{
    nlohmann::json const written{
        {"job", from.id.value},
        {"row", from.row.value},
        {"millicores", from.demand.millicores},
        {"memory_mib", from.demand.memory_mib},
        {"accelerators", from.demand.accelerators},
        {"run_ms", from.run.count()}};
    return written.dump();
}

std::string job_to_json(job_record const& from)
{
    nlohmann::json written = write_job(from);
    written["history"] = nlohmann::json::array();
    for (job_event const& each : from.history)
        written["history"].push_back(
            {{"state", to_string(each.state)},
             {"attempt", each.attempt.value},
             {"at_ms", each.at_ms},
             {"reason", each.reason}});
    return written.dump();
}

std::string jobs_to_json(std::vector<job_record> const& from)
{
    nlohmann::json written = nlohmann::json::array();
    for (job_record const& each : from)
        written.push_back(write_job(each));
    return nlohmann::json{{"jobs", written}}.dump();
}

} // namespace sycamorespar::operators
