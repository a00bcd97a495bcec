/// The HTTP API for callers: accepts and cancels jobs, reports their state.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_CALLER_API_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_CALLER_API_HPP

#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/http_server.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/latency_histogram.hpp"
#include "records/job_store.hpp"
#include "spar-scheduler/configuration_follower.hpp"
#include "spar-scheduler/scheduling_term.hpp"
#include "store/leader_election.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamorespar {

/// Timing of the API.
struct caller_api_limits
{
    /// Retry-After of a refusal: about the time in which a slow store or a
    /// stopped process is available again.
    std::chrono::seconds retry_after{1};
    /// Maximum age of a cached count of pending jobs.
    std::chrono::milliseconds max_pending_age{1000};
    /// Timeout of calls to other schedulers.
    std::chrono::milliseconds peer_timeout{400};
};

/// Counts of callers' requests by outcome, for metrics.
struct caller_counts
{
    std::uint64_t accepted = 0;
    /// Refusals by reason.
    std::map<std::string, std::uint64_t> refused;
    std::uint64_t unknown = 0;
    std::uint64_t invalid = 0;
    std::uint64_t states = 0;
    std::uint64_t cancels = 0;
};

/// Serves callers over HTTP.
class caller_api
{
public:
    /// Queries to the owner.
    struct hooks
    {
        /// This process's term as leader; null where it isn't the leader.
        std::function<scheduling_term*()> term;
        /// The current leader; none where unknown.
        std::function<std::optional<leader_info>()> leader;
        /// True while the store is unreachable.
        std::function<bool()> is_store_lost;
    };

    caller_api(
        event_loop& loop, kv_store const& store,
        configuration_follower const& configuration, hooks callbacks,
        caller_api_limits const& limits = {});

    /// Starts to listen.
    result<endpoint> listen(endpoint const& where);
    /// Accepts no more connections; open exchanges continue.
    void stop_accepting() { server_.stop_accepting(); }
    /// The number of exchanges not answered yet.
    std::size_t open_exchanges() const { return server_.open_exchanges(); }
    /// Requests so far, by outcome.
    caller_counts const& counts() const { return counts_; }
    /// Time that the store took to accept jobs.
    latency_histogram const& submission_times() const
    {
        return submission_times_;
    }

private:
    struct pending_count
    {
        std::size_t count = 0;
        monotonic_time read_at{};
    };

    void handle(exchange_id exchange, http_request const& request);
    void submit(
        exchange_id exchange, routed_path const& to,
        http_request const& request);
    void respond_state(exchange_id exchange, job_id const& job);
    void cancel(exchange_id exchange, job_id const& job);
    void respond_pending(exchange_id exchange, queue_id const& queue);
    void query_leader(exchange_id exchange, queue_id const& queue);
    http_client& client_of(endpoint const& where);
    void respond(exchange_id exchange, int status);
    void refuse(exchange_id exchange, char const* reason);
    void
    log_and_refuse(exchange_id exchange, job_id const& job, char const* reason);
    void on_job_stored(
        exchange_id exchange, accepted_job const& job, monotonic_time sent_at,
        stored_job const& stored);

    void on_cancellation_stored(
        exchange_id exchange, job_id const& job, monotonic_time sent_at,
        cancellation const& stored);

    event_loop& loop_;
    kv_store const& store_;
    configuration_follower const& configuration_;
    hooks callbacks_;
    caller_api_limits limits_;
    http_server server_;
    std::map<endpoint, std::unique_ptr<http_client>> peers_;
    std::map<queue_id, pending_count> pending_;
    caller_counts counts_;
    latency_histogram submission_times_;
};

} // namespace sycamorespar

#endif
