/// Stores, finds and cancels jobs; any scheduler may call these functions.
#ifndef SYCAMORESPAR_RECORDS_JOB_STORE_HPP
#define SYCAMORESPAR_RECORDS_JOB_STORE_HPP

#include "common/kv_store.hpp"
#include "libsycamorespar/graph_progress.hpp"
#include "records/graph_json.hpp"

#include <functional>
#include <optional>
#include <variant>

namespace sycamorespar {

/// Outcome of storing a submitted job.
enum class acceptance
{
    /// It is stored, by this call or an earlier one.
    accepted,
    /// This call certainly stored nothing and never will.
    refused,
    /// It may be stored; the caller should submit the same job again.
    unknown
};

/// The result of store_job().
struct stored_job
{
    /// The outcome.
    acceptance outcome = acceptance::unknown;
    /// The revision of the job's records; zero where another call stored it.
    kv_revision revision = 0;
};

/// Outcome of a request to cancel a job.
enum class cancellation
{
    /// The request is stored.
    accepted,
    /// The job has ended, so there is nothing left to cancel.
    has_ended,
    /// There is no such job.
    no_such_job,
    /// This call certainly stored nothing.
    refused,
    /// The request may be stored.
    unknown
};

/// A name for logs.
char const* to_string(cancellation stored);

/// Stores an accepted job. A stored job of the same id counts as this one.
void store_job(
    kv_store const& store, accepted_job const& job,
    std::function<void(stored_job)> on_done);

/// Reads a job's phase; none where the store has no such job.
void find_phase(
    kv_store const& store, job_id const& job,
    std::function<void(result<std::optional<job_phase>>)> on_done);

/// Stores a request to cancel a job.
void store_cancellation(
    kv_store const& store, job_id const& job,
    std::function<void(cancellation)> on_done);

} // namespace sycamorespar

#endif
