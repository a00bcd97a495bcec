/// The main class of spar-scheduler; connects its components.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_DAEMON_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_DAEMON_HPP

#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "common/metrics_endpoint.hpp"
#include "platform/kv_client.hpp"
#include "spar-scheduler/caller_api.hpp"
#include "spar-scheduler/configuration_follower.hpp"
#include "spar-scheduler/runner_api.hpp"
#include "spar-scheduler/scheduler_metrics.hpp"
#include "spar-scheduler/scheduler_settings.hpp"
#include "spar-scheduler/scheduling_term.hpp"
#include "store/leader_election.hpp"
#include "store/watched_store.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace sycamorespar {

/// A scheduler process: accepts jobs, and schedules them while it is the
/// leader.
class scheduler_daemon
{
public:
    explicit scheduler_daemon(scheduler_settings settings);
    ~scheduler_daemon();
    scheduler_daemon(scheduler_daemon const&) = delete;
    scheduler_daemon& operator=(scheduler_daemon const&) = delete;

    /// Runs until SIGTERM or SIGINT; an error where it can't listen.
    result<done> run();

private:
    result<done> listen();
    void on_gained(scheduler_term term);
    void on_lost();
    scheduling_term* ready_term();
    void answer_readiness(exchange_id exchange);
    std::string render_metrics();
    void begin_stop();
    void stop_when_idle(monotonic_time deadline);

    scheduler_settings settings_;
    event_loop loop_;
    platform::kv_client store_client_;
    watched_store watched_store_;
    kv_store store_;
    configuration_follower configuration_;
    std::unique_ptr<scheduling_term> term_;
    std::unique_ptr<leader_election> election_;
    runner_api runner_api_;
    caller_api caller_api_;
    http_server readiness_;
    metrics_endpoint metrics_;
    std::uint64_t terms_ = 0;
    bool is_stopping_ = false;
};

} // namespace sycamorespar

#endif
