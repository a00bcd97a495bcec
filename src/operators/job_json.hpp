/// Jobs as JSON, for submitters and operators.
#ifndef SYCAMORESPAR_OPERATORS_JOB_JSON_HPP
#define SYCAMORESPAR_OPERATORS_JOB_JSON_HPP

#include "libsycamorespar/job.hpp"
#include "libsycamorespar/result.hpp"

#include <string>
#include <vector>

namespace sycamorespar::operators {

/// Parses {"job", "row", "millicores", "memory_mib", "accelerators", "run_ms"}.
/// The id may be absent.
/// \return the request; or an error that names the invalid member.
result<job_request> job_request_from_json(std::string const& text);

/// Encodes a request.
std::string job_request_to_json(job_request const& from);

/// Encodes a job with its history.
std::string job_to_json(job_record const& from);

/// Encodes jobs without their histories.
std::string jobs_to_json(std::vector<job_record> const& from);

} // namespace sycamorespar::operators

#endif
