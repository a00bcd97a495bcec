/// The HTTP API for runners: answers a report at once if there are orders,
/// otherwise as a long poll.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_RUNNER_API_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_RUNNER_API_HPP

#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "libsycamorespar/result.hpp"
#include "spar-scheduler/scheduling_term.hpp"
#include "store/leader_election.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sycamorespar {

/// Timing of the API.
struct runner_api_limits
{
    /// Long-poll time of a report for which there is nothing new.
    std::chrono::milliseconds max_wait{400};
};

/// Serves runners and other schedulers over HTTP.
class runner_api
{
public:
    /// Queries to the owner.
    struct hooks
    {
        /// This process's term as leader; null where it isn't the leader or
        /// the term isn't ready.
        std::function<scheduling_term*()> term;
        /// The current leader; none where unknown.
        std::function<std::optional<leader_info>()> leader;
        /// True where this process may extend runs' leases.
        std::function<bool()> has_authority;
        /// True if the store doesn't answer this process.
        std::function<bool()> is_isolated;
    };

    runner_api(
        event_loop& loop, hooks callbacks,
        runner_api_limits const& limits = {});

    /// Starts to listen.
    result<endpoint> listen(endpoint const& where);
    /// Answers every waiting report that has something new for its runner.
    void answer_ready();
    /// Answers every waiting report with 421 and the leader's address, after
    /// this process lost the leadership.
    void refuse_all();

private:
    struct waiting_report
    {
        exchange_id exchange = 0;
        event_id timer = 0;
    };

    void handle(exchange_id exchange, http_request const& request);
    void handle_report(exchange_id exchange, std::string const& body);
    void answer(worker_id const& worker);
    void refuse(exchange_id exchange);
    void answer_pending(exchange_id exchange, std::string const& target);

    event_loop& loop_;
    hooks callbacks_;
    runner_api_limits limits_;
    http_server server_;
    std::map<worker_id, waiting_report> waiting_;
};

/// The header that names the leader's address.
inline constexpr char const* leader_header = "X-Scheduler";
/// The path that returns the number of pending jobs of a queue.
inline constexpr char const* pending_path = "/scheduler/pending";

} // namespace sycamorespar

#endif
