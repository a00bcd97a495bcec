/// The metrics page of spar-scheduler.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_METRICS_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_METRICS_HPP

#include "libsycamorespar/graph_scheduler.hpp"
#include "records/record_writer.hpp"
#include "spar-scheduler/caller_api.hpp"

#include <cstdint>
#include <string>

namespace sycamorespar {

/// Where the page's figures are kept.
struct scheduler_metrics_source
{
    /// What callers were told.
    caller_counts const* callers = nullptr;
    /// How long the store took to accept jobs.
    latency_histogram const* submissions = nullptr;
    /// The version of the configuration in force; zero for none.
    std::uint64_t configuration_version = 0;
    /// How long ago the store was last heard of by the watch of it.
    duration configuration_age{0};
    /// This process holds the office.
    bool is_leader = false;
    /// How often it has gained it.
    std::uint64_t terms = 0;
    /// The store can't be reached at present.
    bool is_store_lost = false;
    /// Calls to the store.
    std::uint64_t store_calls = 0;
    /// The scheduler; null where this process holds no office.
    graph_scheduler const* scheduler = nullptr;
    /// Its writer; null likewise.
    record_writer const* writer = nullptr;
};

/// The page, as text.
std::string render_scheduler_metrics(
    scheduler_metrics_source const& from, monotonic_time now);

} // namespace sycamorespar

#endif
