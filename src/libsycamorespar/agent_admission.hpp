/// Admission control of an agent, which alone decides what its upstreams and
/// its worker take.
#ifndef SYCAMORESPAR_AGENT_ADMISSION_HPP
#define SYCAMORESPAR_AGENT_ADMISSION_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/permit.hpp"
#include "libsycamorespar/resources.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sycamorespar {

/// Resources that the tasks of one row hold on a worker.
struct row_usage
{
    /// The row.
    row_id row;
    /// Number of tasks.
    std::uint32_t tasks = 0;
    /// The sum of the resources committed to them.
    resources committed;

    bool operator==(row_usage const&) const = default;
};

/// Why an agent refuses a start. Every refusal except `duplicate` proves that
/// this start was not run; a duplicate is dropped without an answer.
enum class refusal
{
    /// The permit has expired or was issued by another incarnation.
    stale_permit,
    /// The start quotes an older table revision than the agent's.
    stale_table,
    /// This id was admitted before.
    duplicate,
    /// None of this agent's upstreams serves the row.
    no_upstream,
    /// All slots or connections are in use.
    no_slot,
    /// The worker has not enough free capacity.
    no_room,
    /// The failure domain is out of service for the row.
    domain_out,
    /// The upstream or the agent is shutting down and takes no new work.
    leaving,
    /// The agent has not yet read which tasks run on its worker.
    not_ready
};

/// The name of a refusal for logs, metrics and reasons.
char const* to_string(refusal why);

/// An upstream as announced to this agent.
struct upstream_state
{
    /// Its name.
    std::string name;
    /// The rows that it serves.
    std::vector<row_id> rows;
    /// Maximum number of concurrent requests.
    std::uint32_t slots = 0;
    /// Requests in flight.
    std::uint32_t in_flight = 0;
    /// True once it has announced its shutdown.
    bool leaving = false;
};

/// The start of a request, to be admitted or refused.
struct request_start
{
    /// Its id.
    request_id id;
    /// The permit that it quotes.
    permit quoted;
    /// The table revision by which it was routed.
    table_revision revision;
    /// Its table row.
    row_id row;
};

/// The start of a task attempt, to be admitted or refused.
struct task_start
{
    /// The job and the attempt's number.
    attempt_id attempt;
    /// The permit that it quotes.
    permit quoted;
    /// The table revision of the committed placement.
    table_revision revision;
    /// The table row.
    row_id row;
    /// The resources that it may use.
    resources demand;
};

/// A request was admitted: forward it to this upstream.
struct request_admitted
{
    /// Name of the upstream.
    std::string upstream;
};

/// A task was admitted: start it within the given time.
struct task_admitted
{
    /// Time left to its permit: the longest allowed lifetime of the worker
    /// lease that the start quotes.
    duration start_within;
};

/// What an agent knows about the outcome of a start.
enum class start_outcome
{
    /// It was admitted and has not ended.
    running,
    /// It was admitted and has ended.
    ended,
    /// It was not admitted and can't be admitted any more.
    never,
    /// It is not known, or not known yet.
    unknown
};

/// Number of starts by decision.
struct admission_counts
{
    /// Starts admitted.
    std::uint64_t admitted = 0;
    /// Starts refused, by reason.
    std::map<refusal, std::uint64_t> refused;
};

/// Tracks the slots and resources in use and admits or refuses starts by them,
/// whatever the entry that sent the start assumes.
class agent_admission
{
public:
    agent_admission(incarnation self, failure_domain_id domain);

    /// Issues the permit that the next heartbeat carries.
    permit renew_permit(monotonic_time now);
    /// Admits tasks from now on: the tasks that run on the worker are known.
    void set_ready() { ready_ = true; }
    /// True once tasks may be admitted.
    bool is_ready() const { return ready_; }
    /// Refuses all starts from now on.
    void set_leaving() { leaving_ = true; }
    /// Sets the worker's physical capacity.
    void set_capacity(resources const& capacity) { capacity_ = capacity; }
    /// The worker's physical capacity.
    resources const& capacity() const { return capacity_; }
    /// Resources held by admitted tasks.
    resources const& committed() const { return committed_; }

    /// Applies a newer table; older ones are ignored.
    /// \return true where it was applied.
    bool adopt_table(table_policy const& policy);
    /// The table that admission applies.
    table_policy const& policy() const { return policy_; }

    /// Adds or updates an upstream; its requests in flight are kept.
    void announce_upstream(upstream_state const& announced);
    /// Admits no more requests to the upstream; it may shut down once none
    /// is in flight.
    void set_upstream_leaving(std::string const& name);
    /// Removes an upstream.
    void remove_upstream(std::string const& name);
    /// The upstreams by name, with their requests in flight.
    std::map<std::string, upstream_state> const& upstreams() const
    {
        return upstreams_;
    }

    /// Admits or refuses a request.
    std::variant<request_admitted, refusal>
    admit_request(request_start const& start, monotonic_time now);
    /// An admitted request has ended and frees its slot.
    void finish_request(request_id const& id);
    /// The outcome of a request start that quoted this permit.
    start_outcome outcome_of(
        request_id const& id, permit const& quoted, monotonic_time now) const;

    /// Admits or refuses a task.
    std::variant<task_admitted, refusal>
    admit_task(task_start const& start, monotonic_time now);
    /// Accounts for a task that was started by an earlier incarnation.
    void adopt_task(
        attempt_id const& attempt, row_id const& row, resources const& demand);
    /// An admitted task was not started after all: counts as refused.
    void withdraw_task(attempt_id const& attempt);
    /// Frees the resources of a task.
    void release_task(attempt_id const& attempt);
    /// The outcome of a task start that quoted this permit.
    start_outcome outcome_of(
        attempt_id const& attempt, permit const& quoted,
        monotonic_time now) const;
    /// Decisions on requests so far.
    admission_counts const& request_counts() const { return request_counts_; }
    /// Decisions on tasks so far.
    admission_counts const& task_counts() const { return task_counts_; }
    /// Number of requests admitted and not finished.
    std::size_t requests_in_flight() const { return in_flight_; }
    /// Resources held by admitted tasks, by row.
    std::vector<row_usage> usage_by_row() const;
    /// Number of tasks admitted or adopted and not released.
    std::size_t tasks_held() const { return tasks_.size(); }

private:
    struct seen_request
    {
        std::string upstream;
        monotonic_time admitted_at;
        bool ended = false;
        bool refused = false;
    };
    struct held_task
    {
        row_id row;
        resources demand;
    };
    struct seen_attempt
    {
        monotonic_time seen_at;
        bool refused = false;
    };

    std::variant<request_admitted, refusal>
    admit_new_request(request_start const& start, monotonic_time now);
    std::variant<task_admitted, refusal>
    admit_new_task(task_start const& start, monotonic_time now);
    std::variant<request_admitted, refusal>
    decide_request(request_start const& start);
    std::variant<task_admitted, refusal>
    decide_task(task_start const& start, duration left);
    bool may_start(row_id const& row) const;
    upstream_state* pick_upstream(row_id const& row, refusal& why);
    void remove_expired_requests(monotonic_time now);

    permit_issuer permits_;
    failure_domain_id domain_;
    bool ready_ = false;
    bool leaving_ = false;
    resources capacity_;
    resources committed_;
    table_policy policy_;
    std::map<std::string, upstream_state> upstreams_;
    std::unordered_map<request_id, seen_request> requests_;
    std::deque<request_id> request_order_;
    std::size_t in_flight_ = 0;
    admission_counts request_counts_;
    admission_counts task_counts_;
    std::map<attempt_id, held_task> tasks_;
    std::map<attempt_id, seen_attempt> attempts_;
};

} // namespace sycamorespar

#endif
