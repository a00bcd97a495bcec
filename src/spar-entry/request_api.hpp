/// Takes callers' requests, routes them, and answers each caller once.
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

/// Owns the router and what it needs to send: bodies and open exchanges.
class request_api
{
public:
    request_api(
        http_server& http, agent_connections& agents,
        incarnation self_incarnation, failure_domain_id domain);

    /// A caller's request.
    void handle(exchange_id exchange, http_request const& request);
    /// An agent's answers; the failure domain is the agent's.
    void on_answer(
        failure_domain_id const& domain, peers::request_answer const& message);
    /// \copydoc on_answer
    void on_refused(peers::request_refused const& message);
    /// \copydoc on_answer
    void on_unknown(peers::request_unknown const& message);
    /// \copydoc on_answer
    void on_request_outcome(peers::request_outcome const& message);
    /// A heartbeat.
    void on_agent(agent_report const& report);
    /// An agent is silent.
    void on_agent_gone(worker_id const& worker);
    /// A newer table.
    void adopt_table(table_policy const& policy);
    /// Decides what is due.
    void tick();
    /// Refuses new requests from now on.
    void set_stopping() { stopping_ = true; }
    /// What was counted against the table's objectives.
    burn_snapshot burn(monotonic_time now) const;
    /// Requests answered so far.
    outcome_counts const& outcomes() const { return outcomes_; }
    /// What the router did so far.
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
