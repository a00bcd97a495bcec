/// A cancel request shares the prefix of the jobs, so that one watch covers
/// both.
#include "records/record_keys.hpp"

#include <string_view>

namespace sycamorespar {

namespace {

constexpr std::string_view cancel_ending = ".cancel";

} // namespace

std::string job_key(job_id const& job)
{
    return job_prefix + job.value;
}

std::string cancel_key(job_id const& job)
{
    return job_key(job) + std::string(cancel_ending);
}

std::string progress_key(job_id const& job)
{
    return progress_prefix + job.value;
}

std::string worker_key(worker_id const& worker)
{
    return worker_prefix + worker.value;
}

std::optional<std::string>
after_prefix(std::string const& key, std::string const& prefix)
{
    if (!key.starts_with(prefix) || key.size() == prefix.size())
        return std::nullopt;
    return key.substr(prefix.size());
}

std::optional<job_key_parts> read_job_key(std::string const& key)
{
    auto name = after_prefix(key, job_prefix);
    if (!name)
        return std::nullopt;
    bool const is_cancel = name->ends_with(cancel_ending);
    if (is_cancel)
        name->resize(name->size() - cancel_ending.size());
    if (name->empty())
        return std::nullopt;
    return job_key_parts{job_id{*name}, is_cancel};
}

} // namespace sycamorespar
