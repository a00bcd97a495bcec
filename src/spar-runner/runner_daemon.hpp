/// The main class of spar-runner; connects its components.
#ifndef SYCAMORESPAR_SPAR_RUNNER_RUNNER_DAEMON_HPP
#define SYCAMORESPAR_SPAR_RUNNER_RUNNER_DAEMON_HPP

#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "common/metrics_endpoint.hpp"
#include "libsycamorespar/pace_control.hpp"
#include "libsycamorespar/run_tracker.hpp"
#include "platform/kv_client.hpp"
#include "platform/worker_client.hpp"
#include "spar-runner/report_sender.hpp"
#include "spar-runner/runner_metrics.hpp"
#include "spar-runner/runner_settings.hpp"

namespace sycamorespar {

/// A runner process, which serves one worker.
class runner_daemon
{
public:
    explicit runner_daemon(runner_settings settings);
    ~runner_daemon();
    runner_daemon(runner_daemon const&) = delete;
    runner_daemon& operator=(runner_daemon const&) = delete;

    /// Runs until SIGTERM or SIGINT; an error where it can't listen.
    result<done> run();

private:
    void handle(exchange_id exchange, http_request const& request);
    bool
    apply_announcement(std::string const& instance, std::string const& body);
    void call_worker();
    void send_starts();
    void send_stops();
    void list_runs();
    void confirm_worker();
    void poll();
    void poll_again();
    void handle_poll_failure(call_outcome result);
    void apply_listing(worker_listing const& listing, poll_call const& call);
    void handle_poll_answer(
        poll_call const& call, platform::poll_answer const& answer);
    void pace();
    void log_measurements() const;
    void log_pace(pace_change const& change) const;
    void handle_token_result(call_outcome result, std::uint64_t token);
    void tick();

    runner_settings settings_;
    event_loop loop_;
    platform::kv_client store_client_;
    kv_store store_;
    run_tracker tracker_;
    platform::worker_client worker_;
    http_server announcements_;
    pace_control pacing_;
    report_sender report_sender_;
    metrics_endpoint metrics_;
    runner_counts counts_;
    bool is_polling_ = false;
    bool is_listing_ = false;
    /// The token under which the runs were last listed without waiting.
    std::uint64_t listed_token_ = 0;
};

} // namespace sycamorespar

#endif
