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

/// Where a job stands.
enum class job_state : std::uint8_t
{
    /// Waits for a place.
    queued,
    /// Placed; its start may have been sent.
    placed,
    /// The agent has said that it runs.
    running,
    /// Asked to checkpoint and stop.
    stopping,
    /// Ended well.
    finished,
    /// Ended badly on too many attempts.
    failed,
    /// Cancelled by its owner.
    cancelled,
    /// Its outcome is unknown and it must not be repeated: a person decides.
    parked,
    /// It can never run; the reason says why.
    refused
};

/// A name for people, logs and counters.
char const* to_string(job_state state);

/// True where the job holds no worker and never will again by itself.
bool is_final(job_state state);

/// True where an attempt may hold a worker.
bool is_held(job_state state);

/// A step in a job's life.
struct job_event
{
    /// The state that it entered.
    job_state state = job_state::queued;
    /// Which attempt it concerned; zero before the first.
    attempt_number attempt;
    /// Milliseconds since 1970 by the writer's wall clock, for people only.
    std::int64_t at_ms = 0;
    /// Why, in one line.
    std::string reason;
};

/// What a caller asks to be run.
struct job_request
{
    /// The id; unique over all shards.
    job_id id;
    /// The batch class.
    row_id row;
    /// What it says that it needs.
    resources demand;
    /// How long it says that it runs; below zero until it is stopped.
    std::chrono::milliseconds run{0};
    /// True where running it twice does no harm.
    bool repeatable = false;
};

/// Where an attempt was placed.
struct job_placement
{
    /// The worker.
    worker_id worker;
    /// The failure domain of the worker.
    failure_domain_id domain;
    /// The permit that its start quotes.
    permit quoted;
    /// What is reserved for it there.
    resources reserved;
    /// Silence after which it may be run elsewhere. Fixed with the placement:
    /// holder and agent must count by the same number.
    std::chrono::seconds reclaim_after{0};
};

/// A job in the ledger.
struct job_record
{
    /// What was asked.
    job_request request;
    /// Where it stands.
    job_state state = job_state::queued;
    /// The last attempt that was placed; zero before the first.
    attempt_number attempt;
    /// Where that attempt was placed.
    job_placement placement;
    /// Where the next attempt resumes; empty for the start.
    std::string checkpoint;
    /// Attempts that ended badly.
    std::uint32_t failures = 0;
    /// True where the owner asked for it to be cancelled.
    bool cancel_requested = false;
    /// Its last steps, oldest first.
    std::vector<job_event> history;
};

/// What is written to the store for a shard.
struct shard_snapshot
{
    /// Tells this write from all others.
    std::uint64_t write_sequence = 0;
    /// The life of the entry that wrote it.
    incarnation writer;
    /// All jobs of the shard.
    std::vector<job_record> jobs;
};

} // namespace sycamorespar

#endif
