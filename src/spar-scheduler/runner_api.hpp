/// Answers the runners' reports: at once where there is news, else later.
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

/// Limits of the desk.
struct runner_api_limits
{
    /// A report without news is answered after this.
    std::chrono::milliseconds max_wait{400};
};

/// The HTTP side towards runners and other schedulers.
class runner_api
{
public:
    /// What the desk asks its owner.
    struct hooks
    {
        /// The term in office; null where this process holds none that is
        /// ready.
        std::function<scheduling_term*()> term;
        /// Where the holder of the office is reached.
        std::function<std::optional<leader_info>()> leader;
        /// True where runs may be let go on.
        std::function<bool()> has_authority;
    };

    runner_api(
        event_loop& loop, hooks callbacks,
        runner_api_limits const& limits = {});

    /// Starts to listen.
    result<endpoint> listen(endpoint const& where);
    /// Answers every waiting report for which there is news.
    void answer_ready();
    /// Answers every waiting report: the office is lost.
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

/// The header that names the holder of the office.
inline constexpr char const* leader_header = "X-Scheduler";
/// The path that tells how many jobs of a queue wait.
inline constexpr char const* pending_path = "/scheduler/pending";

} // namespace sycamorespar

#endif
