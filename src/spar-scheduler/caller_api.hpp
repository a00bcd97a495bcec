/// Takes jobs from callers, and tells where they stand.
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
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamorespar {

/// Limits of the front.
struct caller_api_limits
{
    /// When callers may come again that were refused: about when a store that
    /// was slow or a process that was stopped is back.
    std::chrono::seconds retry_after{1};
    /// A count of waiting jobs may be this old.
    std::chrono::milliseconds max_pending_age{1000};
    /// Another scheduler answers within this.
    std::chrono::milliseconds peer_timeout{400};
};

/// What happened to callers' requests, for metrics.
struct caller_counts
{
    std::uint64_t accepted = 0;
    /// By reason.
    std::map<std::string, std::uint64_t> refused;
    std::uint64_t unknown = 0;
    std::uint64_t invalid = 0;
    std::uint64_t states = 0;
    std::uint64_t cancels = 0;
};

/// The HTTP side towards callers.
class caller_api
{
public:
    /// What the front asks its owner.
    struct hooks
    {
        /// The term in office; null where this process holds none.
        std::function<scheduling_term*()> term;
        /// Who holds the office.
        std::function<std::optional<leader_info>()> leader;
        /// True where the store can't be reached at present.
        std::function<bool()> is_store_lost;
    };

    caller_api(
        event_loop& loop, kv_store const& store,
        configuration_follower const& configuration, hooks callbacks,
        caller_api_limits const& limits = {});

    /// Starts to listen.
    result<endpoint> listen(endpoint const& where);
    /// Takes no more connections; open exchanges go on.
    void stop_accepting() { server_.stop_accepting(); }
    /// Exchanges that aren't answered yet.
    std::size_t open_exchanges() const { return server_.open_exchanges(); }
    /// What happened so far.
    caller_counts const& counts() const { return counts_; }
    /// How long the store took to accept jobs.
    latency_histogram const& submission_times() const
    {
        return submission_times_;
    }

private:
    struct pending_count
    {
        std::string answer;
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
