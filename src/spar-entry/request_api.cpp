/// Answers are matched by request id, never by order. An answer whose body
/// does not match its checksum counts as an unknown outcome, not as a
/// truncated success.
#include "spar-entry/request_api.hpp"

#include "common/log.hpp"
#include "peers/codec.hpp"

namespace sycamorespar {

namespace {

constexpr std::chrono::milliseconds retry_after_stop{1000};
constexpr int first_server_error = 500;

router_settings
settings_of(incarnation self_incarnation, failure_domain_id domain)
{
    router_settings settings;
    settings.entry = self_incarnation;
    settings.picker.domain = std::move(domain);
    settings.picker.seed = self_incarnation.value;
    return settings;
}

} // namespace

request_api::request_api(
    http_server& http, agent_connections& agents, incarnation self_incarnation,
    failure_domain_id domain)
    : http_(http), agents_(agents),
      router_(settings_of(self_incarnation, std::move(domain))),
      burn_(event_loop::now())
{}

void request_api::handle(exchange_id exchange, http_request const& request)
{
    constexpr int bad_request = 400;
    auto const read = callers::read_request(request);
    if (!ok(read)) {
        http_.respond(
            exchange,
            {bad_request,
             {{"X-Spar-Outcome", callers::outcome_name(outcome::not_run)}},
             failure(read).step + ": " + failure(read).reason + "\n"});
        return;
    }
    if (stopping_) {
        http_.respond(
            exchange,
            callers::failed_response(
                outcome::not_run, "this entry is stopping", retry_after_stop));
        return;
    }
    callers::caller_request const& parsed = value(read);
    monotonic_time const now = event_loop::now();
    request_id const id = router_.next_id();
    row_policy const* row = find_row(policy_, parsed.row);
    open_.emplace(
        id, open_request{
                exchange, parsed.forwarded, parsed.row, now,
                now + parsed.deadline});
    router_.submit(
        {id, parsed.row, parsed.caller,
         row != nullptr && row->repeatable && !parsed.never_repeat,
         now + parsed.deadline},
        now);
    tick();
}

void request_api::tick()
{
    for (router_action const& action : router_.tick(event_loop::now()))
        execute(action);
}

void request_api::execute(router_action const& action)
{
    if (auto const* to_send = std::get_if<send_request_action>(&action)) {
        send(*to_send);
        return;
    }
    auto const& rejected = std::get<reject_request_action>(action);
    if (rejected.effect == outcome::not_run)
        ++outcomes_.not_run;
    else
        ++outcomes_.unknown;
    finish(
        rejected.id, {},
        callers::failed_response(
            rejected.effect, rejected.reason, rejected.retry_after));
}

void request_api::send(send_request_action const& action)
{
    auto const found = open_.find(action.id);
    if (found == open_.end())
        return;
    monotonic_time const now = event_loop::now();
    open_request const& open = found->second;
    peers::start_request const message{
        {action.sent_as, action.quoted, policy_.revision, open.row},
        open.forwarded,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            open.deadline - now)};
    if (!agents_.send(action.worker, message))
        router_.on_not_sent(action.sent_as, now);
}

void request_api::finish(
    request_id const& id, failure_domain_id const& domain,
    http_response const& response)
{
    auto const found = open_.find(id);
    if (found == open_.end())
        return;
    monotonic_time const now = event_loop::now();
    burn_.record(
        {found->second.row, domain},
        std::chrono::duration_cast<std::chrono::microseconds>(
            now - found->second.accepted_at),
        response.status < first_server_error, now);
    http_.respond(found->second.exchange, response);
    open_.erase(found);
}

void request_api::on_answer(
    failure_domain_id const& domain, peers::request_answer const& message)
{
    monotonic_time const now = event_loop::now();
    if (peers::checksum(message.response.body) != message.body_checksum) {
        router_.on_unknown(message.id, "the answer was damaged", now);
        tick();
        return;
    }
    bool const failed = message.response.status >= first_server_error;
    auto const answered = router_.on_answer(message.id, failed, now);
    if (answered) {
        ++outcomes_.ran;
        finish(*answered, domain, callers::ran_response(message.response));
    }
    tick();
}

void request_api::on_refused(peers::request_refused const& message)
{
    router_.on_refused(
        message.id, message.why,
        message.reason.empty() ? to_string(message.why) : message.reason,
        event_loop::now());
    tick();
}

void request_api::on_unknown(peers::request_unknown const& message)
{
    router_.on_unknown(message.id, message.reason, event_loop::now());
    tick();
}

void request_api::on_request_outcome(peers::request_outcome const& message)
{
    if (message.outcome != start_outcome::never)
        return;
    router_.on_refused(
        message.id, refusal::stale_permit, "its start never arrived",
        event_loop::now());
    tick();
}

void request_api::on_agent(agent_report const& report)
{
    router_.on_agent(report, event_loop::now());
    tick();
}

void request_api::on_agent_gone(worker_id const& worker)
{
    router_.on_agent_gone(worker, event_loop::now());
}

void request_api::adopt_table(table_policy const& policy)
{
    policy_ = policy;
    burn_.set_policy(policy);
    router_.adopt_table(policy);
    tick();
}

burn_snapshot request_api::burn(monotonic_time now) const
{
    return burn_.snapshot(now);
}

} // namespace sycamorespar
