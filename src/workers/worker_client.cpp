/// Status 4xx or 507 is a refusal by the worker, so the call had no effect.
/// After any other status except 2xx the effect is unknown.
#include "workers/worker_client.hpp"

#include "common/json_reader.hpp"

#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <optional>
#include <utility>

namespace sycamorespar::workers {

namespace {

constexpr int status_conflict = 409;
constexpr int status_insufficient_storage = 507;
constexpr std::size_t max_checkpoint_bytes = 64 * 1024;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

bool is_refusal(int status)
{
    return (status >= 400 && status < 500) ||
           status == status_insufficient_storage;
}

std::string first_line(std::string const& body)
{
    constexpr std::size_t max_bytes = 200;
    return body.substr(0, std::min(body.find('\n'), max_bytes));
}

error status_error(http_response const& answer)
{
    auto const effect =
        is_refusal(answer.status) ? outcome::not_run : outcome::unknown;
    return error{
        "", "",
        "status " + std::to_string(answer.status) + " " +
            first_line(answer.body),
        effect};
}

std::string uri_encoded(std::string const& text)
{
    std::unique_ptr<char, decltype(&std::free)> const raw(
        evhttp_encode_uri(text.c_str()), &std::free);
    return raw.get();
}

std::string task_path(attempt_id const& id)
{
    return "/v1/tasks/" + uri_encoded(id.job.value) + "/" +
           std::to_string(id.number.value);
}

http_request post(std::string target, nlohmann::json const& body)
{
    return {
        "POST",
        std::move(target),
        {{"Content-Type", "application/json"}},
        body.dump()};
}

resources read_amounts(json_reader& from)
{
    resources amounts;
    amounts.millicores = from.number("millicores");
    amounts.memory_mib = from.number("memory_mib");
    amounts.accelerators = from.number("accelerators");
    return amounts;
}

attempt_id read_attempt(json_reader& from)
{
    return {
        job_id(from.text("job")), attempt_number(static_cast<std::uint64_t>(
                                      from.number("attempt", {1})))};
}

std::optional<task_state> parse_state(std::string const& text)
{
    if (text == "running")
        return task_state::running;
    if (text == "finished")
        return task_state::finished;
    if (text == "failed")
        return task_state::failed;
    if (text == "stopped")
        return task_state::stopped;
    if (text == "lapsed")
        return task_state::lapsed;
    return std::nullopt;
}

result<task_status> read_status(nlohmann::json const& from)
{
    json_reader reader(from, "task");
    task_status status;
    status.id = read_attempt(reader);
    status.row = row_id(reader.text("row"));
    status.lease = lease_id(reader.text("lease"));
    status.checkpoint =
        reader.optional_text("checkpoint", max_checkpoint_bytes);
    status.progress = std::chrono::milliseconds(reader.number("progress_ms"));
    status.demand = read_amounts(reader);
    auto const state = parse_state(reader.text("state"));
    if (reader.fault())
        return *reader.fault();
    if (!state)
        return error{"task.state", "", "is not a known state"};
    status.state = *state;
    return status;
}

result<task_usage> read_usage(nlohmann::json const& from)
{
    json_reader reader(from, "usage");
    task_usage usage;
    usage.id = read_attempt(reader);
    usage.row = row_id(reader.text("row"));
    usage.used = read_amounts(reader);
    usage.age = std::chrono::milliseconds(reader.number("age_ms"));
    if (reader.fault())
        return *reader.fault();
    return usage;
}

/// Reads an array; fails if one of its elements is invalid.
template<class T>
result<std::vector<T>> read_array(
    std::string const& body, result<T> (*read_one)(nlohmann::json const&))
{
    auto const parsed = parse_json(body);
    if (!ok(parsed))
        return failure(parsed);
    if (!value(parsed).is_array())
        return error{"list", "", "is not an array"};
    std::vector<T> all;
    for (auto const& each : value(parsed)) {
        auto one = read_one(each);
        if (!ok(one))
            return failure(one);
        all.push_back(take(std::move(one)));
    }
    return all;
}

result<worker_description> read_description(std::string const& body)
{
    auto const parsed = parse_json(body);
    if (!ok(parsed))
        return failure(parsed);
    json_reader reader(value(parsed), "worker");
    worker_description description;
    description.worker = worker_id(reader.text("worker"));
    description.boot = boot_id(reader.text("boot"));
    json_reader capacity(reader.member("capacity"), "worker.capacity");
    description.capacity = read_amounts(capacity);
    if (reader.fault())
        return *reader.fault();
    if (capacity.fault())
        return *capacity.fault();
    return description;
}

result<std::string>
read_text(std::string const& body, char const* name, bool may_be_empty)
{
    auto const parsed = parse_json(body);
    if (!ok(parsed))
        return failure(parsed);
    json_reader reader(value(parsed), "answer");
    auto text = may_be_empty ? reader.optional_text(name, max_checkpoint_bytes)
                             : reader.text(name);
    if (reader.fault())
        return *reader.fault();
    return text;
}

result<std::string> read_checkpoint(std::string const& body)
{
    return read_text(body, "checkpoint", true);
}

result<lease_id> read_lease(std::string const& body)
{
    auto text = read_text(body, "lease", false);
    if (!ok(text))
        return failure(text);
    return lease_id(value(text));
}

result<task_status> read_task(std::string const& body)
{
    auto const parsed = parse_json(body);
    if (!ok(parsed))
        return failure(parsed);
    return read_status(value(parsed));
}

result<done> ignore_body(std::string const&)
{
    return done{};
}

nlohmann::json spec_json(task_spec const& spec)
{
    constexpr std::chrono::milliseconds until_stopped{-1};
    return {
        {"job", spec.id.job.value},
        {"attempt", spec.id.number.value},
        {"lease", spec.lease.value},
        {"row", spec.row.value},
        {"millicores", spec.demand.millicores},
        {"memory_mib", spec.demand.memory_mib},
        {"accelerators", spec.demand.accelerators},
        {"run_ms", spec.run_time.value_or(until_stopped).count()},
        {"checkpoint", spec.checkpoint}};
}

/// Reads the answer to a start. Status 409 means that the worker had seen the
/// attempt before; the body then describes that task.
result<start_answer> read_start(http_response const& answer)
{
    bool const seen = answer.status == status_conflict;
    if (!seen && !is_success(answer.status))
        return status_error(answer);
    auto task = read_task(answer.body);
    if (ok(task))
        return start_answer{seen, take(std::move(task))};
    auto fault = failure(task);
    fault.effect = outcome::ran;
    return fault;
}

error with_context(char const* step, endpoint const& where, error fault)
{
    if (!fault.step.empty())
        fault.reason = fault.step + ": " + fault.reason;
    fault.step = step;
    fault.peer = to_string(where);
    return fault;
}

} // namespace

worker_client::worker_client(
    event_loop& loop, endpoint where, http_client_limits const& limits)
    : http_(loop, std::move(where), limits)
{}

template<class T>
void worker_client::call(
    char const* step, http_request&& request, body_reader<T> read,
    callback<T> on_result)
{
    auto finish = [step, where = http_.where(), read = std::move(read),
                   on_result = std::move(on_result)](
                      result<http_response> const& answer) {
        if (!ok(answer))
            return on_result(with_context(step, where, failure(answer)));
        if (!is_success(value(answer).status))
            return on_result(
                with_context(step, where, status_error(value(answer))));
        auto parsed = read(value(answer).body);
        if (ok(parsed))
            return on_result(std::move(parsed));
        auto fault = failure(parsed);
        fault.effect = outcome::ran;
        on_result(with_context(step, where, std::move(fault)));
    };
    http_.call(std::move(request), std::move(finish));
}

void worker_client::describe(callback<worker_description> on_result)
{
    call<worker_description>(
        "worker.describe", {"GET", "/v1/worker", {}, {}}, read_description,
        std::move(on_result));
}

void worker_client::grant_lease(
    std::chrono::milliseconds ttl, callback<lease_id> on_result)
{
    call<lease_id>(
        "worker.grant_lease", post("/v1/leases", {{"ttl_ms", ttl.count()}}),
        read_lease, std::move(on_result));
}

void worker_client::renew_lease(
    lease_id const& lease, std::chrono::milliseconds ttl,
    callback<done> on_result)
{
    call<done>(
        "worker.renew_lease",
        post(
            "/v1/leases/" + uri_encoded(lease.value) + "/renew",
            {{"ttl_ms", ttl.count()}}),
        ignore_body, std::move(on_result));
}

void worker_client::start_task(
    task_spec const& spec, callback<start_answer> on_result)
{
    constexpr char const* step = "worker.start_task";
    auto finish = [where = http_.where(), on_result = std::move(on_result)](
                      result<http_response> const& answer) {
        if (!ok(answer))
            return on_result(with_context(step, where, failure(answer)));
        auto started = read_start(value(answer));
        if (ok(started))
            return on_result(std::move(started));
        on_result(with_context(step, where, failure(started)));
    };
    http_.call(post("/v1/tasks", spec_json(spec)), std::move(finish));
}

void worker_client::list_tasks(callback<std::vector<task_status>> on_result)
{
    call<std::vector<task_status>>(
        "worker.list_tasks", {"GET", "/v1/tasks", {}, {}},
        [](std::string const& body) { return read_array(body, read_status); },
        std::move(on_result));
}

void worker_client::checkpoint(
    attempt_id const& id, callback<std::string> on_result)
{
    call<std::string>(
        "worker.checkpoint",
        post(task_path(id) + "/checkpoint", nlohmann::json::object()),
        read_checkpoint, std::move(on_result));
}

void worker_client::throttle(
    attempt_id const& id, int percent, callback<done> on_result)
{
    call<done>(
        "worker.throttle",
        post(task_path(id) + "/throttle", {{"percent", percent}}), ignore_body,
        std::move(on_result));
}

void worker_client::stop(attempt_id const& id, callback<std::string> on_result)
{
    call<std::string>(
        "worker.stop", post(task_path(id) + "/stop", nlohmann::json::object()),
        read_checkpoint, std::move(on_result));
}

void worker_client::forget(attempt_id const& id, callback<done> on_result)
{
    call<done>(
        "worker.forget", {"DELETE", task_path(id), {}, {}}, ignore_body,
        std::move(on_result));
}

void worker_client::usage(callback<std::vector<task_usage>> on_result)
{
    call<std::vector<task_usage>>(
        "worker.usage", {"GET", "/v1/usage", {}, {}},
        [](std::string const& body) { return read_array(body, read_usage); },
        std::move(on_result));
}

} // namespace sycamorespar::workers
