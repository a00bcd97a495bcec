/// Commands on batch jobs, for submitters and operators.
#ifndef SYCAMORESPAR_OPERATORS_JOB_COMMANDS_HPP
#define SYCAMORESPAR_OPERATORS_JOB_COMMANDS_HPP

#include "libsycamorespar/job.hpp"
#include "operators/command_result.hpp"

namespace sycamorespar {

/// Submits a job; safe to repeat with the same id.
command_result submit_job(
    entry_call const& call, job_request const& job, output_format format);

/// Prints a job with its history.
command_result
show_job(entry_call const& call, job_id const& job, output_format format);

/// Cancels a job.
command_result
cancel_job(entry_call const& call, job_id const& job, output_format format);

/// Resolves a parked job: runs it again or gives it up.
command_result resolve_job(
    entry_call const& call, job_id const& job, bool run_again,
    output_format format);

/// Prints the jobs that the entry holds.
command_result list_jobs(entry_call const& call, output_format format);

} // namespace sycamorespar

#endif
