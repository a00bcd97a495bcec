/// Queues the requests of an entry by table row and routes them to agents.
#ifndef SYCAMORESPAR_REQUEST_ROUTER_HPP
#define SYCAMORESPAR_REQUEST_ROUTER_HPP

#include "libsycamorespar/agent_admission.hpp"
#include "libsycamorespar/agent_directory.hpp"
#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/latency_estimate.hpp"
#include "libsycamorespar/result.hpp"
#include "libsycamorespar/retry_budget.hpp"
#include "libsycamorespar/row_scheduler.hpp"
#include "libsycamorespar/table_policy.hpp"
#include "libsycamorespar/upstream_picker.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sycamorespar {

/// A request to be routed.
struct routed_request
{
    /// Its id.
    request_id id;
    /// The table row.
    row_id row;
    /// The caller that sent it, for fairness between callers.
    std::string caller;
    /// True where it may safely run more than once.
    bool repeatable = false;
    /// The caller gives up at this time.
    monotonic_time deadline;
};

/// Send a copy of the request to the agent of this worker.
struct send_request_action
{
    /// The request.
    request_id id;
    /// The copy's id. Each copy has its own, because an agent decides on each
    /// id only once. The first copy has the request's id.
    request_id sent_as;
    /// The worker whose agent gets it.
    worker_id worker;
    /// The permit to quote.
    permit quoted;
};

/// Answer the caller that the request was not run or its outcome is unknown.
struct reject_request_action
{
    /// The request.
    request_id id;
    /// `not_run` or `unknown`.
    outcome effect = outcome::not_run;
    /// The reason, in one line.
    std::string reason;
    /// Time after which the caller may try again.
    std::chrono::milliseconds retry_after{1000};
};

/// An action for the entry to carry out.
using router_action = std::variant<send_request_action, reject_request_action>;

/// Settings of the router.
struct router_settings
{
    /// The entry's incarnation; part of each request id.
    incarnation entry;
    /// Settings of the upstream picker.
    picker_settings picker;
    /// True for sharing by weight between rows and equally between callers;
    /// false for one common queue by deadline.
    bool fair = true;
    /// Maximum number of copies of one request, including the first. Nearly all
    /// additional copies follow refusals, which cost one message each and are
    /// spaced out by the picker.
    std::uint32_t max_copies = 32;
    /// Budget for copies after an unknown outcome, for repeatable work only.
    retry_budget_limits retries{0.1, 10.0};
    /// Budget for copies sent while another is in flight (hedges), for
    /// repeatable work only.
    retry_budget_limits hedges{0.05, 10.0};
    /// A hedge is sent once a copy has taken longer than this quantile of the
    /// row's latency.
    double hedge_after_quantile = 0.95;
};

/// Counters of the router.
struct router_counts
{
    /// All copies sent.
    std::uint64_t sent = 0;
    /// Copies sent after proof that all earlier ones were not run.
    std::uint64_t resent_not_run = 0;
    /// Resends after an unknown outcome.
    std::uint64_t retried = 0;
    /// Copies sent while another was in flight.
    std::uint64_t hedged = 0;
    /// Copies that agents refused.
    std::uint64_t refused = 0;
    /// Requests rejected as not run.
    std::uint64_t rejected_not_run = 0;
    /// Requests rejected as unknown.
    std::uint64_t rejected_unknown = 0;
};

/// Decides which agent gets each request. A request that is not repeatable is
/// sent again only after proof that its earlier copies were not run.
class request_router
{
public:
    explicit request_router(router_settings settings);

    /// Allocates a request id; the only source of the entry's request ids.
    request_id next_id();
    /// Applies a newer table; older revisions are ignored.
    void adopt_table(table_policy const& policy);
    /// Queues a request, or rejects it at the next tick.
    void submit(routed_request const& request, monotonic_time now);
    /// Processes an agent's heartbeat.
    void on_agent(agent_report const& report, monotonic_time now);
    /// Processes a load report sent by an agent between heartbeats.
    void on_load(
        worker_id const& worker, std::uint32_t in_flight, monotonic_time now);
    /// An agent is lost. Copies sent to it stay in flight.
    void on_agent_gone(worker_id const& worker, monotonic_time now);
    /// An answer arrived; `failed` where its status is a server error.
    /// \return the request to answer; none where it was answered before.
    std::optional<request_id>
    on_answer(request_id const& sent_as, bool failed, monotonic_time now);
    /// The agent refused a copy, which proves that it was not run.
    void on_refused(
        request_id const& sent_as, refusal why, std::string const& reason,
        monotonic_time now);
    /// The transport did not send a copy, so it was not run.
    void on_not_sent(request_id const& sent_as, monotonic_time now);
    /// The outcome of a copy is unknown to the agent.
    void on_unknown(
        request_id const& sent_as, std::string const& reason,
        monotonic_time now);
    /// Runs everything that is due. \return the actions to carry out.
    std::vector<router_action> tick(monotonic_time now);
    /// The next time at which tick() has work without further input.
    std::optional<monotonic_time> next_due() const;
    /// Number of requests that are queued or sent.
    std::size_t open_requests() const { return requests_.size(); }
    /// Counters since the start.
    router_counts const& counts() const { return counts_; }

private:
    struct open_request
    {
        routed_request request;
        /// Copies sent so far.
        std::uint32_t copies = 0;
        /// Copies without a known outcome.
        std::uint32_t in_flight = 0;
        bool queued = false;
        bool may_have_run = false;
        worker_id last_worker;
        std::optional<monotonic_time> hedge_at;
    };
    struct sent_copy
    {
        request_id request;
        row_id row;
        std::string caller;
        worker_id worker;
        monotonic_time sent_at;
        monotonic_time deadline;
    };
    struct row_state
    {
        double share = 0.0;
        std::uint32_t in_flight = 0;
        /// Copies in flight by caller, without callers that have none.
        std::unordered_map<std::string, std::uint32_t> callers;
        latency_estimate latency;
    };
    struct timer
    {
        monotonic_time at;
        request_id id;

        auto operator<=>(timer const&) const = default;
    };

    row_id queue_of(row_id const& row) const;
    void enqueue(open_request& open);
    void reject(
        request_id const& id, outcome effect, std::string const& reason,
        std::chrono::milliseconds retry_after);
    void give_up(request_id const& id, std::string const& reason);
    void
    resend(request_id const& id, std::string const& reason, monotonic_time now);
    std::optional<sent_copy> close_copy(request_id const& sent_as);
    std::uint32_t reserve_levels(routed_request const& request) const;
    static bool
    is_heavy_caller(row_state const& row, std::string const& caller);
    offer_result offer(waiting_request const& next, monotonic_time now);
    bool send(request_id const& id, bool hedge, monotonic_time now);
    void record_copy(
        open_request& open, picked_agent const& chosen, monotonic_time now);
    void arm_hedge(open_request& open, monotonic_time now);
    void disarm_hedge(open_request& open);
    void remove_request(request_id const& id);
    void record_latency(sent_copy const& copy, bool failed, monotonic_time now);
    void expire(monotonic_time now);
    void expire_copies(monotonic_time now);
    void send_hedges(monotonic_time now);

    router_settings settings_;
    std::uint64_t last_sequence_ = 0;
    table_policy policy_;
    row_scheduler scheduler_;
    upstream_picker picker_;
    retry_budget retries_;
    retry_budget hedges_;
    std::unordered_map<request_id, open_request> requests_;
    std::unordered_map<request_id, sent_copy> copies_;
    std::unordered_map<row_id, row_state> rows_;
    std::set<timer> deadlines_;
    std::set<timer> copy_deadlines_;
    std::set<timer> hedge_times_;
    std::uint32_t total_in_flight_ = 0;
    std::vector<router_action> actions_;
    router_counts counts_;
};

} // namespace sycamorespar

#endif
