/// One shard of the batch ledger, as its holder decides about it.
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

/// Writes the image, if nothing that it rests on has changed.
struct write_shard_action
{
    /// What to write.
    shard_snapshot snapshot;
    /// The table by which its placements were decided; empty where it has
    /// none, so that the write need not compare the table.
    std::optional<table_revision> table;
};

/// Reads the shard again, to learn what became of a write.
struct read_shard_action
{};

/// Sends the start of a committed placement.
struct start_task_action
{
    /// The attempt.
    attempt_id attempt;
    /// Where, and by which permit.
    job_placement placement;
    /// The row.
    row_id row;
    /// What it may use.
    resources demand;
    /// How long it runs; below zero until stopped.
    std::chrono::milliseconds run{0};
    /// Where it resumes.
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

/// Tells the agent that the end of an attempt is recorded.
struct forget_task_action
{
    /// The attempt.
    attempt_id attempt;
    /// Where it ran.
    worker_id worker;
};

/// Asks the agent what it knows of an attempt, by a fresh look at the worker.
struct query_task_action
{
    /// The attempt.
    attempt_id attempt;
    /// Where it was placed.
    worker_id worker;
    /// The permit that its start quoted.
    permit quoted;
    /// Quoted by the answer, so that an old answer proves nothing.
    std::uint64_t nonce = 0;
};

/// Tells whoever submitted or cancelled that it is recorded.
struct recorded_action
{
    /// The job.
    job_id job;
    /// Where it stands.
    job_state state = job_state::queued;
};

/// The shard's holder must let go: its write lost against another one.
struct shard_lost_action
{
    /// Why.
    std::string reason;
};

/// What the holder is to do next.
using ledger_action = std::variant<
    write_shard_action, read_shard_action, start_task_action, stop_task_action,
    forget_task_action, query_task_action, recorded_action, shard_lost_action>;

/// What the store said to a write.
enum class write_result
{
    /// It took effect.
    committed,
    /// A compare failed on the shard's value or its holder.
    conflict,
    /// A compare failed on the table only.
    table_changed,
    /// It was never sent.
    not_sent,
    /// No answer: it may have taken effect, or still may.
    unknown
};

/// How an attempt stands, by what its agent reads from the worker.
enum class attempt_state : std::uint8_t
{
    /// The worker has it and it runs.
    running,
    /// It ended well.
    finished,
    /// It ended badly.
    failed,
    /// It was stopped with a checkpoint.
    stopped,
    /// Its lease lapsed and the worker stopped it.
    lapsed,
    /// The agent refused its start.
    refused,
    /// Neither agent nor worker ever had it, and its permit is dead.
    never_ran,
    /// The worker does not have it; whether it ever ran can't be told.
    absent
};

/// What an agent says of an attempt.
struct attempt_report
{
    /// The attempt.
    attempt_id attempt;
    /// The worker that the agent runs beside.
    worker_id worker;
    /// How the attempt stands.
    attempt_state state = attempt_state::running;
    /// The last checkpoint; empty where there is none.
    std::string checkpoint;
    /// Why, in one line.
    std::string reason;
    /// The query that it answers; zero where nobody asked.
    std::uint64_t nonce = 0;
    /// The largest amounts that it was seen to use; zeros where unknown.
    resources peak;
    /// How long it ran; zero where unknown.
    std::chrono::milliseconds ran{0};
};

/// The job must wait for a place.
struct placement_deferred
{};

/// The job can never run.
struct placement_impossible
{
    /// Why, in one line.
    std::string reason;
};

/// Where a job runs next, or why nowhere.
using placement_result =
    std::variant<job_placement, placement_deferred, placement_impossible>;

/// Chooses where a job runs next.
using place_hook =
    std::function<placement_result(job_record const&, monotonic_time)>;

/// What varies between the daemon, the tests and an embedder.
struct ledger_hooks
{
    /// Chooses a worker.
    place_hook place;
    /// Milliseconds since 1970, for the history only.
    std::function<std::int64_t()> wall_clock_ms;
};

/// Sizes and limits of a shard.
struct ledger_limits
{
    /// Attempts that may end badly before the job has failed.
    std::uint32_t max_failures = 3;
    /// Jobs in the shard, ended ones included.
    std::size_t max_jobs = 4000;
    /// Ended jobs that are kept for people to look up.
    std::size_t ended_jobs_kept = 500;
    /// Steps kept of each job's history.
    std::size_t history_kept = 12;
    /// Placements decided in one round.
    std::size_t placements_per_round = 64;
    /// A silent attempt is asked for after this.
    std::chrono::milliseconds query_after{3000};
    /// How often all held attempts are looked through for silence.
    std::chrono::milliseconds silence_check_interval{500};
};

/// The shard that records a job, out of shards numbered from 1.
shard_id shard_of(job_id const& job, std::uint32_t shard_count);

/// Jobs of one shard. Nothing leaves it before the write that records it.
class ledger_shard
{
public:
    ledger_shard(
        shard_id id, incarnation self, ledger_limits const& limits,
        ledger_hooks hooks);

    /// Starts from what the store holds; called once, after the takeover.
    void load(shard_snapshot const& snapshot, monotonic_time now);
    /// Takes a newer table into account.
    void adopt_table(table_policy const& policy);
    /// Records a new job; an id that is known is answered as it stands.
    /// \return an error where the shard can take no more.
    std::optional<error> submit(job_request const& request, monotonic_time now);
    /// Asks for a job to be cancelled. \return false where it is unknown.
    bool cancel(job_id const& job, monotonic_time now);
    /// Asks for an attempt to be stopped and resumed elsewhere.
    void evict(job_id const& job, std::string const& reason);
    /// A parked job, decided by a person: run again, or end it.
    bool resolve_parked(job_id const& job, bool run_again);
    /// The store answered a write.
    void on_write_result(write_result answer, monotonic_time now);
    /// The store answered a read, after a write of unknown fate.
    void on_read(shard_snapshot const& snapshot, monotonic_time now);
    /// An agent says how an attempt stands.
    void on_report(attempt_report const& report, monotonic_time now);
    /// An acknowledgement that prolongs attempts was sent to the worker.
    void on_acknowledged(worker_id const& worker, monotonic_time now);
    /// Sets the least time between two writes, so that all shards together
    /// stay within the store's rate; changes meanwhile share the next write.
    void set_write_interval(duration interval) { write_interval_ = interval; }
    /// Decides what is due and collects what is to be done.
    std::vector<ledger_action> tick(monotonic_time now);

    /// The shard's number.
    shard_id id() const { return id_; }
    /// A job as decided here, recorded or not; null where unknown.
    job_record const* find(job_id const& job) const;
    /// All jobs as decided here.
    std::map<job_id, job_record> const& jobs() const { return jobs_; }
    /// True where everything decided is recorded.
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
    /// Placements decided and not yet sent to the store.
    std::set<job_id> placements_waiting_;
    /// Placements in the write that is in flight.
    std::set<job_id> placements_in_flight_;
    /// The table by which they were decided; empty where there are none.
    std::optional<table_revision> table_in_flight_;
    /// The write in flight, kept whole so that it can be sent again.
    shard_snapshot snapshot_in_flight_;
    /// What may be said once the write in flight is recorded.
    std::vector<ledger_action> effects_in_flight_;
    /// What may be said once the next write is recorded.
    std::vector<ledger_action> effects_waiting_;
    std::vector<ledger_action> actions_;
    std::map<job_id, tracked_attempt> tracked_;
    std::map<worker_id, monotonic_time> acknowledged_;
    std::deque<job_id> ended_order_;
};

} // namespace sycamorespar

#endif
