/// Routes of the stand-in worker. Each one advances the core to the current
/// time first.
#include "standins/worker/worker_api.hpp"

#include "common/json_reader.hpp"
#include "standins/program.hpp"

#include <charconv>
#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <utility>

namespace sycamorespar::standins {

namespace {

constexpr std::chrono::milliseconds advance_period{20};
constexpr std::int64_t max_ttl_ms = 3'600'000;

http_response json_answer(int status, nlohmann::json const& body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

http_response refusal(int status, std::string const& reason)
{
    return json_answer(status, {{"error", reason}});
}

http_response refusal(int status, error const& why)
{
    return refusal(status, why.step + " " + why.reason);
}

std::string decoded(std::string const& part)
{
    std::unique_ptr<char, decltype(&std::free)> const raw(
        evhttp_decode_uri(part.c_str()), &std::free);
    return raw.get();
}

std::vector<std::string> split_path(std::string const& path)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < path.size()) {
        auto const end = std::min(path.find('/', begin), path.size());
        if (end > begin)
            parts.push_back(decoded(path.substr(begin, end - begin)));
        begin = end + 1;
    }
    return parts;
}

nlohmann::json amounts(resources const& from)
{
    return {
        {"millicores", from.millicores},
        {"memory_mib", from.memory_mib},
        {"accelerators", from.accelerators}};
}

nlohmann::json task_json(worker_task const& task)
{
    auto out = amounts(task.spec.demand);
    out["job"] = task.spec.id.job.value;
    out["attempt"] = task.spec.id.number.value;
    out["row"] = task.spec.row;
    out["lease"] = task.spec.lease;
    out["state"] = to_text(task.state);
    out["checkpoint"] = task.checkpoint;
    out["percent"] = task.percent;
    out["progress_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(task.progress)
            .count();
    return out;
}

} // namespace

worker_api::worker_api(
    event_loop& loop, worker_settings settings, std::string const& history_path)
    : loop_(loop), boot_(std::to_string(draw_incarnation())),
      history_(history_path, settings.name),
      core_(
          std::move(settings),
          [this](char const* event, worker_task const& task, char const* how) {
              write_event(event, task, how);
          }),
      server_(loop, {}, [this](exchange_id id, http_request const& request) {
          server_.respond(id, handle(request));
      })
{
    loop_.every(advance_period, [this] { core_.advance(event_loop::now()); });
    auto fields = amounts(core_.settings().capacity);
    fields["worker"] = core_.settings().name;
    fields["failure_domain"] = core_.settings().failure_domain;
    fields["rack"] = core_.settings().rack;
    history_.write("worker_capacity", fields);
}

result<endpoint> worker_api::listen(endpoint const& where)
{
    return server_.listen(where);
}

void worker_api::write_event(
    char const* event, worker_task const& task, char const* how)
{
    auto fields = amounts(task.spec.demand);
    fields["job"] = task.spec.id.job.value;
    fields["attempt"] = task.spec.id.number.value;
    fields["worker"] = core_.settings().name;
    fields["failure_domain"] = core_.settings().failure_domain;
    fields["row"] = task.spec.row;
    fields["how"] = how;
    history_.write(event, fields);
}

http_response worker_api::handle(http_request const& request)
{
    core_.advance(event_loop::now());
    auto const parts = split_path(target_path(request.target));
    if (parts.size() < 2 || parts[0] != "v1")
        return refusal(404, "no such path");
    bool const get = request.method == "GET";
    bool const post = request.method == "POST";
    if (parts[1] == "worker" && get)
        return describe();
    if (parts[1] == "usage" && get)
        return report_usage();
    if (parts[1] == "leases" && post && parts.size() == 2)
        return grant(request);
    if (parts[1] == "leases" && post && parts.size() == 4 &&
        parts[3] == "renew")
        return renew(request, parts[2]);
    if (parts[1] == "tasks" && get)
        return list();
    if (parts[1] == "tasks" && post && parts.size() == 2)
        return start(request);
    if (parts[1] == "tasks" && parts.size() >= 4)
        return handle_task(request, parts);
    return refusal(404, "no such path");
}

http_response worker_api::describe() const
{
    return json_answer(
        200, {{"worker", core_.settings().name},
              {"boot", boot_},
              {"failure_domain", core_.settings().failure_domain},
              {"rack", core_.settings().rack},
              {"refused_for_room", core_.refused_for_room()},
              {"capacity", amounts(core_.settings().capacity)}});
}

http_response worker_api::grant(http_request const& request)
{
    auto const parsed = parse_json(request.body);
    if (!ok(parsed))
        return refusal(400, failure(parsed));
    json_reader reader(value(parsed), "lease");
    std::chrono::milliseconds const ttl(
        reader.number("ttl_ms", {1, max_ttl_ms}));
    if (reader.fault())
        return refusal(400, *reader.fault());
    return json_answer(
        201, {{"lease", core_.grant_lease(ttl, event_loop::now())}});
}

http_response
worker_api::renew(http_request const& request, std::string const& lease)
{
    auto const parsed = parse_json(request.body);
    if (!ok(parsed))
        return refusal(400, failure(parsed));
    json_reader reader(value(parsed), "lease");
    std::chrono::milliseconds const ttl(
        reader.number("ttl_ms", {1, max_ttl_ms}));
    if (reader.fault())
        return refusal(400, *reader.fault());
    if (!core_.renew_lease(lease, ttl, event_loop::now()))
        return refusal(410, "the lease has lapsed");
    return json_answer(200, {{"lease", lease}});
}

http_response worker_api::start(http_request const& request)
{
    auto const parsed = parse_json(request.body);
    if (!ok(parsed))
        return refusal(400, failure(parsed));
    json_reader reader(value(parsed), "task");
    worker_task_spec spec;
    spec.id.job = job_id(reader.text("job"));
    spec.id.number = attempt_number(
        static_cast<std::uint64_t>(reader.number("attempt", {1})));
    spec.lease = reader.text("lease");
    spec.row = reader.text("row");
    spec.demand.millicores = reader.number("millicores");
    spec.demand.memory_mib = reader.number("memory_mib");
    spec.demand.accelerators = reader.number_or("accelerators", 0);
    spec.run_time = std::chrono::milliseconds(reader.number("run_ms", {-1}));
    spec.checkpoint = reader.optional_text("checkpoint");
    if (reader.fault())
        return refusal(400, *reader.fault());
    auto const now = event_loop::now();
    switch (core_.start_task(spec, now)) {
    case worker_start::started:
        return json_answer(201, task_json(*core_.find(spec.id)));
    case worker_start::already_seen:
        return json_answer(409, task_json(*core_.find(spec.id)));
    case worker_start::lease_lapsed:
        return refusal(410, "the lease has lapsed");
    case worker_start::no_room:
        return refusal(507, "no room");
    case worker_start::invalid:
        break;
    }
    return refusal(400, "not a valid task");
}

http_response worker_api::list()
{
    auto all = nlohmann::json::array();
    for (auto const& [id, task] : core_.tasks())
        all.push_back(task_json(task));
    return json_answer(200, all);
}

http_response worker_api::handle_task(
    http_request const& request, std::vector<std::string> const& parts)
{
    std::uint64_t number = 0;
    auto const* end = parts[3].data() + parts[3].size();
    if (std::from_chars(parts[3].data(), end, number).ptr != end)
        return refusal(404, "no such task");
    attempt_id const id{job_id(parts[2]), attempt_number(number)};
    auto const now = event_loop::now();
    if (core_.find(id) == nullptr)
        return refusal(404, "no such task");
    if (request.method == "DELETE" && parts.size() == 4) {
        if (!core_.forget(id, now))
            return refusal(409, "the task is running");
        return json_answer(200, nlohmann::json::object());
    }
    if (request.method != "POST" || parts.size() != 5)
        return refusal(404, "no such path");
    if (parts[4] == "throttle")
        return throttle(id, request);
    bool const stop = parts[4] == "stop";
    if (!stop && parts[4] != "checkpoint")
        return refusal(404, "no such path");
    auto const saved = stop ? core_.stop(id, now) : core_.checkpoint(id, now);
    auto answer = task_json(*core_.find(id));
    if (!saved)
        return json_answer(409, answer);
    return json_answer(200, answer);
}

http_response
worker_api::throttle(attempt_id const& id, http_request const& request)
{
    auto const parsed = parse_json(request.body);
    if (!ok(parsed))
        return refusal(400, failure(parsed));
    json_reader reader(value(parsed), "throttle");
    auto const percent = reader.number("percent", {0, 100});
    if (reader.fault())
        return refusal(400, *reader.fault());
    auto const now = event_loop::now();
    bool const set = core_.throttle(id, static_cast<int>(percent), now);
    return json_answer(set ? 200 : 409, task_json(*core_.find(id)));
}

http_response worker_api::report_usage()
{
    auto all = nlohmann::json::array();
    for (auto const& report : core_.usage(event_loop::now())) {
        auto each = amounts(report.used);
        each["job"] = report.id.job.value;
        each["attempt"] = report.id.number.value;
        each["row"] = report.row;
        each["age_ms"] = report.age.count();
        all.push_back(std::move(each));
    }
    return json_answer(200, all);
}

} // namespace sycamorespar::standins
