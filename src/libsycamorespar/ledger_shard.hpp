/// State machine of one shard of the batch job ledger, run by the entry that
/// holds the shard.
#ifndef SYCAMORESPAR_LEDGER_SHARD_HPP
#define SYCAMORESPAR_LEDGER_SHARD_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/job.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar {

/// Writes the snapshot with a compare-and-set on the shard's value, its holder
/// and, where placements are included, the table.
struct write_shard_action
{
    /// The snapshot to write.
    shard_snapshot snapshot;
    /// The table revision by which its placements were decided. Empty where
    /// it has no new placements; the write then does not compare the table.
    std::optional<table_revision> table;
};

/// Reads the shard again to find out whether a write took effect.
struct read_shard_action
{};

/// Sends the start of a committed placement.
struct start_task_action
{
    /// The attempt.
    attempt_id attempt;
    /// The worker, and the permit that the start quotes.
    job_placement placement;
    /// The row.
    row_id row;
    /// The resources that it may use.
    resources demand;
    /// Run time; below zero: until stopped.
    std::chrono::milliseconds run{0};
    /// The checkpoint to resume from; empty: from the beginning.
    std::string checkpoint;
    /// The table revision of the placement.
    table_revision table;
};

/// Asks the agent to checkpoint and stop an attempt.
struct stop_task_action
{
    /// The attempt.
    attempt_id attempt;
    /// Where it runs.
    worker_id worker;
};

/// Notifies the agent that the end of an attempt is recorded, so that it may
/// drop its own record of it.
struct forget_task_action
{
    /// The attempt.
    attempt_id attempt;
    /// Where it ran.
    worker_id worker;
};

/// Queries the agent for the state of an attempt. The agent reads it from the
/// worker anew.
struct query_task_action
{
    /// The attempt.
    attempt_id attempt;
    /// Where it was placed.
    worker_id worker;
    /// The permit that its start quoted.
    permit quoted;
    /// Repeated in the answer, so that answers to earlier queries are
    /// recognized and not taken as proof.
    std::uint64_t nonce = 0;
};

/// Notifies the caller that its submission or cancellation is recorded.
struct recorded_action
{
    /// The job.
    job_id job;
    /// The job's state when the request was accepted.
    job_state state = job_state::queued;
};

/// Another holder has written the shard: this one must release it.
struct shard_lost_action
{
    /// Why.
    std::string reason;
};

/// An action for the shard's holder to carry out.
using ledger_action = std::variant<
    write_shard_action, read_shard_action, start_task_action, stop_task_action,
    forget_task_action, query_task_action, recorded_action, shard_lost_action>;

/// The store's result for a write.
enum class write_result
{
    /// It took effect.
    committed,
    /// A compare failed on the shard's value or its holder.
    conflict,
    /// A compare failed on the table only.
    table_changed,
    /// The write was not sent.
    not_sent,
    /// No answer: the write may have taken effect, or still may.
    unknown
};

/// State of an attempt as its agent reads it from the worker.
enum class attempt_state : std::uint8_t
{
    /// It runs on the worker.
    running,
    /// It ended successfully.
    finished,
    /// It ended with a failure.
    failed,
    /// It was stopped with a checkpoint.
    stopped,
    /// Its lease expired and the worker stopped it.
    lapsed,
    /// The agent refused its start.
    refused,
    /// It was never admitted nor run, and its permit has expired.
    never_ran,
    /// The worker does not have it; whether it ever ran is unknown.
    absent
};

/// An agent's report on an attempt.
struct attempt_report
{
    /// The attempt.
    attempt_id attempt;
    /// The worker that the agent runs beside.
    worker_id worker;
    /// The attempt's state.
    attempt_state state = attempt_state::running;
    /// The last checkpoint; empty where there is none.
    std::string checkpoint;
    /// The reason, in one line.
    std::string reason;
    /// The nonce of the query that it answers; zero for unsolicited reports.
    std::uint64_t nonce = 0;
    /// Peak resource usage observed; zeros where unknown.
    resources peak;
    /// Run time; zero where unknown.
    std::chrono::milliseconds ran{0};
};

/// No worker can take the job now; it stays queued.
struct placement_deferred
{};

/// No worker can ever run the job.
struct placement_impossible
{
    /// Why, in one line.
    std::string reason;
};

/// The worker chosen for a job, or why there is none.
using placement_result =
    std::variant<job_placement, placement_deferred, placement_impossible>;

/// Chooses the worker for a job's next attempt.
using place_hook =
    std::function<placement_result(job_record const&, monotonic_time)>;

/// Functions that the embedding program provides.
struct ledger_hooks
{
    /// Chooses a worker.
    place_hook place;
    /// Wall clock in milliseconds since 1970-01-01 UTC; only used for the
    /// history. May be empty.
    std::function<std::int64_t()> wall_clock_ms;
};

/// Limits and intervals of a shard.
struct ledger_limits
{
    /// Failed attempts after which the job has failed.
    std::uint32_t max_failures = 3;
    /// Maximum number of jobs in the shard, including ended ones.
    std::size_t max_jobs = 4000;
    /// Ended jobs kept for later queries.
    std::size_t ended_jobs_kept = 500;
    /// Events kept in each job's history.
    std::size_t history_kept = 12;
    /// Maximum number of placements decided in one call of tick().
    std::size_t placements_per_round = 64;
    /// Time without a report after which an attempt is queried.
    std::chrono::milliseconds query_after{3000};
    /// Interval of the check for attempts without recent reports.
    std::chrono::milliseconds silence_check_interval{500};
};

/// The shard that records a job; shards are numbered from 1.
shard_id shard_of(job_id const& job, std::uint32_t shard_count);

/// The jobs of one shard. An action with an outside effect is emitted only
/// after the write that records its cause is in the store.
class ledger_shard
{
public:
    ledger_shard(
        shard_id id, incarnation self, ledger_limits const& limits,
        ledger_hooks hooks);

    /// Loads the stored snapshot; called once, after the shard was acquired.
    void load(shard_snapshot const& snapshot, monotonic_time now);
    /// Applies a newer table; older revisions are ignored.
    void adopt_table(table_policy const& policy);
    /// Adds a job. For a known id it only confirms the job's current state.
    /// \return an error where the shard is not held or full, or the demand is
    /// negative.
    std::optional<error> submit(job_request const& request, monotonic_time now);
    /// Requests that a job be cancelled.
    /// \return false where it is unknown or the shard is lost.
    bool cancel(job_id const& job, monotonic_time now);
    /// Requests that a job's current attempt be stopped at a checkpoint and
    /// the job be queued again.
    void evict(job_id const& job, std::string const& reason);
    /// Applies an operator's decision on a parked job: run it again, or end it
    /// as failed. \return false where the job is unknown or not parked.
    bool resolve_parked(job_id const& job, bool run_again);
    /// Processes the store's result for the write in flight.
    void on_write_result(write_result answer, monotonic_time now);
    /// Processes the answer to a read that followed a write of unknown outcome.
    void on_read(shard_snapshot const& snapshot, monotonic_time now);
    /// Processes an agent's report on an attempt.
    void on_report(attempt_report const& report, monotonic_time now);
    /// An acknowledgement was sent to the worker, which extends the leases of
    /// its attempts.
    void on_acknowledged(worker_id const& worker, monotonic_time now);
    /// Sets the minimum interval between two writes, so that all shards
    /// together stay within the store's write rate. Changes made in between
    /// share the next write.
    void set_write_interval(duration interval) { write_interval_ = interval; }
    /// Runs everything that is due. \return the actions to carry out.
    std::vector<ledger_action> tick(monotonic_time now);

    /// The shard's number.
    shard_id id() const { return id_; }
    /// A job in its current state, recorded or not; null where unknown.
    job_record const* find(job_id const& job) const;
    /// All jobs in their current states, recorded or not.
    std::map<job_id, job_record> const& jobs() const { return jobs_; }
    /// True where all changes are recorded in the store.
    bool is_settled() const { return !changed_ && !writing_; }

private:
    struct tracked_attempt
    {
        monotonic_time tracked_since;
        monotonic_time last_report_at;
        std::uint64_t nonce = 0;
        monotonic_time queried_at;
    };

    void set_state(job_record& job, job_state state, std::string const& reason);
    void requeue(job_record& job, std::string const& reason);
    void reply_to_unknown_attempt(attempt_report const& report);
    void place_waiting(monotonic_time now);
    void place(job_record& job, job_placement const& where);
    void place_rows(bool urgent, monotonic_time now, std::size_t& remaining);
    void withdraw(std::set<job_id>& placements);
    void commit_in_flight(monotonic_time now);
    void stop_in_closed_domains();
    void reclaim_silent(monotonic_time now);
    void query_silent(monotonic_time now);
    void remove_old_ended_jobs();
    void apply_report(
        job_record& job, attempt_report const& report, monotonic_time now);
    void requeue_or_park(job_record& job, std::string const& reason);
    void on_failed(job_record& job, std::string const& reason);
    void
    finish_job(job_record& job, job_state state, std::string const& reason);
    void request_stop(job_record& job, std::string const& reason);
    void emit_effect(ledger_action const& effect, monotonic_time now);
    void write_if_due(monotonic_time now);
    void place_row(
        std::set<job_id>& waiting, monotonic_time now, std::size_t& remaining);
    bool is_valid_proof(
        job_record const& job, attempt_report const& report,
        monotonic_time now) const;

    shard_id id_;
    incarnation self_;
    ledger_limits limits_;
    ledger_hooks hooks_;
    table_policy policy_;
    bool loaded_ = false;
    bool lost_ = false;
    bool changed_ = false;
    duration write_interval_{0};
    monotonic_time last_write_at_;
    monotonic_time next_silence_check_at_;
    bool writing_ = false;
    bool compare_failed_ = false;
    std::uint64_t write_sequence_ = 0;
    std::uint64_t next_nonce_ = 1;
    monotonic_time taken_over_at_;
    std::map<job_id, job_record> jobs_;
    std::map<row_id, std::set<job_id>> queued_;
    std::set<job_id> held_;
    /// Jobs with placements that are not yet sent to the store.
    std::set<job_id> placements_waiting_;
    /// Jobs with placements in the write in flight.
    std::set<job_id> placements_in_flight_;
    /// The table revision by which these placements were decided; empty where
    /// there are none.
    std::optional<table_revision> table_in_flight_;
    /// The snapshot in flight, kept so that it can be sent again unchanged.
    shard_snapshot snapshot_in_flight_;
    /// Actions to emit once the write in flight has been committed.
    std::vector<ledger_action> effects_in_flight_;
    /// Actions to emit once the next write has been committed.
    std::vector<ledger_action> effects_waiting_;
    std::vector<ledger_action> actions_;
    std::map<job_id, tracked_attempt> tracked_;
    std::map<worker_id, monotonic_time> acknowledged_;
    std::deque<job_id> ended_order_;
};

} // namespace sycamorespar

#endif
