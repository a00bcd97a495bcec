/// The worker announces itself to this process, which is the only one to call
/// it. A long poll is always open: its answer reports ended runs at once, and
/// each poll extends the runs' leases by what the scheduler has granted.
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

/// Interval at which stops are resent and lapsed runs are detected.
constexpr std::chrono::milliseconds tick_period{100};
/// Delay after a poll that failed or returned only known ends.
constexpr std::chrono::milliseconds poll_pause{25};

run_tracker_limits limits_of(runner_settings const& settings)
{
    run_tracker_limits limits;
    limits.lease_time = settings.lease_time;
    return limits;
}

} // namespace

runner_daemon::runner_daemon(runner_settings settings)
    : settings_(std::move(settings)), store_client_(loop_, {settings_.store}),
      store_(store_client_.store()),
      tracker_(
          settings_.machine, incarnation{random_seed()}, limits_of(settings_)),
      worker_(loop_, settings_.worker),
      announcements_(
          loop_, http_server_limits{},
          [this](exchange_id exchange, http_request const& request) {
              handle(exchange, request);
          }),
      report_sender_(
          loop_, store_, tracker_, settings_.schedulers,
          [this](run_id const& run) { return pacing_.pace_of(run); },
          [this] { call_worker(); }),
      metrics_(loop_, [this] {
          return render_runner_metrics(
              counts_, tracker_, pacing_, report_sender_.answered(),
              event_loop::now());
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
        bool const is_known = tracker_.on_leave(instance);
        log_event(
            log_level::info, "worker_left",
            {{"instance", instance}, {"is_known", is_known}});
        announcements_.respond(exchange, platform::empty_answer());
        report_sender_.wake();
        return;
    }
    if (request.method != "PUT") {
        announcements_.respond(exchange, {status_bad_method, {}, {}});
        return;
    }
    if (!apply_announcement(instance, request.body)) {
        announcements_.respond(exchange, {status_bad_request, {}, {}});
        return;
    }
    announcements_.respond(exchange, platform::empty_answer());
    call_worker();
    report_sender_.wake();
}

bool runner_daemon::apply_announcement(
    std::string const& instance, std::string const& body)
{
    auto const read = platform::read_announcement(instance, body);
    if (!ok(read)) {
        log_error("announcement_unsound", failure(read));
        return false;
    }
    auto const& announcement = value(read);
    bool const was_draining = tracker_.facts().is_draining;
    tracker_.on_announcement(announcement.facts);
    if (!was_draining && tracker_.facts().is_draining)
        log_event(log_level::info, "worker_drains", {{"instance", instance}});
    return true;
}

void runner_daemon::call_worker()
{
    send_starts();
    send_stops();
    list_runs();
    confirm_worker();
    poll();
}

void runner_daemon::confirm_worker()
{
    auto const call = tracker_.next_confirmation();
    if (!call)
        return;
    worker_.poll(*call, [this, call](platform::poll_answer const& answer) {
        ++(answer.listing ? counts_.polls : counts_.failed_polls);
        if (answer.listing) {
            apply_listing(*answer.listing, *call);
        } else {
            tracker_.on_not_confirmed(*call, answer.result);
            handle_token_result(answer.result, call->token);
        }
        bool const is_refuted =
            (answer.listing || answer.result == call_outcome::not_sent ||
             answer.result == call_outcome::not_listening) &&
            !(tracker_.confirmed() == call->incarnation);
        if (is_refuted)
            log_event(
                log_level::warning, "announcement_not_confirmed",
                {{"instance", call->incarnation.instance},
                 {"born_ms", call->incarnation.born.count()},
                 {"result", to_string(answer.result)}});
        report_sender_.wake();
        send_starts();
    });
}

// The poll that is open was sent under the old token, or before a start was
// revoked, and may wait long for its answer.
void runner_daemon::list_runs()
{
    bool const is_under_new_token =
        tracker_.needs_listing() && listed_token_ != tracker_.token();
    bool const is_due =
        is_under_new_token || tracker_.is_revocation_confirmed();
    if (!is_polling_ || is_listing_ || !is_due)
        return;
    is_listing_ = true;
    listed_token_ = tracker_.token();
    auto call = tracker_.next_poll();
    call.may_wait = false;
    worker_.poll(call, [this, call](platform::poll_answer const& answer) {
        is_listing_ = false;
        ++(answer.listing ? counts_.polls : counts_.failed_polls);
        if (answer.listing)
            apply_listing(*answer.listing, call);
        else
            handle_token_result(answer.result, call.token);
        // The open poll may have been answered meanwhile, so that this list
        // didn't count; the next open poll may wait long.
        if (answer.listing && tracker_.needs_listing())
            listed_token_ = 0;
        report_sender_.wake();
    });
}

void runner_daemon::handle_token_result(
    call_outcome result, std::uint64_t token)
{
    if (result != call_outcome::outdated_token)
        return;
    tracker_.on_token_refused(token);
    if (!tracker_.needs_new_token())
        return;
    ++counts_.refused_tokens;
    log_event(log_level::warning, "token_refused", {{"token", token}});
    tracker_.begin_session(incarnation{random_seed()});
    report_sender_.wake();
}

void runner_daemon::send_starts()
{
    auto const called = tracker_.facts().incarnation;
    for (auto const& call : tracker_.take_starts(event_loop::now())) {
        pacing_.apply_hints(call.order.hints);
        worker_.start(
            called, call,
            [this, called, run = call.order.run, token = call.token,
             deadline = call.deadline](platform::order_answer const& answer) {
                tracker_.on_start_result(
                    run, answer.result, answer.at, event_loop::now(), called);
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
                handle_token_result(answer.result, token);
                send_starts();
                pace();
                report_sender_.wake();
            });
    }
}

void runner_daemon::send_stops()
{
    auto const called = tracker_.facts().incarnation;
    for (auto const& call : tracker_.take_stops(event_loop::now())) {
        worker_.stop(
            called, call,
            [this, called, run = call.run,
             token = call.token](platform::order_answer const& answer) {
                tracker_.on_stop_result(
                    run, answer.result, answer.at, event_loop::now(), called);
                ++counts_.stops[answer.result];
                log_event(
                    log_level::info, "stop_answered",
                    {{"task", to_string(run.task)},
                     {"run", run.number},
                     {"result", to_string(answer.result)}});
                handle_token_result(answer.result, token);
            });
    }
}

void runner_daemon::poll()
{
    if (is_polling_ || !tracker_.may_call())
        return;
    is_polling_ = true;
    auto const call = tracker_.next_poll();
    worker_.poll(call, [this, call](platform::poll_answer const& answer) {
        is_polling_ = false;
        handle_poll_answer(call, answer);
    });
}

void runner_daemon::handle_poll_answer(
    poll_call const& call, platform::poll_answer const& answer)
{
    ++(answer.listing ? counts_.polls : counts_.failed_polls);
    if (!answer.listing) {
        handle_poll_failure(answer.result);
        handle_token_result(answer.result, call.token);
        poll_again();
        report_sender_.wake();
        return;
    }
    apply_listing(*answer.listing, call);
    pacing_.on_measurements(
        tracker_.runs(), tracker_.facts().capacity.millicores,
        event_loop::now());
    if (is_logged(log_level::debug))
        log_measurements();
    pace();
    report_sender_.wake();
    send_starts();
    send_stops();
    // The worker answers a poll at once while it lists ended runs.
    if (tracker_.is_waiting_for_acknowledgement())
        poll_again();
    else
        poll();
}

void runner_daemon::handle_poll_failure(call_outcome result)
{
    bool const had_left = tracker_.facts().has_left;
    tracker_.on_poll_failed(result, event_loop::now());
    if (!had_left && tracker_.facts().has_left)
        log_event(
            log_level::info, "worker_ended",
            {{"instance", tracker_.facts().incarnation.instance}});
}

void runner_daemon::apply_listing(
    worker_listing const& listing, poll_call const& call)
{
    auto const before = tracker_.missing_runs();
    auto const earlier = tracker_.confirmed();
    tracker_.on_listing(listing, call, event_loop::now());
    if (!(tracker_.confirmed() == earlier))
        log_event(
            log_level::info, "worker_confirmed",
            {{"instance", call.incarnation.instance},
             {"born_ms", listing.born.count()}});
    if (tracker_.missing_runs() == before)
        return;
    log_event(
        log_level::warning, "runs_missing",
        {{"runs", tracker_.missing_runs() - before},
         {"running", listing.running.size()},
         {"ends", listing.ended.size()}});
}

void runner_daemon::poll_again()
{
    is_polling_ = true;
    loop_.after(poll_pause, [this] {
        is_polling_ = false;
        poll();
    });
}

void runner_daemon::log_measurements() const
{
    for (auto const& [run, tracked] : tracker_.runs())
        log_event(
            log_level::debug, "figure",
            {{"task", to_string(run.task)},
             {"image", tracked.order.facts.image},
             {"fills", tracked.order.facts.fills},
             {"target_ms", tracked.order.facts.target.count()},
             {"figure", tracked.latest.measurement},
             {"percent", tracked.latest.percent}});
}

// A pace that stays between full speed and none changes often, and tells
// little.
void runner_daemon::log_pace(pace_change const& change) const
{
    constexpr std::uint32_t full_pace = 100;
    auto const is_bound = [](std::uint32_t percent) {
        return percent == 0 || percent == full_pace;
    };
    bool const is_notable =
        !change.before || is_bound(*change.before) || is_bound(change.percent);
    auto const level = is_notable ? log_level::info : log_level::debug;
    if (!is_logged(level))
        return;
    auto const& runs = tracker_.runs();
    tracked_run const none;
    auto const found =
        change.slowed_for ? runs.find(*change.slowed_for) : runs.end();
    auto const& serving = found == runs.end() ? none : found->second;
    log_event(
        level, "pace_changed",
        {{"task", to_string(change.run.task)},
         {"run", change.run.number},
         {"image", runs.at(change.run).order.facts.image},
         {"percent", change.percent},
         {"for", serving.order.facts.image},
         {"tail_ms", serving.latest.measurement},
         {"target_ms", serving.order.facts.target.count()}});
}

void runner_daemon::pace()
{
    for (auto const& change : pacing_.take_changes(tracker_.runs())) {
        ++counts_.paces;
        log_pace(change);
        worker_.pace(
            tracker_.facts().incarnation, change.run, change.percent,
            tracker_.token(),
            [this, change](platform::order_answer const& answer) {
                pacing_.on_pace_result(
                    change, answer.result == call_outcome::accepted);
            });
    }
}

void runner_daemon::tick()
{
    auto const dropped = tracker_.drop_lapsed(event_loop::now());
    if (dropped > 0)
        log_event(
            log_level::warning, "lease_lapsed",
            {{"runs", dropped},
             {"granted_until_ms", tracker_.granted_until().count()}});
    call_worker();
    report_sender_.wake();
}

} // namespace sycamorespar
