#include "world.hpp"

#include "common/json_text.hpp"

#include <fmt/format.h>
#include <utility>

namespace review {

using namespace sycamorespar;
using nlohmann::json;

namespace {

constexpr int status_ok = 200;

http_client_limits caller_limits()
{
    // The deadline of the platform's clients.
    http_client_limits limits;
    limits.timeout = milliseconds(3000);
    limits.idle = milliseconds(30'000);
    return limits;
}

} // namespace

world::world(
    world_settings settings, std::size_t schedulers, std::size_t runners)
    : settings_(std::move(settings)), record_(settings_.record)
{
    standins::deployment_settings made;
    made.programs = settings_.programs;
    made.worker_program = settings_.worker_program;
    made.templates = settings_.templates;
    made.folder = settings_.folder;
    made.schedulers = schedulers;
    made.runners = runners;
    system_ = std::make_unique<standins::deployment>(loop_, made);
}

bool world::start()
{
    started_at_ = event_loop::now();
    auto const started = system_->start();
    if (!ok(started)) {
        note("not started: " + failure(started).reason);
        return false;
    }
    for (std::size_t each = 0; each < system_->schedulers().size(); ++each)
        clients_.push_back(std::make_unique<http_client>(
            loop_, system_->callers_of(each), caller_limits()));
    note(
        settings_.has_trouble ? "with the disruption"
                              : "without the disruption");
    return true;
}

void world::at(milliseconds when, std::function<void()> step)
{
    auto const left = started_at_ + when - event_loop::now();
    loop_.after(std::max<duration>(left, duration::zero()), std::move(step));
}

void world::run_until(milliseconds when)
{
    at(when, [this] { loop_.stop(); });
    loop_.run();
    system_->read_workers();
}

milliseconds world::since_start(monotonic_time when) const
{
    return std::chrono::duration_cast<milliseconds>(when - started_at_);
}

milliseconds world::now() const
{
    return since_start(event_loop::now());
}

void world::note(std::string const& what)
{
    record_ << fmt::format("{:8.3f} s  {}\n", now().count() / 1000.0, what)
            << std::flush;
}

void world::configure(
    std::uint64_t version, std::vector<route> const& routes,
    std::size_t idle_routes)
{
    json listed = json::array();
    std::string names;
    auto const add = [&](std::string const& name, std::string const& host,
                         std::string const& prefix) {
        listed.push_back(
            {{"name", name},
             {"host", host},
             {"prefix", prefix},
             {"kind", "non_idempotent"},
             {"timeout_ms", 3000},
             {"target_latency_ms", 1000},
             {"priority", 0},
             {"service", "ledger"},
             {"max_attempts", 3},
             {"stretch", 2.0}});
    };
    std::size_t number = 0;
    for (auto const& scheduler : system_->schedulers()) {
        ++number;
        for (auto const& each : routes) {
            add(each.name + "-" + std::to_string(number), scheduler.address,
                each.prefix);
            names += " " + each.name + "-" + std::to_string(number) + " (" +
                     each.prefix + ")";
        }
    }
    for (std::size_t each = 0; each < idle_routes; ++each) {
        auto const name = fmt::format("idle{:05}", each);
        add(name, name + ".example", "/" + name + "/");
    }
    json const pool = {{"name", "ledger"},      {"health_path", "/healthz"},
                       {"max_connections", 64}, {"protocol", "h1"},
                       {"tls", false},          {"cold_start_s", 0.0},
                       {"cold_per_s", 0.0},     {"admission_check", true},
                       {"spare", false}};
    json const configuration = {
        {"version", version},
        {"routes", std::move(listed)},
        {"services", json::array({pool})},
        {"limits",
         {{"max_header_bytes", 16'384},
          {"max_body_bytes", 262'144},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15'000}}}};
    auto const text = configuration.dump();
    system_->store().kv().put("op/config", text);
    note(fmt::format(
        "operator: configuration {} acknowledged, {} bytes, routes{}{}",
        version, text.size(), names,
        idle_routes == 0 ? "" : fmt::format(" and {} more", idle_routes)));
}

void world::call(
    std::size_t scheduler, std::string const& method, std::string const& path,
    std::string const& body,
    std::function<void(int status, json const&)> on_answer)
{
    auto const text =
        fmt::format("{} {} at scheduler-{}", method, path, scheduler + 1);
    note("client: " + text);
    clients_[scheduler]->call(
        {method, path, {{"Content-Type", "application/json"}}, body},
        [this, text, on_answer](result<http_response> const& answer) {
            int const status = ok(answer) ? value(answer).status : 0;
            auto const read =
                ok(answer) ? json::parse(value(answer).body, nullptr, false)
                           : json();
            note(fmt::format(
                "client: {}: {} {}", text,
                status == 0 ? "no answer" : std::to_string(status),
                read.is_object() ? read.dump() : ""));
            if (on_answer)
                on_answer(status, read);
        });
}

void world::submit(
    std::size_t scheduler, std::string const& path, json const& job)
{
    call(
        scheduler, "POST", path, job.dump(),
        [this, scheduler, path, job](int status, json const&) {
            if (status == status_ok) {
                accepted_[path] = true;
                return;
            }
            loop_.after(milliseconds(300), [this, scheduler, path, job] {
                submit(scheduler, path, job);
            });
        });
}

bool world::is_accepted(std::string const& path) const
{
    return accepted_.contains(path);
}

void world::note_runs()
{
    system_->read_workers();
    for (auto const& [task, runs] : system_->history().tasks()) {
        for (auto const& run : runs) {
            auto const ended =
                run.ended
                    ? fmt::format(
                          "{:.3f} s {}",
                          since_start(*run.ended).count() / 1000.0, run.how)
                    : std::string("live");
            record_ << fmt::format(
                "run: {} run {} on {}, {:.3f} s to {}\n", task, run.number,
                run.worker, since_start(run.began).count() / 1000.0, ended);
        }
    }
    record_ << std::flush;
}

} // namespace review
