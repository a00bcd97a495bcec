/// Queues an entry's requests by table row and routes them to agents.
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

/// A request as it enters the queue.
struct routed_request
{
    /// Its id.
    request_id id;
    /// The table row.
    row_id row;
    /// Who sent it, for fairness between callers.
    std::string caller;
    /// True where running it twice does no harm.
    bool repeatable = false;
    /// The caller gives up at this time.
    monotonic_time deadline;
};

/// Send the request to the agent beside this worker.
struct send_request_action
{
    /// Which request.
    request_id id;
    /// The id to send it under. Each copy has its own, since an agent admits
    /// or refuses an id once and for all. The first is the request's.
    request_id sent_as;
    /// Where to.
    worker_id worker;
    /// The permit to quote.
    permit quoted;
};

/// Answer the caller: it was not run, or its outcome is unknown.
struct reject_request_action
{
    /// Which request.
    request_id id;
    /// Not run, or unknown.
    outcome effect = outcome::not_run;
    /// Why, in one line.
    std::string reason;
    /// When the caller may try again.
    std::chrono::milliseconds retry_after{1000};
};

/// What the entry is to do next.
using router_action = std::variant<send_request_action, reject_request_action>;

/// How requests are routed.
struct router_settings
{
    /// The entry's incarnation; part of each request id.
    incarnation entry;
    /// How upstreams are picked.
    picker_settings picker;
    /// True where rows and callers share by weight; else first come, first
    /// served.
    bool fair = true;
    /// Copies of one request at most, the first one included. Nearly all of
    /// them are refusals, which cost a message and are spaced by the picker.
    std::uint32_t max_copies = 32;
    /// Copies after an unknown outcome, for repeatable work only.
    retry_budget_limits retries{0.1, 10.0};
    /// Copies sent while another is on its way, for repeatable work only.
    retry_budget_limits hedges{0.05, 10.0};
    /// A hedge is sent once an answer is later than this part of them.
    double hedge_after_quantile = 0.95;
};

/// Counts of what the router did.
struct router_counts
{
    /// Copies sent, all in all.
    std::uint64_t sent = 0;
    /// Copies sent again after proof that they were not run.
    std::uint64_t resent_not_run = 0;
    /// Copies sent again after an unknown outcome.
    std::uint64_t retried = 0;
    /// Copies sent while another was on its way.
    std::uint64_t hedged = 0;
    /// Copies that agents refused.
    std::uint64_t refused = 0;
    /// Requests rejected as not run.
    std::uint64_t rejected_not_run = 0;
    /// Requests rejected as unknown.
    std::uint64_t rejected_unknown = 0;
};

/// Decides where requests go. Only proof of "not run" leads to another try of
/// work that must not be repeated.
class request_router
{
public:
    explicit request_router(router_settings settings);

    /// A new request id; the entry takes all of them from here.
    request_id next_id();
    /// Takes a newer table.
    void adopt_table(table_policy const& policy);
    /// Queues a request.
    void submit(routed_request const& request, monotonic_time now);
    /// Notes what an agent can take.
    void on_agent(agent_report const& report, monotonic_time now);
    /// Notes the load that an agent told of apart from its heartbeats.
    void on_load(
        worker_id const& worker, std::uint32_t in_flight, monotonic_time now);
    /// An agent is silent or gone. What was sent there stays open.
    void on_agent_gone(worker_id const& worker, monotonic_time now);
    /// An answer arrived; `failed` where its status tells of a server error.
    /// \return the request to answer; none where nobody waits for it.
    std::optional<request_id>
    on_answer(request_id const& sent_as, bool failed, monotonic_time now);
    /// The agent refused a copy, so that copy was not run.
    void on_refused(
        request_id const& sent_as, refusal why, std::string const& reason,
        monotonic_time now);
    /// The transport did not take a copy, so that copy was not run.
    void on_not_sent(request_id const& sent_as, monotonic_time now);
    /// The agent can't tell what became of a copy.
    void on_unknown(
        request_id const& sent_as, std::string const& reason,
        monotonic_time now);
    /// Decides what is due and collects what is to be done.
    std::vector<router_action> tick(monotonic_time now);
    /// When tick() has something to do without any further input.
    std::optional<monotonic_time> next_due() const;
    /// Requests queued or sent.
    std::size_t open_requests() const { return requests_.size(); }
    /// What was done so far.
    router_counts const& counts() const { return counts_; }

private:
    struct open_request
    {
        routed_request request;
        /// Copies sent, in all.
        std::uint32_t copies = 0;
        /// Copies whose fate is open.
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
        /// Copies in flight by caller; callers without any are left out.
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
