/// The worker announces itself here and is called from here alone. A look is
/// always under way; its answer brings ends at once, and each look lets the
/// runs go on for as long as the scheduler has granted.
#include "spar-runner/runner_daemon.hpp"

#include "common/log.hpp"
#include "common/random_seed.hpp"
#include "platform/json_body.hpp"

#include <csignal>
#include <utility>

namespace sycamorespar {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_bad_method = 405;

/// Stops are sent again and lapses noticed at this coarseness.
constexpr std::chrono::milliseconds tick_period{100};
/// A pause after a look that failed, or that only showed what is known.
constexpr std::chrono::milliseconds look_pause{25};

run_tracker_limits limits_of(runner_settings const& settings)
{
    run_tracker_limits limits;
    limits.lease_time = settings.hold;
    return limits;
}

} // namespace

runner_daemon::runner_daemon(runner_settings settings)
    : settings_(std::move(settings)), store_client_(loop_, {settings_.store}),
      store_(store_client_.store()),
      keeper_(
          settings_.machine, incarnation{random_seed()}, limits_of(settings_)),
      worker_(loop_, settings_.worker),
      announcements_(
          loop_, http_server_limits{},
          [this](exchange_id exchange, http_request const& request) {
              handle(exchange, request);
          }),
      link_(
          loop_, store_, keeper_, settings_.schedulers,
          [this](run_id const& run) { return pacing_.pace_of(run); },
          [this] { call_worker(); }),
      metrics_(loop_, [this] {
          return render_runner_metrics(
              counts_, keeper_, link_.answered(), event_loop::now());
      })
{}

runner_daemon::~runner_daemon() = default;

result<done> runner_daemon::run()
{
    auto const listening = announcements_.listen(settings_.announcements);
    if (!ok(listening))
        return failure(listening);
    auto metrics = metrics_.listen(settings_.metrics);
    if (!ok(metrics))
        return metrics;
    loop_.on_signal(SIGTERM, [this] { loop_.stop(); });
    loop_.on_signal(SIGINT, [this] { loop_.stop(); });
    loop_.on_signal(
        SIGHUP, [] { log_event(log_level::info, "settings_kept"); });
    loop_.every(tick_period, [this] { tick(); });
    set_log_machine(settings_.machine.value);
    log_event(log_level::info, "started");
    loop_.run();
    log_event(log_level::info, "stopped");
    return done{};
}

void runner_daemon::handle(exchange_id exchange, http_request const& request)
{
    auto const path = target_path(request.target);
    if (!path.starts_with(platform::announcement_prefix)) {
        announcements_.respond(exchange, {status_not_found, {}, {}});
        return;
    }
    auto const instance = path.substr(platform::announcement_prefix.size());
    if (request.method == "DELETE") {
        bool const is_known = keeper_.on_leave(instance);
        log_event(
            log_level::info, "worker_left",
            {{"instance", instance}, {"is_known", is_known}});
        announcements_.respond(exchange, platform::empty_answer());
        link_.wake();
        return;
    }
    if (request.method != "PUT") {
        announcements_.respond(exchange, {status_bad_method, {}, {}});
        return;
    }
    if (!take_announcement(instance, request.body)) {
        announcements_.respond(exchange, {status_bad_request, {}, {}});
        return;
    }
    announcements_.respond(exchange, platform::empty_answer());
    call_worker();
    link_.wake();
}

bool runner_daemon::take_announcement(
    std::string const& instance, std::string const& body)
{
    auto const read = platform::read_announcement(instance, body);
    if (!ok(read)) {
        log_error("announcement_unsound", failure(read));
        return false;
    }
    auto const& said = value(read);
    bool const was_draining = keeper_.facts().is_draining;
    auto const earlier = keeper_.facts().incarnation;
    keeper_.on_announcement(said.facts, said.at, event_loop::now());
    if (!(earlier == keeper_.facts().incarnation))
        log_event(
            log_level::info, "worker_announced",
            {{"instance", instance},
             {"born_ms", said.facts.incarnation.born.count()}});
    if (!was_draining && keeper_.facts().is_draining)
        log_event(log_level::info, "worker_drains", {{"instance", instance}});
    return true;
}

void runner_daemon::call_worker()
{
    send_starts();
    send_stops();
    look();
}

void runner_daemon::note_token(call_outcome result, std::uint64_t token)
{
    if (result != call_outcome::outdated_token)
        return;
    keeper_.on_token_refused(token);
    if (!keeper_.needs_new_token())
        return;
    ++counts_.refused_tokens;
    log_event(log_level::warning, "token_refused", {{"token", token}});
    keeper_.begin_session(incarnation{random_seed()});
    link_.wake();
}

void runner_daemon::send_starts()
{
    for (auto const& call : keeper_.take_starts(event_loop::now())) {
        pacing_.apply_hints(call.order.hints);
        worker_.start(
            keeper_.facts().incarnation, call,
            [this, run = call.order.run, token = call.token,
             deadline = call.deadline](platform::order_answer const& answer) {
                keeper_.on_start_result(
                    run, answer.result, answer.at, event_loop::now());
                ++counts_.starts[answer.result];
                bool const is_accepted =
                    answer.result == call_outcome::accepted;
                log_event(
                    is_accepted ? log_level::info : log_level::warning,
                    is_accepted ? "run_started" : "start_not_accepted",
                    {{"task", to_string(run.task)},
                     {"run", run.number},
                     {"result", to_string(answer.result)},
                     {"token", token},
                     {"void_after_ms", deadline.count()},
                     {"worker_ms", answer.at.count()}});
                note_token(answer.result, token);
                send_starts();
                pace();
                link_.wake();
            });
    }
}

void runner_daemon::send_stops()
{
    for (auto const& call : keeper_.take_stops(event_loop::now())) {
        worker_.stop(
            keeper_.facts().incarnation, call,
            [this, run = call.run,
             token = call.token](platform::order_answer const& answer) {
                keeper_.on_stop_result(
                    run, answer.result, answer.at, event_loop::now());
                ++counts_.stops[answer.result];
                note_token(answer.result, token);
            });
    }
}

void runner_daemon::look()
{
    if (is_looking_ || !keeper_.may_call())
        return;
    is_looking_ = true;
    auto const call = keeper_.next_poll();
    worker_.poll(
        keeper_.facts().incarnation, call,
        [this, call](platform::poll_answer const& answer) {
            is_looking_ = false;
            take_look(call, answer);
        });
}

void runner_daemon::take_look(
    poll_call const& call, platform::poll_answer const& answer)
{
    ++(answer.listing ? counts_.looks : counts_.failed_looks);
    if (!answer.listing) {
        keeper_.on_poll_failed(event_loop::now());
        note_token(answer.result, call.token);
        look_again();
        link_.wake();
        return;
    }
    auto const now = event_loop::now();
    keeper_.on_listing(*answer.listing, call, now);
    pacing_.on_measurements(
        keeper_.runs(), keeper_.facts().capacity.millicores, now);
    if (is_logged(log_level::debug))
        log_figures();
    pace();
    link_.wake();
    send_starts();
    send_stops();
    // With ends on the list a look is answered at once.
    if (keeper_.is_waiting_for_acknowledgement())
        look_again();
    else
        look();
}

void runner_daemon::look_again()
{
    is_looking_ = true;
    loop_.after(look_pause, [this] {
        is_looking_ = false;
        look();
    });
}

void runner_daemon::log_figures() const
{
    for (auto const& [run, kept] : keeper_.runs())
        log_event(
            log_level::debug, "figure",
            {{"task", to_string(run.task)},
             {"image", kept.order.facts.image},
             {"fills", kept.order.facts.fills},
             {"target_ms", kept.order.facts.target.count()},
             {"figure", kept.latest.measurement},
             {"percent", kept.latest.percent}});
}

void runner_daemon::pace()
{
    for (auto const& change : pacing_.take_changes(keeper_.runs())) {
        ++counts_.paces;
        worker_.pace(
            keeper_.facts().incarnation, change.run, change.percent,
            keeper_.token(),
            [this, change](platform::order_answer const& answer) {
                pacing_.on_pace_result(
                    change, answer.result == call_outcome::accepted);
            });
    }
}

void runner_daemon::tick()
{
    keeper_.drop_lapsed(event_loop::now());
    call_worker();
    link_.wake();
}

} // namespace sycamorespar
