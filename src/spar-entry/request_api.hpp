/// Accepts callers' requests, routes them, and answers each caller once.
#ifndef SYCAMORESPAR_SPAR_ENTRY_REQUEST_API_HPP
#define SYCAMORESPAR_SPAR_ENTRY_REQUEST_API_HPP

#include "callers/request_http.hpp"
#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "libsycamorespar/burn.hpp"
#include "libsycamorespar/request_router.hpp"
#include "peers/message.hpp"
#include "spar-entry/agent_connections.hpp"
#include "spar-entry/entry_metrics.hpp"

#include <unordered_map>

namespace sycamorespar {

/// Owns the router, and the bodies and open exchanges of unanswered requests.
class request_api
{
public:
    request_api(
        http_server& http, agent_connections& agents,
        incarnation self_incarnation, failure_domain_id domain);

    /// Handles a caller's request.
    void handle(exchange_id exchange, http_request const& request);
    /// Handles an agent's answer.
    /// \param domain the agent's failure domain.
    void on_answer(
        failure_domain_id const& domain, peers::request_answer const& message);
    /// Handles an agent's refusal: this copy was certainly not run.
    void on_refused(peers::request_refused const& message);
    /// Handles an agent's report that a copy's outcome is unknown.
    void on_unknown(peers::request_unknown const& message);
    /// Handles the answer to a query about a copy. Only a copy that never
    /// arrived matters: it counts as refused.
    void on_request_outcome(peers::request_outcome const& message);
    /// Processes an agent's report from a heartbeat.
    void on_agent(agent_report const& report);
    /// Handles the loss of an agent that sent no heartbeat in time.
    void on_agent_gone(worker_id const& worker);
    /// Switches to a newer table.
    void adopt_table(table_policy const& policy);
    /// Runs the router and executes its decisions.
    void tick();
    /// Rejects all further requests.
    void set_stopping() { stopping_ = true; }
    /// Requests counted against the table's objectives.
    burn_snapshot burn(monotonic_time now) const;
    /// Requests answered so far, by outcome.
    outcome_counts const& outcomes() const { return outcomes_; }
    /// The router's counters.
    router_counts const& counts() const { return router_.counts(); }
    /// Requests not answered yet.
    std::size_t open_requests() const { return open_.size(); }

private:
    struct open_request
    {
        exchange_id exchange = 0;
        http_request forwarded;
        row_id row;
        monotonic_time accepted_at;
        monotonic_time deadline;
    };

    void execute(router_action const& action);
    void send(send_request_action const& action);
    void finish(
        request_id const& id, failure_domain_id const& domain,
        http_response const& response);

    http_server& http_;
    agent_connections& agents_;
    request_router router_;
    table_policy policy_;
    burn_tracker burn_;
    outcome_counts outcomes_;
    std::unordered_map<request_id, open_request> open_;
    bool stopping_ = false;
};

} // namespace sycamorespar

#endif
