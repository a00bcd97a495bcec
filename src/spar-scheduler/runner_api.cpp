/// Long polling: at most one report per worker waits for an answer; a newer
/// report causes the older one to be answered at once.
#include "spar-scheduler/runner_api.hpp"

#include "common/log.hpp"
#include "runners/runner_codec.hpp"

#include <utility>
#include <vector>

namespace sycamorespar {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;

http_server_limits server_limits()
{
    http_server_limits limits;
    limits.max_body_bytes = 4 * 1024 * 1024;
    return limits;
}

} // namespace

runner_api::runner_api(
    event_loop& loop, hooks callbacks, runner_api_limits const& limits)
    : loop_(loop), callbacks_(std::move(callbacks)), limits_(limits),
      server_(
          loop, server_limits(),
          [this](exchange_id exchange, http_request const& request) {
              handle(exchange, request);
          })
{}

result<endpoint> runner_api::listen(endpoint const& where)
{
    return server_.listen(where);
}

void runner_api::handle(exchange_id exchange, http_request const& request)
{
    auto const path = target_path(request.target);
    if (path == report_path)
        handle_report(exchange, request.body);
    else if (path == pending_path)
        answer_pending(exchange, request.target);
    else
        server_.respond(exchange, {status_not_found, {}, {}});
}

void runner_api::refuse(exchange_id exchange)
{
    http_response response{status_misdirected, {}, {}};
    if (auto const leader = callbacks_.leader())
        response.headers.push_back({leader_header, to_string(leader->address)});
    server_.respond(exchange, response);
}

void runner_api::handle_report(exchange_id exchange, std::string const& body)
{
    auto* const term = callbacks_.term();
    if (term == nullptr) {
        refuse(exchange);
        return;
    }
    auto const report = read_report(body);
    if (!ok(report)) {
        log_error("report_unreadable", failure(report));
        server_.respond(exchange, {status_bad_request, {}, {}});
        return;
    }
    auto const worker = value(report).worker;
    bool const is_newer = term->on_report(value(report));
    if (waiting_.contains(worker))
        answer(worker);
    auto const timer = loop_.after(
        is_newer ? duration(limits_.max_wait) : duration::zero(),
        [this, worker] { answer(worker); });
    waiting_[worker] = {exchange, timer};
    if (term->scheduler()->has_updates(worker))
        answer(worker);
}

void runner_api::answer(worker_id const& worker)
{
    auto const found = waiting_.find(worker);
    if (found == waiting_.end())
        return;
    auto const waiting = found->second;
    waiting_.erase(found);
    loop_.cancel(waiting.timer);
    auto* const term = callbacks_.term();
    if (term == nullptr) {
        refuse(waiting.exchange);
        return;
    }
    auto reply = term->scheduler()->reply_to(
        worker, event_loop::now(), callbacks_.has_authority());
    reply.is_isolated = callbacks_.is_isolated();
    server_.respond(
        waiting.exchange,
        {200, {{"Content-Type", "application/msgpack"}}, write_reply(reply)});
}

void runner_api::answer_ready()
{
    auto* const term = callbacks_.term();
    if (term == nullptr)
        return;
    for (auto const& worker : term->scheduler()->take_updated_workers()) {
        if (term->scheduler()->has_updates(worker))
            answer(worker);
    }
}

void runner_api::refuse_all()
{
    auto const waiting = std::exchange(waiting_, {});
    for (auto const& [worker, each] : waiting) {
        loop_.cancel(each.timer);
        refuse(each.exchange);
    }
}

void runner_api::answer_pending(exchange_id exchange, std::string const& target)
{
    auto* const term = callbacks_.term();
    if (term == nullptr) {
        refuse(exchange);
        return;
    }
    queue_id const queue{query_parameter(target, "queue")};
    auto const count = term->pending(queue);
    server_.respond(
        exchange, count ? http_response{200, {}, std::to_string(*count)}
                        : http_response{status_unavailable, {}, {}});
}

} // namespace sycamorespar
