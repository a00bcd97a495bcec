/// Calls for a job are handled by the entry that holds the job's shard. Any
/// other entry forwards them, so that a submitter may call any entry; a
/// forwarded call is not forwarded again.
#include "spar-entry/operator_api.hpp"

#include "common/json_text.hpp"
#include "common/log.hpp"
#include "common/random_seed.hpp"
#include "operators/job_json.hpp"
#include "operators/table_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sycamorespar {

namespace {

constexpr char const* forwarded_header = "X-Spar-Passed-On";
constexpr char const* jobs_path = "/jobs";
constexpr char const* jobs_prefix = "/jobs/";
constexpr char const* resolve_suffix = "/resolve";

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

http_response json_response(int status, std::string text)
{
    return {
        status, {{"Content-Type", "application/json"}}, std::move(text) + "\n"};
}

} // namespace

operator_api::operator_api(
    event_loop& loop, http_server& http, table_replica& replica,
    shard_manager& shards, registration& own_registration,
    agent_directory const& directory, entry_id self)
    : loop_(loop), http_(http), table_(replica), shard_manager_(shards),
      registration_(own_registration), directory_(directory),
      self_(std::move(self))
{}

void operator_api::handle(exchange_id exchange, http_request const& request)
{
    std::string const path = target_path(request.target);
    if (request.method == "GET" && path == "/table") {
        show_table(exchange);
    } else if (request.method == "POST" && path == "/table/edit") {
        edit_table(exchange, request);
    } else if (request.method == "GET" && path == "/table/status") {
        show_status(exchange);
    } else if (request.method == "POST" && path == jobs_path) {
        submit_job(exchange, request);
    } else if (request.method == "GET" && path == jobs_path) {
        list_jobs(exchange);
    } else if (path.starts_with(jobs_prefix)) {
        on_job(exchange, request);
    } else if (path == "/healthz") {
        http_.respond(exchange, {status_ok, {}, "ok\n"});
    } else {
        http_.respond(exchange, {status_not_found, {}, "no such page\n"});
    }
}

void operator_api::answer_error(exchange_id exchange, error const& what)
{
    char const* effect = what.effect == outcome::not_run   ? "not-run"
                         : what.effect == outcome::unknown ? "unknown"
                                                           : "ran";
    nlohmann::json const body{
        {"step", what.step},
        {"peer", what.peer},
        {"reason", what.reason},
        {"effect", effect}};
    http_.respond(
        exchange, json_response(
                      what.effect == outcome::not_run ? status_unavailable
                                                      : status_gateway_timeout,
                      body.dump()));
}

void operator_api::show_table(exchange_id exchange)
{
    if (table_.current().revision.value == 0) {
        answer_error(
            exchange, {"table.read", self_.value, "no table is known yet"});
        return;
    }
    http_.respond(exchange, json_response(status_ok, table_.text()));
}

void operator_api::edit_table(exchange_id exchange, http_request const& request)
{
    auto const edit = decode_edit(request.body);
    if (!ok(edit)) {
        http_.respond(
            exchange, json_response(
                          status_bad_request,
                          nlohmann::json{
                              {"step", failure(edit).step},
                              {"reason", failure(edit).reason}}
                              .dump()));
        return;
    }
    table_.edit(value(edit), [this, exchange](edit_result const& what) {
        if (auto const* revision = std::get_if<table_revision>(&what)) {
            http_.respond(
                exchange,
                json_response(
                    status_ok,
                    nlohmann::json{{"revision", revision->value}}.dump()));
        } else if (auto const* refused = std::get_if<edit_refusal>(&what)) {
            http_.respond(
                exchange,
                json_response(status_conflict, encode_refusal(*refused)));
        } else {
            answer_error(exchange, std::get<error>(what));
        }
    });
}

void operator_api::show_status(exchange_id exchange)
{
    monotonic_time const now = event_loop::now();
    nlohmann::json processes = nlohmann::json::array();
    processes.push_back(
        {{"name", self_.value},
         {"kind", "entry"},
         {"revision", table_.policy().revision.value},
         {"age_ms", 0}});
    for (auto const& [worker, agent] : directory_.agents()) {
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - agent.last_heartbeat);
        processes.push_back(
            {{"name", worker.value},
             {"kind", "agent"},
             {"revision", agent.report.revision.value},
             {"age_ms", age.count()}});
    }
    http_.respond(
        exchange,
        json_response(
            status_ok, nlohmann::json{{"processes", processes}}.dump()));
}

void operator_api::submit_job(exchange_id exchange, http_request const& request)
{
    auto read = operators::job_request_from_json(request.body);
    if (!ok(read)) {
        http_.respond(
            exchange, json_response(
                          status_bad_request,
                          nlohmann::json{
                              {"step", failure(read).step},
                              {"reason", failure(read).reason}}
                              .dump()));
        return;
    }
    job_request job = sycamorespar::take(std::move(read));
    http_request forwarded = request;
    if (job.id.value.empty()) {
        job.id = job_id{fmt::format("job-{:016x}", random_seed())};
        forwarded.body = operators::job_request_to_json(job);
    }
    row_policy const* row = find_row(table_.policy(), job.row);
    if (row == nullptr || row->kind == row_kind::service) {
        http_.respond(
            exchange,
            json_response(
                status_bad_request,
                nlohmann::json{
                    {"step", "job.row"},
                    {"reason", "the table has no batch class " + job.row.value}}
                    .dump()));
        return;
    }
    job.repeatable = row->repeatable;
    if (forward(exchange, job.id, forwarded))
        return;
    shard_manager_.submit(
        job, [this, exchange, id = job.id](result<job_state> const& what) {
            if (!ok(what)) {
                answer_error(exchange, failure(what));
                return;
            }
            http_.respond(
                exchange,
                json_response(
                    status_accepted,
                    nlohmann::json{
                        {"job", id.value}, {"state", to_string(value(what))}}
                        .dump()));
        });
}

void operator_api::list_jobs(exchange_id exchange)
{
    http_.respond(
        exchange,
        json_response(
            status_ok, operators::jobs_to_json(shard_manager_.jobs())));
}

void operator_api::on_job(exchange_id exchange, http_request const& request)
{
    std::string rest =
        target_path(request.target).substr(std::string(jobs_prefix).size());
    bool const resolve = rest.ends_with(resolve_suffix);
    if (resolve)
        rest.resize(rest.size() - std::string(resolve_suffix).size());
    job_id const job{rest};
    if (forward(exchange, job, request))
        return;
    if (resolve && request.method == "POST")
        resolve_job(exchange, job, request);
    else if (request.method == "GET")
        show_job(exchange, job);
    else if (request.method == "DELETE")
        cancel_job(exchange, job);
    else
        http_.respond(exchange, {status_bad_request, {}, "no such call\n"});
}

void operator_api::show_job(exchange_id exchange, job_id const& job)
{
    job_record const* found = shard_manager_.find(job);
    if (found == nullptr) {
        http_.respond(exchange, {status_not_found, {}, "no such job\n"});
        return;
    }
    http_.respond(
        exchange, json_response(status_ok, operators::job_to_json(*found)));
}

void operator_api::cancel_job(exchange_id exchange, job_id const& job)
{
    shard_manager_.cancel(
        job, [this, exchange, job](result<job_state> const& what) {
            if (!ok(what)) {
                answer_error(exchange, failure(what));
                return;
            }
            http_.respond(
                exchange,
                json_response(
                    status_accepted,
                    nlohmann::json{
                        {"job", job.value}, {"state", to_string(value(what))}}
                        .dump()));
        });
}

void operator_api::resolve_job(
    exchange_id exchange, job_id const& job, http_request const& request)
{
    bool const run_again = query_parameter(request.target, "run") == "again";
    if (!shard_manager_.resolve_parked(job, run_again)) {
        http_.respond(
            exchange, {status_conflict, {}, "the job is not parked\n"});
        return;
    }
    show_job(exchange, job);
}

bool operator_api::forward(
    exchange_id exchange, job_id const& job, http_request const& request)
{
    if (shard_manager_.holds(job))
        return false;
    auto const holder = shard_manager_.holder_of(job);
    auto const& entries = registration_.entries();
    bool const already_forwarded =
        find_header(request.headers, forwarded_header) != nullptr;
    bool const known = holder && *holder != self_ && entries.contains(*holder);
    if (!known || already_forwarded) {
        answer_error(
            exchange, {"ledger.holder", self_.value,
                       "no entry is known to hold the job's shard now"});
        return true;
    }
    http_request forwarded = request;
    forwarded.headers = {{forwarded_header, self_.value}};
    client_of(entries.at(*holder).http)
        .call(forwarded, [this, exchange](result<http_response> const& answer) {
            if (ok(answer))
                http_.respond(
                    exchange,
                    json_response(value(answer).status, value(answer).body));
            else
                answer_error(exchange, failure(answer));
        });
    return true;
}

http_client& operator_api::client_of(endpoint const& where)
{
    auto& known = clients_[where];
    if (known == nullptr)
        known =
            std::make_unique<http_client>(loop_, where, http_client_limits{});
    return *known;
}

} // namespace sycamorespar
