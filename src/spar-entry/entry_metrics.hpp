/// The entry's metrics page.
#ifndef SYCAMORESPAR_SPAR_ENTRY_ENTRY_METRICS_HPP
#define SYCAMORESPAR_SPAR_ENTRY_ENTRY_METRICS_HPP

#include "libsycamorespar/job.hpp"
#include "libsycamorespar/request_router.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar {

/// Requests answered, by what their callers were told.
struct outcome_counts
{
    /// With the upstream's answer.
    std::uint64_t ran = 0;
    /// Proved not run.
    std::uint64_t not_run = 0;
    /// Unknown.
    std::uint64_t unknown = 0;
};

/// What the page is made of.
struct entry_statistics
{
    /// Requests answered.
    outcome_counts outcomes;
    /// What the router did.
    router_counts routed;
    /// Requests not answered yet.
    std::size_t open_requests = 0;
    /// Agents heard within their silence limit.
    std::size_t agents = 0;
    /// Workers in quarantine.
    std::size_t quarantined = 0;
    /// Ledger shards held.
    std::size_t shards = 0;
    /// Jobs of those shards.
    std::vector<job_record> jobs;
    /// The table in force.
    table_revision revision;
    /// True while the registration's lease is certain.
    bool lease_live = false;
};

/// The page in the usual text format.
std::string render_entry_metrics(entry_statistics const& from);

} // namespace sycamorespar

#endif
