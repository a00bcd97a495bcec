/// Commands on jobs. Ids become part of URL paths, so only characters that need
/// no escaping are accepted.
#include "operators/job_commands.hpp"

#include "common/json_text.hpp"
#include "operators/job_json.hpp"
#include "operators/text_grid.hpp"

#include <algorithm>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace sycamorespar {

namespace {

constexpr std::size_t max_job_id_bytes = 128;

constexpr char const* job_schema = R"({
  "type": "object",
  "required": ["job", "state"],
  "properties": {
    "job": {"type": "string"},
    "row": {"type": "string"},
    "state": {"type": "string"},
    "attempt": {"type": "integer"},
    "worker": {"type": "string"},
    "history": {"type": "array", "items": {
      "type": "object",
      "required": ["state", "at_ms", "reason"],
      "properties": {
        "state": {"type": "string"},
        "at_ms": {"type": "integer"},
        "reason": {"type": "string"}}}}
  }
})";

constexpr char const* jobs_schema = R"({
  "type": "object",
  "required": ["jobs"],
  "properties": {"jobs": {"type": "array", "items": {
    "type": "object",
    "required": ["job", "row", "state", "attempt", "worker"],
    "properties": {
      "job": {"type": "string"},
      "row": {"type": "string"},
      "state": {"type": "string"},
      "attempt": {"type": "integer"},
      "worker": {"type": "string"}}}}}
})";

bool is_job_id(job_id const& job)
{
    auto const plain = [](char letter) {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '_' || letter == '.';
    };
    return !job.value.empty() && job.value.size() <= max_job_id_bytes &&
           std::all_of(job.value.begin(), job.value.end(), plain);
}

command_result invalid_job_id(job_id const& job)
{
    return refused_command("\"" + job.value + "\" is not a job's id");
}

std::string wall_time(std::int64_t milliseconds)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    auto const seconds =
        static_cast<std::time_t>(milliseconds / milliseconds_per_second);
    return fmt::format("{:%Y-%m-%d %H:%M:%S}", fmt::gmtime(seconds));
}

std::string job_text(nlohmann::json const& job)
{
    std::string text = fmt::format(
        "{}: {}\n", job["job"].get<std::string>(),
        job["state"].get<std::string>());
    auto const worker = job.value("worker", std::string());
    if (job.contains("row"))
        text += "row " + job["row"].get<std::string>() + "\n";
    if (!worker.empty())
        text += fmt::format(
            "attempt {} on worker {}\n", job.value("attempt", 0), worker);
    if (!job.contains("history"))
        return text;
    text_grid grid{{"at (UTC)", "state", "reason"}};
    for (auto const& step : job["history"])
        grid.push_back(
            {wall_time(step["at_ms"].get<std::int64_t>()), step["state"],
             step["reason"]});
    return text + render_grid(grid);
}

std::string jobs_text(nlohmann::json const& jobs)
{
    text_grid grid{{"job", "row", "state", "attempt", "worker"}};
    for (auto const& job : jobs["jobs"])
        grid.push_back(
            {job["job"], job["row"], job["state"],
             std::to_string(job["attempt"].get<std::int64_t>()),
             job["worker"]});
    return render_grid(grid);
}

/// Formats a validated body as text.
using body_text = std::string (*)(nlohmann::json const& body);

/// The schema of a response's body and its text formatter.
struct answer_format
{
    char const* schema;
    body_text text;
};

constexpr answer_format one_job{job_schema, job_text};
constexpr answer_format many_jobs{jobs_schema, jobs_text};

command_result call_entry(
    entry_call const& call, http_request const& request,
    answer_format const& form, output_format format)
{
    bool const changes = request.method != "GET";
    auto const answer = call(request);
    if (!succeeded(answer))
        return failed_command(answer, changes);
    auto const parsed = parse_json(value(answer).body);
    if (!ok(parsed) || !ok(validate_json(value(parsed), form.schema)))
        return {command_exit::unknown, "", "the entry's answer can't be read"};
    if (format == output_format::json)
        return {command_exit::success, value(parsed).dump() + "\n", ""};
    return {command_exit::success, form.text(value(parsed)), ""};
}

} // namespace

command_result
submit_job(entry_call const& call, job_request const& job, output_format format)
{
    if (!is_job_id(job.id))
        return invalid_job_id(job.id);
    http_request const request{
        "POST",
        "/jobs",
        {{"Content-Type", "application/json"}},
        operators::job_request_to_json(job)};
    auto answer = call_entry(call, request, one_job, format);
    if (answer.code == command_exit::unknown)
        answer.error_text +=
            "\nit is safe to submit it again as --job " + job.id.value;
    return answer;
}

command_result
show_job(entry_call const& call, job_id const& job, output_format format)
{
    if (!is_job_id(job))
        return invalid_job_id(job);
    return call_entry(
        call, {"GET", "/jobs/" + job.value, {}, ""}, one_job, format);
}

command_result
cancel_job(entry_call const& call, job_id const& job, output_format format)
{
    if (!is_job_id(job))
        return invalid_job_id(job);
    return call_entry(
        call, {"DELETE", "/jobs/" + job.value, {}, ""}, one_job, format);
}

command_result resolve_job(
    entry_call const& call, job_id const& job, bool run_again,
    output_format format)
{
    if (!is_job_id(job))
        return invalid_job_id(job);
    std::string const target =
        "/jobs/" + job.value + "/resolve" + (run_again ? "?run=again" : "");
    return call_entry(call, {"POST", target, {}, ""}, one_job, format);
}

command_result list_jobs(entry_call const& call, output_format format)
{
    return call_entry(call, {"GET", "/jobs", {}, ""}, many_jobs, format);
}

} // namespace sycamorespar
