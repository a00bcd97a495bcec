/// The store's keys for jobs and workers.
#ifndef SYCAMORESPAR_RECORDS_RECORD_KEYS_HPP
#define SYCAMORESPAR_RECORDS_RECORD_KEYS_HPP

#include "libsycamorespar/ids.hpp"

#include <optional>
#include <string>

namespace sycamorespar {

/// Jobs that have not ended, and requests to cancel them.
inline constexpr char const* job_prefix = "job/";
/// The progress of jobs; retained for some time after their end.
inline constexpr char const* progress_prefix = "progress/";
/// Workers on which runs may have been started.
inline constexpr char const* worker_prefix = "worker/";

/// The key of an accepted job; written once.
std::string job_key(job_id const& job);
/// The key of a request to cancel a job.
std::string cancel_key(job_id const& job);
/// The key of a job's progress.
std::string progress_key(job_id const& job);
/// The key of a worker.
std::string worker_key(worker_id const& worker);

/// The parts of a key under the jobs' prefix.
struct job_key_parts
{
    /// The job.
    job_id job;
    /// True for a request to cancel it.
    bool is_cancel = false;
};

/// Parses a key under the jobs' prefix; none for any other key.
std::optional<job_key_parts> read_job_key(std::string const& key);
/// The part after a prefix; none where it is empty or the key doesn't begin
/// with the prefix.
std::optional<std::string>
after_prefix(std::string const& key, std::string const& prefix);

} // namespace sycamorespar

#endif
