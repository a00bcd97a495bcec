/// Batch jobs as the ledger records them.
#ifndef SYCAMORESPAR_JOB_HPP
#define SYCAMORESPAR_JOB_HPP

#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/permit.hpp"
#include "libsycamorespar/resources.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar {

/// The state of a job.
enum class job_state : std::uint8_t
{
    /// Waits to be placed.
    queued,
    /// Placed on a worker; the start request may have been sent.
    placed,
    /// Running, according to the agent.
    running,
    /// Requested to checkpoint and stop.
    stopping,
    /// Completed successfully.
    finished,
    /// Failed on too many attempts.
    failed,
    /// Cancelled by its owner.
    cancelled,
    /// The outcome is unknown and the job must not run twice: an operator has
    /// to decide.
    parked,
    /// Can never run; the reason says why.
    refused
};

/// The state's name for people, logs and counters.
char const* to_string(job_state state);

/// True if the job has ended: no attempt holds a worker and no further one
/// starts.
bool is_final(job_state state);

/// True if an attempt may hold a worker.
bool is_held(job_state state);

/// A state transition of a job.
struct job_event
{
    /// The new state.
    job_state state = job_state::queued;
    /// The attempt concerned; zero before the first.
    attempt_number attempt;
    /// Milliseconds since 1970 by the writer's wall clock, for display only.
    std::int64_t at_ms = 0;
    /// The reason, in one line.
    std::string reason;
};

/// A caller's request to run a job.
struct job_request
{
    /// The job's id; unique over all shards.
    job_id id;
    /// The batch class.
    row_id row;
    /// The resources that the job declares it needs.
    resources demand;
    /// The declared run time; negative if it runs until it is stopped.
    std::chrono::milliseconds run{0};
    /// True if it is safe to run the job twice.
    bool repeatable = false;
};

/// Where an attempt was placed.
struct job_placement
{
    /// The worker.
    worker_id worker;
    /// The failure domain of the worker.
    failure_domain_id domain;
    /// The permit that the start request quotes.
    permit quoted;
    /// The resources reserved on the worker.
    resources reserved;
    /// Time without contact after which the job may be run elsewhere. Fixed
    /// with the placement, because the entry and the agent must use the same
    /// value.
    std::chrono::seconds reclaim_after{0};
};

/// A job in the ledger.
struct job_record
{
    /// The caller's request.
    job_request request;
    /// The current state.
    job_state state = job_state::queued;
    /// The last attempt that was placed; zero before the first.
    attempt_number attempt;
    /// The placement of that attempt.
    job_placement placement;
    /// The checkpoint from which the next attempt resumes; empty to start from
    /// the beginning.
    std::string checkpoint;
    /// Number of failed attempts.
    std::uint32_t failures = 0;
    /// True if the owner has requested to cancel the job.
    bool cancel_requested = false;
    /// The latest state transitions, oldest first.
    std::vector<job_event> history;
};

/// The stored state of a shard.
struct shard_snapshot
{
    /// Identifies this write among all writes of the writer.
    std::uint64_t write_sequence = 0;
    /// The incarnation of the entry that wrote it.
    incarnation writer;
    /// All jobs of the shard.
    std::vector<job_record> jobs;
};

} // namespace sycamorespar

#endif
