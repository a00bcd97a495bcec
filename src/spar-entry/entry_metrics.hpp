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

/// Requests answered, by the outcome that was reported to the caller.
struct outcome_counts
{
    /// Answered with the upstream's response.
    std::uint64_t ran = 0;
    /// Certainly not run.
    std::uint64_t not_run = 0;
    /// May or may not have run.
    std::uint64_t unknown = 0;
};

/// Values shown on the metrics page.
struct entry_statistics
{
    /// Requests answered, by outcome.
    outcome_counts outcomes;
    /// The router's counters.
    router_counts routed;
    /// Requests not answered yet.
    std::size_t open_requests = 0;
    /// Agents with a recent heartbeat.
    std::size_t agents = 0;
    /// Workers in quarantine.
    std::size_t quarantined = 0;
    /// Ledger shards held by lease.
    std::size_t shards = 0;
    /// Jobs in those shards.
    std::vector<job_record> jobs;
    /// Revision of the table in force.
    table_revision revision;
    /// True while the registration's lease has certainly not expired.
    bool lease_live = false;
};

/// Renders the page in the Prometheus text format.
std::string render_entry_metrics(entry_statistics const& from);

} // namespace sycamorespar

#endif
