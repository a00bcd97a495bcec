/// Any scheduler accepts a job by writing it to the store; the leader sees it
/// through its watch. The answer is 503 only if it is certain that nothing was
/// stored, and 504 if that is unknown, so that the caller resends the same job.
#include "spar-scheduler/caller_api.hpp"

#include "common/log.hpp"
#include "platform/job_body.hpp"
#include "spar-scheduler/runner_api.hpp"

#include <charconv>
#include <system_error>
#include <utility>

namespace sycamorespar {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_bad_method = 405;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr int status_timeout = 504;

/// Reasons for a refusal, for logs and metrics.
constexpr char const* no_configuration = "no_configuration";
constexpr char const* store_lost = "store_lost";
constexpr char const* store_refused = "store_refused";
constexpr char const* no_leader = "no_holder";
constexpr char const* outdated_view = "outdated_view";

http_client_limits peer_limits(std::chrono::milliseconds timeout)
{
    http_client_limits limits;
    limits.timeout = timeout;
    limits.idle = keep_alive_time;
    limits.max_connections = 4;
    return limits;
}

/// Parses a leader's answer; none if it isn't exactly one count.
std::optional<std::size_t> read_count(result<http_response> const& answer)
{
    if (!ok(answer) || value(answer).status != status_ok)
        return std::nullopt;
    auto const& text = value(answer).body;
    char const* const end = text.data() + text.size();
    std::size_t count = 0;
    auto const read = std::from_chars(text.data(), end, count);
    if (read.ec != std::errc{} || read.ptr != end)
        return std::nullopt;
    return count;
}

} // namespace

caller_api::caller_api(
    event_loop& loop, kv_store const& store,
    configuration_follower const& configuration, hooks callbacks,
    caller_api_limits const& limits)
    : loop_(loop), store_(store), configuration_(configuration),
      callbacks_(std::move(callbacks)), limits_(limits),
      server_(
          loop, http_server_limits{},
          [this](exchange_id exchange, http_request const& request) {
              handle(exchange, request);
          })
{}

result<endpoint> caller_api::listen(endpoint const& where)
{
    return server_.listen(where);
}

void caller_api::respond(exchange_id exchange, int status)
{
    server_.respond(exchange, {status, {}, {}});
}

void caller_api::refuse(exchange_id exchange, char const* reason)
{
    ++counts_.refused[reason];
    server_.respond(
        exchange,
        {status_unavailable,
         {{"Retry-After", std::to_string(limits_.retry_after.count())}},
         {}});
}

void caller_api::log_and_refuse(
    exchange_id exchange, job_id const& job, char const* reason)
{
    log_event(
        log_level::warning, "caller_turned_away",
        {{"job", job.value}, {"reason", reason}});
    refuse(exchange, reason);
}

void caller_api::handle(exchange_id exchange, http_request const& request)
{
    if (!configuration_.is_known()) {
        refuse(exchange, no_configuration);
        return;
    }
    auto const* const host = find_header(request.headers, "Host");
    auto const to = configuration_.routes().find(
        host == nullptr ? std::string() : *host, target_path(request.target));
    if (!to) {
        respond(exchange, status_not_found);
        return;
    }
    if (to->rest.empty()) {
        if (request.method == "GET")
            respond_pending(exchange, to->queue);
        else
            respond(exchange, status_bad_method);
        return;
    }
    if (!platform::is_job_id(to->rest)) {
        respond(exchange, status_not_found);
        return;
    }
    job_id const job{to->rest};
    if (request.method == "POST")
        submit(exchange, *to, request);
    else if (request.method == "GET")
        respond_state(exchange, job);
    else if (request.method == "DELETE")
        cancel(exchange, job);
    else
        respond(exchange, status_bad_method);
}

void caller_api::submit(
    exchange_id exchange, routed_path const& to, http_request const& request)
{
    auto graph =
        platform::read_job_body(job_id{to.rest}, to.queue, request.body);
    if (!ok(graph)) {
        ++counts_.invalid;
        log_error("job_refused", failure(graph));
        respond(exchange, status_bad_request);
        return;
    }
    if (callbacks_.is_store_lost()) {
        log_and_refuse(exchange, job_id{to.rest}, store_lost);
        return;
    }
    accepted_job job{take(std::move(graph)), {}};
    if (auto const leader = callbacks_.leader())
        job.accepted_in = leader->term;
    auto const sent_at = event_loop::now();
    store_job(
        store_, job, [this, exchange, job, sent_at](stored_job const& stored) {
            on_job_stored(exchange, job, sent_at, stored);
        });
}

void caller_api::on_job_stored(
    exchange_id exchange, accepted_job const& job, monotonic_time sent_at,
    stored_job const& stored)
{
    auto const took = std::chrono::duration_cast<std::chrono::microseconds>(
        event_loop::now() - sent_at);
    if (stored.outcome == acceptance::refused) {
        log_and_refuse(exchange, job.graph.id, store_refused);
        return;
    }
    if (stored.outcome == acceptance::unknown) {
        ++counts_.unknown;
        log_event(
            log_level::warning, "job_fate_unknown",
            {{"job", job.graph.id.value}, {"took_us", took.count()}});
        respond(exchange, status_timeout);
        return;
    }
    ++counts_.accepted;
    submission_times_.record(took);
    log_event(
        log_level::info, "job_accepted",
        {{"job", job.graph.id.value},
         {"queue", job.graph.queue.value},
         {"term", job.accepted_in.value},
         {"revision", stored.revision},
         {"took_us", took.count()}});
    respond(exchange, status_ok);
    if (auto* const term = callbacks_.term();
        term != nullptr && stored.revision != 0)
        term->on_stored(job, stored.revision);
}

void caller_api::respond_state(exchange_id exchange, job_id const& job)
{
    ++counts_.states;
    auto const* const term = callbacks_.term();
    if (term != nullptr) {
        if (auto const phase = term->scheduler()->phase_of(job)) {
            server_.respond(exchange, platform::state_answer(*phase));
            return;
        }
    }
    if (callbacks_.is_store_lost()) {
        refuse(exchange, store_lost);
        return;
    }
    find_phase(store_, job, [this, exchange](auto const& found) {
        if (!ok(found)) {
            refuse(exchange, store_refused);
            return;
        }
        if (value(found))
            server_.respond(exchange, platform::state_answer(*value(found)));
        else
            respond(exchange, status_gone);
    });
}

void caller_api::cancel(exchange_id exchange, job_id const& job)
{
    ++counts_.cancels;
    if (callbacks_.is_store_lost()) {
        log_and_refuse(exchange, job, store_lost);
        return;
    }
    auto const sent_at = event_loop::now();
    store_cancellation(
        store_, job,
        [this, exchange, job, sent_at](cancellation const& stored) {
            on_cancellation_stored(exchange, job, sent_at, stored);
        });
}

void caller_api::on_cancellation_stored(
    exchange_id exchange, job_id const& job, monotonic_time sent_at,
    cancellation const& stored)
{
    auto const took = std::chrono::duration_cast<std::chrono::microseconds>(
        event_loop::now() - sent_at);
    log_event(
        log_level::info, "cancel_answered",
        {{"job", job.value},
         {"outcome", to_string(stored)},
         {"took_us", took.count()}});
    switch (stored) {
    case cancellation::accepted:
    case cancellation::has_ended:
        respond(exchange, status_ok);
        return;
    case cancellation::no_such_job:
        respond(exchange, status_gone);
        return;
    case cancellation::refused:
        log_and_refuse(exchange, job, store_refused);
        return;
    case cancellation::unknown:
        respond(exchange, status_timeout);
        return;
    }
}

void caller_api::respond_pending(exchange_id exchange, queue_id const& queue)
{
    if (auto const* const term = callbacks_.term()) {
        if (auto const count = term->pending(queue))
            server_.respond(exchange, platform::pending_answer(*count));
        else
            refuse(exchange, outdated_view);
        return;
    }
    query_leader(exchange, queue);
}

void caller_api::query_leader(exchange_id exchange, queue_id const& queue)
{
    auto const known = pending_.find(queue);
    if (known != pending_.end() &&
        event_loop::now() - known->second.read_at < limits_.max_pending_age) {
        server_.respond(
            exchange, platform::pending_answer(known->second.count));
        return;
    }
    auto const leader = callbacks_.leader();
    if (!leader) {
        refuse(exchange, no_leader);
        return;
    }
    client_of(leader->address)
        .call(
            {"GET",
             std::string(pending_path) + "?queue=" + queue.value,
             {},
             {}},
            [this, exchange, queue](result<http_response> const& answer) {
                auto const count = read_count(answer);
                if (!count) {
                    refuse(exchange, no_leader);
                    return;
                }
                pending_[queue] = {*count, event_loop::now()};
                server_.respond(exchange, platform::pending_answer(*count));
            });
}

http_client& caller_api::client_of(endpoint const& where)
{
    auto& client = peers_[where];
    if (client == nullptr)
        client = std::make_unique<http_client>(
            loop_, where, peer_limits(limits_.peer_timeout));
    return *client;
}

} // namespace sycamorespar
