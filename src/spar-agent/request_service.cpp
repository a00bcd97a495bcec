/// Each admitted request leads to exactly one call to the upstream. The effect
/// that the call's error proves (not run or unknown) is reported to the entry.
#include "spar-agent/request_service.hpp"

#include "common/log.hpp"
#include "peers/codec.hpp"

namespace sycamorespar {

namespace {

/// An upstream that has not announced itself for this long is removed.
constexpr std::chrono::seconds upstream_timeout{5};
/// Timeout of calls to upstreams.
constexpr std::chrono::seconds max_call_time{60};

} // namespace

request_service::request_service(
    event_loop& loop, agent_admission& admission, reply_hook reply)
    : loop_(loop), admission_(admission), reply_(std::move(reply))
{}

void request_service::on_announcement(
    upstreams::announcement const& from, monotonic_time now)
{
    upstream& known = upstreams_[from.upstream];
    known.last_announced_at = now;
    if (known.on_drained)
        return;
    bool const moved =
        known.client != nullptr && known.client->where() != from.where;
    if (moved && known.client->in_flight() > 0)
        return;
    if (known.client == nullptr || moved) {
        known.client = std::make_unique<upstreams::upstream_client>(
            loop_, from.where, from.connections, max_call_time);
        log_event(
            log_level::info, "upstream_announced",
            {{"upstream", from.upstream}, {"peer", to_string(from.where)}});
    }
    admission_.announce_upstream({from.upstream, from.rows, from.slots});
}

void request_service::drain(
    std::string const& name, std::function<void()> on_drained)
{
    auto const found = upstreams_.find(name);
    if (found == upstreams_.end()) {
        on_drained();
        return;
    }
    log_event(log_level::info, "upstream_leaving", {{"upstream", name}});
    admission_.set_upstream_leaving(name);
    found->second.on_drained = std::move(on_drained);
    check_drained(name);
}

void request_service::check_drained(std::string const& upstream_name)
{
    auto const found = upstreams_.find(upstream_name);
    if (found == upstreams_.end() || !found->second.on_drained ||
        found->second.client->in_flight() > 0)
        return;
    auto const on_drained = std::move(found->second.on_drained);
    admission_.remove_upstream(upstream_name);
    // Deferred, as the client may be the caller of this function.
    loop_.after({}, [this, upstream_name] { upstreams_.erase(upstream_name); });
    on_drained();
}

void request_service::remove_silent_upstreams(monotonic_time now)
{
    for (auto each = upstreams_.begin(); each != upstreams_.end();) {
        upstream const& known = each->second;
        bool const silent = now - known.last_announced_at >= upstream_timeout;
        if (!silent || known.on_drained || known.client->in_flight() > 0) {
            ++each;
            continue;
        }
        log_event(
            log_level::warning, "upstream_lost", {{"upstream", each->first}});
        admission_.remove_upstream(each->first);
        each = upstreams_.erase(each);
    }
}

void request_service::start(
    entry_id const& from, peers::start_request const& message)
{
    auto const verdict =
        admission_.admit_request(message.start, event_loop::now());
    if (auto const* why = std::get_if<refusal>(&verdict)) {
        if (*why == refusal::duplicate)
            return;
        reply_(
            from,
            peers::request_refused{
                message.start.id, *why, "", admission_.policy().revision});
        return;
    }
    forward(from, message, std::get<request_admitted>(verdict).upstream);
}

void request_service::forward(
    entry_id const& from, peers::start_request const& message,
    std::string const& upstream_name)
{
    request_id const id = message.start.id;
    upstreams_.at(upstream_name)
        .client->forward(
            message.request, [this, from, id, upstream_name](
                                 result<http_response> const& answer) {
                finish(from, id, upstream_name, answer);
            });
}

void request_service::finish(
    entry_id const& from, request_id const& id,
    std::string const& upstream_name, result<http_response> const& answer)
{
    admission_.finish_request(id);
    if (ok(answer)) {
        http_response const& response = value(answer);
        reply_(
            from, peers::request_answer{
                      id, response, peers::checksum(response.body)});
    } else if (failure(answer).effect == outcome::not_run) {
        reply_(
            from, peers::request_refused{
                      id, refusal::no_upstream, failure(answer).reason,
                      admission_.policy().revision});
    } else {
        log_error("upstream_call_failed", failure(answer));
        reply_(from, peers::request_unknown{id, failure(answer).reason});
    }
    check_drained(upstream_name);
}

void request_service::query(
    entry_id const& from, peers::query_request const& message)
{
    start_outcome const known =
        admission_.outcome_of(message.id, message.quoted, event_loop::now());
    reply_(from, peers::request_outcome{message.id, known});
}

} // namespace sycamorespar
