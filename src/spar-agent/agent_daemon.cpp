/// The agent stores nothing of its own. After a restart it rebuilds its state:
/// the worker lists its tasks, the upstreams announce themselves again, the
/// store lists the entries, and an entry sends the table.
#include "spar-agent/agent_daemon.hpp"

#include "common/log.hpp"
#include "common/random_seed.hpp"
#include "libsycamorespar/ledger_shard.hpp"
#include "operators/metrics_page.hpp"
#include "operators/table_json.hpp"
#include "spar-agent/agent_metrics.hpp"
#include "store/list_all.hpp"

#include <csignal>
#include <nlohmann/json.hpp>

namespace sycamorespar {

namespace {

constexpr std::chrono::milliseconds heartbeat_period{500};
constexpr std::chrono::milliseconds worker_poll_period{500};
constexpr std::chrono::seconds entries_read_period{30};
/// If no known entry has answered a heartbeat for this long, the list of
/// entries is read from the store again.
constexpr std::chrono::seconds silence_before_read{2};
constexpr std::chrono::seconds stop_timeout{15};
constexpr std::chrono::milliseconds stop_poll_period{50};

constexpr char const* entries_prefix = "/spar/entries/";
constexpr char const* announcements_path = "/v1/upstreams";

} // namespace

agent_daemon::agent_daemon(agent_settings settings)
    : settings_(std::move(settings)), incarnation_(random_seed()),
      admission_(incarnation_, settings_.domain),
      store_client_(loop_, settings_.store), store_(store_client_.store()),
      connections_(settings_.worker, incarnation_, settings_.home_entries),
      requests_(
          loop_, admission_,
          [this](entry_id const& to, peers::message const& body) {
              connections_.send(to, body);
          }),
      tasks_(
          loop_, settings_.worker, settings_.worker_endpoint, admission_,
          [this](entry_id const& to, peers::message const& body) {
              connections_.send(to, body);
          },
          [this](attempt_report const& report) { report_to_holders(report); }),
      inbox_(
          loop_,
          [this](peers::envelope const& received) { on_message(received); },
          [](error const& fault) { log_error("message_refused", fault); }),
      http_(
          loop_, {}, [this](exchange_id exchange, http_request const& request) {
              on_http(exchange, request);
          })
{}

result<done> agent_daemon::run()
{
    auto started = start();
    if (!ok(started))
        return started;
    loop_.run();
    return done{};
}

result<done> agent_daemon::start()
{
    auto const http = http_.listen(settings_.listen);
    if (!ok(http))
        return failure(http);
    auto const peer = inbox_.listen(settings_.peer_listen);
    if (!ok(peer))
        return failure(peer);
    own_address_ = value(peer);
    connections_.set_own_address(own_address_);
    log_event(
        log_level::info, "agent_started",
        {{"worker", settings_.worker.value},
         {"failure_domain", settings_.domain.value},
         {"listen", to_string(value(http))},
         {"peer_listen", own_address_}});
    tasks_.recover();
    read_entries();
    loop_.every(heartbeat_period, [this] { send_heartbeats(); });
    loop_.every(worker_poll_period, [this] {
        tasks_.poll();
        requests_.remove_silent_upstreams(event_loop::now());
    });
    loop_.every(entries_read_period, [this] { read_entries(); });
    loop_.on_signal(SIGTERM, [this] { begin_stop(); });
    loop_.on_signal(SIGINT, [this] { begin_stop(); });
    return done{};
}

void agent_daemon::read_entries()
{
    list_all(store_, entries_prefix, [this](auto const& answer) {
        if (!ok(answer)) {
            log_error("entries_read_failed", failure(answer));
            return;
        }
        std::vector<entry_address> registered;
        for (kv_item const& each : value(answer).items) {
            auto const parsed =
                nlohmann::json::parse(each.value, nullptr, false);
            if (parsed.is_object() && parsed.contains("peer_address") &&
                parsed["peer_address"].is_string())
                registered.push_back(
                    {entry_id{
                         each.key.substr(std::string(entries_prefix).size())},
                     parsed["peer_address"].get<std::string>()});
        }
        connections_.update(registered);
        send_heartbeats();
    });
}

agent_report agent_daemon::make_report(permit const& issued) const
{
    agent_report report;
    report.worker = settings_.worker;
    report.address = own_address_;
    report.domain = settings_.domain;
    report.rack = settings_.rack;
    report.issued = issued;
    report.revision = admission_.policy().revision;
    report.capacity = admission_.capacity();
    report.running = admission_.usage_by_row();
    report.ready = admission_.is_ready();
    report.leaving = stopping_;
    for (auto const& [name, each] : admission_.upstreams()) {
        if (!each.leaving)
            report.upstreams.push_back(
                {name, each.rows, each.slots, each.in_flight});
    }
    return report;
}

void agent_daemon::send_heartbeats()
{
    monotonic_time const now = event_loop::now();
    auto const last_answer = connections_.last_answer();
    bool const silent =
        !last_answer || now - *last_answer >= silence_before_read;
    if (silent && !stopping_ &&
        now - last_entries_read_at_ >= silence_before_read) {
        last_entries_read_at_ = now;
        read_entries();
    }
    connections_.send_heartbeats(
        make_report(admission_.renew_permit(now)), now);
}

void agent_daemon::on_message(peers::envelope const& received)
{
    entry_id const from{received.from};
    std::visit(
        [this, &from](auto const& body) { on_body(from, body); },
        received.body);
}

template<class Other>
void agent_daemon::on_body(entry_id const& from, Other const&)
{
    log_event(log_level::warning, "message_unexpected", {{"peer", from.value}});
}

void agent_daemon::on_body(
    entry_id const& from, peers::heartbeat_answer const& body)
{
    if (body.revision > admission_.policy().revision)
        connections_.send(
            from, peers::table_request{admission_.policy().revision});
    auto const sent_at = connections_.on_answer(from, body);
    if (!sent_at || body.shards.empty())
        return;
    std::set<shard_id> const held_shards(
        body.shards.begin(), body.shards.end());
    tasks_.extend_leases(
        [this, &held_shards](job_id const& job) {
            return held_shards.contains(shard_of(job, settings_.ledger_shards));
        },
        *sent_at);
}

void agent_daemon::on_body(entry_id const& from, peers::report_request const&)
{
    connections_.on_report_request(from);
}

void agent_daemon::on_body(
    entry_id const& from, peers::table_request const& body)
{
    if (admission_.policy().revision > body.known_revision)
        connections_.send(
            from, peers::table_text{table_.current().revision, table_.text()});
}

void agent_daemon::on_body(entry_id const&, peers::table_text const& body)
{
    if (body.revision > table_.current().revision)
        on_table_adopted(table_.adopt_text(body.text));
}

void agent_daemon::on_body(
    entry_id const& from, peers::table_change const& body)
{
    if (body.revision <= table_.current().revision)
        return;
    auto const edit = decode_edit(body.edit);
    if (!ok(edit)) {
        log_error("table_change_refused", failure(edit));
        return;
    }
    if (value(edit).base != table_.current().revision) {
        connections_.send(
            from, peers::table_request{table_.current().revision});
        return;
    }
    on_table_adopted(table_.adopt_edit(value(edit)));
}

void agent_daemon::on_table_adopted(result<bool> const& adopted)
{
    if (!ok(adopted)) {
        log_error("table_refused", failure(adopted));
        return;
    }
    if (!value(adopted))
        return;
    admission_.adopt_table(table_.policy());
    log_event(
        log_level::info, "table_adopted",
        {{"revision", table_.current().revision.value}});
}

void agent_daemon::on_body(
    entry_id const& from, peers::start_request const& body)
{
    requests_.start(from, body);
}

void agent_daemon::on_body(
    entry_id const& from, peers::query_request const& body)
{
    requests_.query(from, body);
}

void agent_daemon::on_body(entry_id const& from, peers::start_task const& body)
{
    tasks_.start(from, body);
}

void agent_daemon::on_body(entry_id const&, peers::stop_task const& body)
{
    tasks_.stop(body);
}

void agent_daemon::on_body(entry_id const&, peers::forget_task const& body)
{
    tasks_.forget(body);
}

void agent_daemon::on_body(entry_id const& from, peers::query_task const& body)
{
    tasks_.query(from, body);
}

void agent_daemon::on_body(
    entry_id const&, peers::task_reclaim_time const& body)
{
    tasks_.set_reclaim_time(body);
}

void agent_daemon::report_to_holders(attempt_report const& report)
{
    shard_id const shard =
        shard_of(report.attempt.job, settings_.ledger_shards);
    for (entry_id const& holder : connections_.holders_of(shard))
        connections_.send(holder, peers::task_report{report});
}

void agent_daemon::on_announcement(
    exchange_id exchange, http_request const& request)
{
    if (stopping_) {
        http_.respond(exchange, {503, {}, "leaving\n"});
        return;
    }
    auto const parsed = upstreams::parse_announcement(request.body);
    if (!ok(parsed)) {
        http_.respond(
            exchange,
            {400, {}, failure(parsed).step + ": " + failure(parsed).reason});
        return;
    }
    requests_.on_announcement(value(parsed), event_loop::now());
    http_.respond(exchange, {200, {}, "announced\n"});
}

void agent_daemon::on_http(exchange_id exchange, http_request const& request)
{
    std::string const path = target_path(request.target);
    std::string const leave_prefix = std::string(announcements_path) + "/";
    if (request.method == "POST" && path == announcements_path) {
        on_announcement(exchange, request);
        return;
    }
    if (request.method == "DELETE" && path.starts_with(leave_prefix)) {
        requests_.drain(path.substr(leave_prefix.size()), [this, exchange] {
            http_.respond(exchange, {200, {}, "drained\n"});
        });
        return;
    }
    if (request.method == "GET" && path == "/metrics") {
        http_.respond(
            exchange, {200,
                       {{"Content-Type", metrics_content_type}},
                       render_agent_metrics(admission_)});
        return;
    }
    if (request.method == "GET" && path == "/healthz") {
        http_.respond(exchange, {200, {}, "ok\n"});
        return;
    }
    http_.respond(exchange, {404, {}, "no such page\n"});
}

void agent_daemon::begin_stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    stop_deadline_ = event_loop::now() + stop_timeout;
    log_event(log_level::info, "agent_stopping");
    admission_.set_leaving();
    send_heartbeats();
    check_stopped();
}

void agent_daemon::check_stopped()
{
    std::size_t const open = admission_.requests_in_flight();
    bool const timed_out = event_loop::now() >= stop_deadline_;
    if (open > 0 && !timed_out) {
        loop_.after(stop_poll_period, [this] { check_stopped(); });
        return;
    }
    // Tasks continue to run under their worker leases. The next agent process
    // takes them over if it starts before the leases lapse.
    log_event(
        log_level::info, "agent_stopped",
        {{"requests_cut", open}, {"tasks_left", admission_.tasks_held()}});
    // nng sends on threads of its own, so the loop runs for a while longer to
    // let the last answers out.
    loop_.after(stop_poll_period, [this] { loop_.stop(); });
}

} // namespace sycamorespar
