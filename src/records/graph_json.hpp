/// JSON encoding of jobs and their progress in the store.
#ifndef SYCAMORESPAR_RECORDS_GRAPH_JSON_HPP
#define SYCAMORESPAR_RECORDS_GRAPH_JSON_HPP

#include "libsycamorespar/graph_progress.hpp"
#include "libsycamorespar/job_graph.hpp"
#include "libsycamorespar/result.hpp"
#include "libsycamorespar/runner_messages.hpp"

#include <string>

namespace sycamorespar {

/// An accepted job.
struct accepted_job
{
    /// The job.
    job_graph graph;
    /// The leader's term, as known to the scheduler that accepted the job.
    scheduler_term accepted_in;

    bool operator==(accepted_job const&) const = default;
};

/// Encodes the record of an accepted job.
std::string write_job(accepted_job const& job);
/// Decodes it; an error of step "record.job" where it is malformed.
result<accepted_job> read_job(std::string const& text);

/// Encodes the record of a job's progress.
std::string write_progress(graph_snapshot const& progress);
/// Decodes it; an error of step "record.progress" where it is malformed.
result<graph_snapshot> read_progress(std::string const& text);

} // namespace sycamorespar

#endif
