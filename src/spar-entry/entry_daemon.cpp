/// The entry persists no state itself: agents announce themselves by
/// heartbeats, the table and the ledger are in the store, and callers keep
/// their own exchanges open.
#include "spar-entry/entry_daemon.hpp"

#include "common/log.hpp"
#include "common/random_seed.hpp"
#include "operators/burn_json.hpp"
#include "operators/metrics_page.hpp"
#include "operators/table_json.hpp"

#include <csignal>

namespace sycamorespar {

namespace {

constexpr std::chrono::milliseconds tick_period{50};
constexpr std::chrono::seconds stop_timeout{15};
constexpr std::chrono::milliseconds stop_poll_period{20};

} // namespace

entry_daemon::entry_daemon(entry_settings settings)
    : settings_(std::move(settings)), incarnation_(random_seed()),
      store_client_(loop_, settings_.store), store_(store_client_.store()),
      http_(
          loop_, {},
          [this](exchange_id exchange, http_request const& request) {
              on_http(exchange, request);
          }),
      agents_(settings_.id, incarnation_),
      placer_(directory_, random_seed(), event_loop::now()),
      registration_(
          loop_, store_, settings_.lease_ttl,
          [this] { shard_manager_.drop_all(); }),
      table_(
          loop_, store_,
          [this](table_policy const& policy) { on_table(policy); }),
      requests_(http_, agents_, incarnation_, settings_.domain),
      shard_manager_(
          loop_, store_, registration_, table_, incarnation_,
          settings_.ledger_shards,
          {[this](job_record const& job, monotonic_time now) {
               return placer_.place(job, now);
           },
           [this](ledger_action const& action) {
               send_to_agent(action);
           }}),
      operator_api_(
          loop_, http_, table_, shard_manager_, registration_, directory_,
          settings_.id),
      inbox_(
          loop_,
          [this](peers::envelope const& received) { on_message(received); },
          [](error const& fault) { log_error("message_refused", fault); })
{}

result<done> entry_daemon::run()
{
    auto started = start();
    if (!ok(started))
        return started;
    loop_.run();
    return done{};
}

result<done> entry_daemon::start()
{
    auto const http = http_.listen(settings_.listen);
    if (!ok(http))
        return failure(http);
    auto const peer = inbox_.listen(settings_.peer_listen);
    if (!ok(peer))
        return failure(peer);
    agents_.set_own_address(value(peer));
    log_event(
        log_level::info, "entry_started",
        {{"entry", settings_.id.value},
         {"listen", to_string(value(http))},
         {"peer_listen", value(peer)}});
    table_.start();
    registration_.start({settings_.id, value(peer), value(http)});
    shard_manager_.start(settings_.id);
    loop_.every(tick_period, [this] { on_tick(); });
    loop_.on_signal(SIGTERM, [this] { begin_stop(); });
    loop_.on_signal(SIGINT, [this] { begin_stop(); });
    return done{};
}

void entry_daemon::on_http(exchange_id exchange, http_request const& request)
{
    if (request.target.starts_with(callers::request_path)) {
        requests_.handle(exchange, request);
        return;
    }
    std::string const path = target_path(request.target);
    constexpr int status_ok = 200;
    if (path == "/metrics") {
        http_.respond(
            exchange, {status_ok,
                       {{"Content-Type", metrics_content_type}},
                       render_entry_metrics(statistics())});
        return;
    }
    if (path == "/burn") {
        http_.respond(
            exchange, {status_ok,
                       {{"Content-Type", "application/json"}},
                       encode_burn(requests_.burn(event_loop::now()))});
        return;
    }
    operator_api_.handle(exchange, request);
}

entry_statistics entry_daemon::statistics() const
{
    entry_statistics collected;
    collected.outcomes = requests_.outcomes();
    collected.routed = requests_.counts();
    collected.open_requests = requests_.open_requests();
    collected.agents = directory_.agents().size();
    collected.quarantined = placer_.quarantined();
    collected.shards = shard_manager_.held_shard_count();
    collected.jobs = shard_manager_.jobs();
    collected.revision = table_.policy().revision;
    collected.lease_live = registration_.is_live(event_loop::now());
    return collected;
}

void entry_daemon::on_message(peers::envelope const& received)
{
    worker_id const from{received.from};
    agents_.connect(from, received.address);
    std::visit(
        [this, &from](auto const& body) { on_body(from, body); },
        received.body);
}

template<class Other>
void entry_daemon::on_body(worker_id const& from, Other const&)
{
    log_event(log_level::warning, "message_unexpected", {{"peer", from.value}});
}

void entry_daemon::on_body(worker_id const& from, peers::heartbeat const& body)
{
    bool const is_new = directory_.on_heartbeat(body.report, event_loop::now());
    if (is_new)
        log_event(
            log_level::info, "agent_discovered",
            {{"worker", from.value}, {"peer", body.report.address}});
    requests_.on_agent(body.report);
    placer_.on_agent(body.report);
    if (body.report.revision > table_.policy().revision)
        agents_.send(from, peers::table_request{table_.policy().revision});
    answer_heartbeat(from, body.sequence);
}

void entry_daemon::on_body(
    worker_id const& from, peers::repeated_heartbeat const& body)
{
    bool const known = directory_.on_repeated_heartbeat(
        from, body.issued, body.version, event_loop::now());
    if (!known) {
        agents_.send(from, peers::report_request{});
        return;
    }
    agent_report const& report = directory_.find(from)->report;
    requests_.on_agent(report);
    placer_.on_agent(report);
    answer_heartbeat(from, body.sequence);
}

void entry_daemon::answer_heartbeat(worker_id const& from, std::uint64_t ask)
{
    agents_.send(
        from,
        peers::heartbeat_answer{
            ask, table_.policy().revision, shard_manager_.acknowledge(from)});
}

void entry_daemon::on_body(
    worker_id const& from, peers::table_request const& body)
{
    if (table_.policy().revision > body.known_revision)
        agents_.send(
            from, peers::table_text{table_.policy().revision, table_.text()});
}

void entry_daemon::on_body(worker_id const&, peers::table_text const& body)
{
    auto const adopted = table_.adopt(body.text);
    if (!ok(adopted))
        log_error("table_refused", failure(adopted));
}

void entry_daemon::on_body(
    worker_id const& from, peers::request_answer const& body)
{
    known_agent const* agent = directory_.find(from);
    requests_.on_answer(
        agent != nullptr ? agent->report.domain : failure_domain_id{}, body);
}

void entry_daemon::on_body(
    worker_id const& from, peers::request_refused const& body)
{
    // The agent may have received an edit that this entry has not polled yet.
    if (body.revision > table_.policy().revision)
        agents_.send(from, peers::table_request{table_.policy().revision});
    requests_.on_refused(body);
}

void entry_daemon::on_body(worker_id const&, peers::request_unknown const& body)
{
    requests_.on_unknown(body);
}

void entry_daemon::on_body(worker_id const&, peers::request_outcome const& body)
{
    requests_.on_request_outcome(body);
}

void entry_daemon::on_body(
    worker_id const& from, peers::task_report const& body)
{
    job_record const* known = shard_manager_.find(body.report.attempt.job);
    if (known != nullptr && is_held(known->state) &&
        known->attempt == body.report.attempt.number)
        placer_.on_end(*known, body.report, event_loop::now());
    shard_manager_.on_report(body.report);
    if (body.report.state != attempt_state::running)
        return;
    job_record const* job = shard_manager_.find(body.report.attempt.job);
    if (job != nullptr && is_held(job->state) &&
        job->attempt == body.report.attempt.number)
        agents_.send(
            from, peers::task_reclaim_time{
                      body.report.attempt, job->placement.reclaim_after});
}

void entry_daemon::on_table(table_policy const& policy)
{
    placer_.adopt_table(policy, event_loop::now());
    requests_.adopt_table(policy);
    shard_manager_.adopt_table(policy);
    // Agents are notified at once, without waiting for their next heartbeat.
    // An agent that missed an earlier edit requests the whole table.
    auto const& edit = table_.last_edit();
    for (auto const& [worker, agent] : directory_.agents()) {
        if (edit)
            agents_.send(
                worker,
                peers::table_change{policy.revision, encode_edit(*edit)});
        else
            agents_.send(
                worker, peers::table_text{policy.revision, table_.text()});
    }
}

void entry_daemon::send_to_agent(ledger_action const& action)
{
    if (auto const* start = std::get_if<start_task_action>(&action)) {
        agents_.send(
            start->placement.worker,
            peers::start_task{
                {start->attempt, start->placement.quoted, start->table,
                 start->row, start->demand},
                start->run,
                start->checkpoint,
                start->placement.reclaim_after});
    } else if (auto const* stop = std::get_if<stop_task_action>(&action)) {
        agents_.send(stop->worker, peers::stop_task{stop->attempt});
    } else if (auto const* forget = std::get_if<forget_task_action>(&action)) {
        agents_.send(forget->worker, peers::forget_task{forget->attempt});
    } else if (auto const* query = std::get_if<query_task_action>(&action)) {
        agents_.send(
            query->worker,
            peers::query_task{query->attempt, query->quoted, query->nonce});
    }
}

void entry_daemon::on_tick()
{
    for (worker_id const& worker :
         directory_.remove_silent(event_loop::now())) {
        log_event(log_level::warning, "agent_lost", {{"worker", worker.value}});
        agents_.disconnect(worker);
        requests_.on_agent_gone(worker);
        placer_.on_agent_gone(worker);
    }
    placer_.tick(event_loop::now());
    requests_.tick();
    shard_manager_.tick();
}

void entry_daemon::begin_stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    stop_deadline_ = event_loop::now() + stop_timeout;
    log_event(log_level::info, "entry_stopping");
    requests_.set_stopping();
    http_.stop_accepting();
    check_requests_done();
}

void entry_daemon::check_requests_done()
{
    bool const timed_out = event_loop::now() >= stop_deadline_;
    if (requests_.open_requests() > 0 && !timed_out) {
        loop_.after(stop_poll_period, [this] { check_requests_done(); });
        return;
    }
    loop_.after(stop_deadline_ - event_loop::now(), [this] { end_stop(); });
    shard_manager_.stop([this] { registration_.stop([this] { end_stop(); }); });
}

void entry_daemon::end_stop()
{
    if (stopped_)
        return;
    stopped_ = true;
    log_event(
        log_level::info, "entry_stopped",
        {{"requests_cut", requests_.open_requests()},
         {"shards_held", shard_manager_.held_shard_count()}});
    loop_.after(stop_poll_period, [this] { loop_.stop(); });
}

} // namespace sycamorespar
