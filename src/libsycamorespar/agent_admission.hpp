/// What an agent admits: the one authority on its upstreams and its worker.
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

/// What the tasks of one row hold on a worker.
struct row_usage
{
    /// The row.
    row_id row;
    /// How many tasks.
    std::uint32_t tasks = 0;
    /// What is committed to them.
    resources committed;

    bool operator==(row_usage const&) const = default;
};

/// Why an agent refuses a start. Every refusal but `duplicate` is proof of
/// "not run"; a duplicate is dropped without an answer.
enum class refusal
{
    /// The permit has expired or is of another incarnation.
    stale_permit,
    /// The start quotes an older table than the agent knows.
    stale_table,
    /// This id was admitted before.
    duplicate,
    /// No upstream beside this agent serves the row.
    no_upstream,
    /// All slots or connections are in use.
    no_slot,
    /// The worker has not enough left.
    no_room,
    /// The failure domain is out of service for the row.
    domain_out,
    /// The upstream or the agent is leaving.
    leaving,
    /// The agent does not yet know what runs on its worker.
    not_ready
};

/// A name for logs and counters.
char const* to_string(refusal why);

/// An upstream beside this agent, as it announced itself.
struct upstream_state
{
    /// Its name.
    std::string name;
    /// The rows that it serves.
    std::vector<row_id> rows;
    /// Requests it may be given at a time.
    std::uint32_t slots = 0;
    /// Requests it has now.
    std::uint32_t in_flight = 0;
    /// True once it has said that it leaves.
    bool leaving = false;
};

/// A request that asks to be started.
struct request_start
{
    /// Its id.
    request_id id;
    /// The permit that it quotes.
    permit quoted;
    /// The table revision by which it was routed.
    table_revision revision;
    /// The table row.
    row_id row;
};

/// A task that asks to be started.
struct task_start
{
    /// Which run of which job.
    attempt_id attempt;
    /// The permit that it quotes.
    permit quoted;
    /// The table revision of the committed placement.
    table_revision revision;
    /// The table row.
    row_id row;
    /// What it may use.
    resources demand;
};

/// A request was admitted: forward it to this upstream.
struct request_admitted
{
    /// The upstream's name.
    std::string upstream;
};

/// A task was admitted: start it within the time given.
struct task_admitted
{
    /// The longest lifetime of the worker lease that its start may quote.
    duration start_within;
};

/// What an agent knows of a request or attempt that it is asked about.
enum class start_outcome
{
    /// It was admitted and has not ended.
    running,
    /// It was admitted and has ended.
    ended,
    /// It was not admitted and never will be.
    never,
    /// It can't be told, or not yet.
    unknown
};

/// Starts by verdict.
struct admission_counts
{
    /// Admitted.
    std::uint64_t admitted = 0;
    /// Refused, by reason.
    std::map<refusal, std::uint64_t> refused;
};

/// Counts what is in use and admits starts; the entry's wishes come second.
class agent_admission
{
public:
    agent_admission(incarnation self, failure_domain_id domain);

    /// Issues the permit of the next heartbeat.
    permit renew_permit(monotonic_time now);
    /// Admits requests and tasks from now on; the worker's tasks are known.
    void set_ready() { ready_ = true; }
    /// True once tasks may be admitted.
    bool is_ready() const { return ready_; }
    /// Admits nothing from now on.
    void set_leaving() { leaving_ = true; }
    /// Sets what the worker physically has.
    void set_capacity(resources const& capacity) { capacity_ = capacity; }
    /// What the worker physically has.
    resources const& capacity() const { return capacity_; }
    /// What admitted tasks hold.
    resources const& committed() const { return committed_; }

    /// Takes a newer table; older ones are ignored.
    /// \return true where it was taken.
    bool adopt_table(table_policy const& policy);
    /// The table in force here.
    table_policy const& policy() const { return policy_; }

    /// Notes an upstream's announcement.
    void announce_upstream(upstream_state const& announced);
    /// The upstream takes no more; it may go once nothing is in flight.
    void set_upstream_leaving(std::string const& name);
    /// Forgets an upstream.
    void remove_upstream(std::string const& name);
    /// The upstreams as they stand.
    std::map<std::string, upstream_state> const& upstreams() const
    {
        return upstreams_;
    }

    /// Admits or refuses a request.
    std::variant<request_admitted, refusal>
    admit_request(request_start const& start, monotonic_time now);
    /// The upstream is done with an admitted request.
    void finish_request(request_id const& id);
    /// What became of a request that quoted this permit.
    start_outcome outcome_of(
        request_id const& id, permit const& quoted, monotonic_time now) const;

    /// Admits or refuses a task.
    std::variant<task_admitted, refusal>
    admit_task(task_start const& start, monotonic_time now);
    /// A task that ran on the worker before this incarnation.
    void adopt_task(
        attempt_id const& attempt, row_id const& row, resources const& demand);
    /// An admitted task that proved not to have been started.
    void withdraw_task(attempt_id const& attempt);
    /// The task holds nothing any more.
    void release_task(attempt_id const& attempt);
    /// What became of a task start that quoted this permit.
    start_outcome outcome_of(
        attempt_id const& attempt, permit const& quoted,
        monotonic_time now) const;
    /// Verdicts on requests so far.
    admission_counts const& request_counts() const { return request_counts_; }
    /// Verdicts on tasks so far.
    admission_counts const& task_counts() const { return task_counts_; }
    /// Requests admitted and not finished.
    std::size_t requests_in_flight() const { return in_flight_; }
    /// What admitted tasks hold, by row.
    std::vector<row_usage> usage_by_row() const;
    /// Tasks admitted and not released.
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
