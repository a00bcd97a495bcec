/// On shutdown the process reports itself as not ready, resigns as the leader,
/// and exits once its open exchanges are answered or the drain time is over.
#include "spar-scheduler/scheduler_daemon.hpp"

#include "common/log.hpp"
#include "common/random_seed.hpp"

#include <csignal>
#include <utility>

namespace sycamorespar {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

/// Interval at which a stopping process checks whether it is idle.
constexpr std::chrono::milliseconds idle_check{20};

scheduler_limits limits_of(scheduler_settings const& settings)
{
    scheduler_limits limits;
    limits.lease_time = settings.lease_time;
    return limits;
}

} // namespace

scheduler_daemon::scheduler_daemon(scheduler_settings settings)
    : settings_(std::move(settings)), store_client_(loop_, {settings_.store}),
      watched_store_(loop_, store_client_.store(), leader_key),
      store_(watched_store_.store()),
      configuration_(
          loop_, store_,
          [this] {
              if (term_ != nullptr)
                  term_->set_policy(configuration_.policy());
          }),
      runner_api_(
          loop_, {[this] { return ready_term(); },
                  [this] { return election_->leader(); },
                  [this] { return election_->has_authority(); },
                  [this] {
                      return watched_store_.is_lost();
                  }}),
      caller_api_(
          loop_, store_, configuration_,
          {[this] { return ready_term(); },
           [this] { return election_->leader(); },
           [this] {
               return watched_store_.is_lost();
           }}),
      readiness_(
          loop_, http_server_limits{},
          [this](exchange_id exchange, http_request const&) {
              answer_readiness(exchange);
          }),
      metrics_(loop_, [this] { return render_metrics(); })
{
    election_ = std::make_unique<leader_election>(
        loop_, store_,
        election_candidate{
            incarnation{random_seed()}, settings_.runners, settings_.capacity},
        leader_election::observer{
            [this](scheduler_term term) { on_gained(term); },
            [this] {
                on_lost();
            }});
}

scheduler_daemon::~scheduler_daemon() = default;

result<done> scheduler_daemon::listen()
{
    for (auto const& listening :
         {runner_api_.listen(settings_.runners),
          caller_api_.listen(settings_.callers),
          readiness_.listen(settings_.readiness)}) {
        if (!ok(listening))
            return failure(listening);
    }
    return metrics_.listen(settings_.metrics);
}

result<done> scheduler_daemon::run()
{
    auto listening = listen();
    if (!ok(listening))
        return listening;
    loop_.on_signal(SIGTERM, [this] { begin_stop(); });
    loop_.on_signal(SIGINT, [this] { begin_stop(); });
    // The settings are only addresses; changing these needs a restart.
    loop_.on_signal(
        SIGHUP, [] { log_event(log_level::info, "settings_kept"); });
    set_log_machine(settings_.machine);
    log_event(
        log_level::info, "started",
        {{"failure_domain", settings_.domain.value},
         {"capacity", settings_.capacity}});
    loop_.run();
    log_event(log_level::info, "stopped");
    return done{};
}

scheduling_term* scheduler_daemon::ready_term()
{
    return term_ != nullptr && term_->is_ready() ? term_.get() : nullptr;
}

void scheduler_daemon::on_gained(scheduler_term term)
{
    ++terms_;
    term_ = std::make_unique<scheduling_term>(
        loop_, store_, term, limits_of(settings_), configuration_.policy(),
        scheduling_term::observer{
            [this] { runner_api_.answer_ready(); },
            [this] {
                loop_.after(
                    duration::zero(), [this] { election_->on_conflict(); });
            },
            [this] { return election_->time_since_confirmation(); },
            [this] {
                return election_->confirmed_at();
            }});
}

void scheduler_daemon::on_lost()
{
    term_.reset();
    runner_api_.refuse_all();
}

void scheduler_daemon::answer_readiness(exchange_id exchange)
{
    // If only this process has lost the store, others can serve the callers.
    bool const is_ready =
        !is_stopping_ && configuration_.is_known() && !watched_store_.is_lost();
    readiness_.respond(
        exchange, {is_ready ? status_ok : status_unavailable, {}, {}});
}

std::string scheduler_daemon::render_metrics()
{
    scheduler_metrics_source source;
    source.callers = &caller_api_.counts();
    source.submissions = &caller_api_.submission_times();
    source.configuration_version = configuration_.version();
    source.configuration_age =
        event_loop::now() - configuration_.last_answer_at();
    source.is_leader = election_->is_leader();
    source.terms = terms_;
    source.is_store_lost = watched_store_.is_lost();
    source.store_calls = store_client_.calls();
    if (auto* const term = ready_term()) {
        source.scheduler = term->scheduler();
        source.writer = term->writer();
    }
    return render_scheduler_metrics(source, event_loop::now());
}

void scheduler_daemon::begin_stop()
{
    if (std::exchange(is_stopping_, true))
        return;
    log_event(log_level::info, "stopping");
    caller_api_.stop_accepting();
    auto const deadline = event_loop::now() + settings_.drain;
    election_->resign([this, deadline] {
        term_.reset();
        runner_api_.refuse_all();
        stop_when_idle(deadline);
    });
}

void scheduler_daemon::stop_when_idle(monotonic_time deadline)
{
    if (caller_api_.open_exchanges() == 0 || event_loop::now() >= deadline) {
        loop_.stop();
        return;
    }
    loop_.after(idle_check, [this, deadline] { stop_when_idle(deadline); });
}

} // namespace sycamorespar
