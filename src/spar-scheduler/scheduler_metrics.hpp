/// The metrics page of spar-scheduler.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_METRICS_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_METRICS_HPP

#include "libsycamorespar/graph_scheduler.hpp"
#include "records/record_writer.hpp"
#include "spar-scheduler/caller_api.hpp"

#include <cstdint>
#include <string>

namespace sycamorespar {

/// The values that the metrics page shows.
struct scheduler_metrics_source
{
    /// Callers' requests by outcome.
    caller_counts const* callers = nullptr;
    /// Time that the store took to accept jobs.
    latency_histogram const* submissions = nullptr;
    /// The active version of the configuration; zero for none.
    std::uint64_t configuration_version = 0;
    /// Time since the watch of the configuration was last answered.
    duration configuration_age{0};
    /// True where this process is the leader.
    bool is_leader = false;
    /// How often it became the leader.
    std::uint64_t terms = 0;
    /// True while the store is unreachable.
    bool is_store_lost = false;
    /// Calls to the store so far.
    std::uint64_t store_calls = 0;
    /// The scheduler; null where this process isn't the leader.
    graph_scheduler const* scheduler = nullptr;
    /// Its writer of records; null where this process isn't the leader.
    record_writer const* writer = nullptr;
};

/// Renders the metrics page as text.
std::string render_scheduler_metrics(
    scheduler_metrics_source const& from, monotonic_time now);

} // namespace sycamorespar

#endif
