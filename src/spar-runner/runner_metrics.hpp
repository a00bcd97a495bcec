/// The metrics page of spar-runner.
#ifndef SYCAMORESPAR_SPAR_RUNNER_RUNNER_METRICS_HPP
#define SYCAMORESPAR_SPAR_RUNNER_RUNNER_METRICS_HPP

#include "libsycamorespar/run_keeper.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace sycamorespar {

/// What a runner counts of its calls to the worker.
struct runner_counts
{
    /// Starts, by what the worker said.
    std::map<call_outcome, std::uint64_t> starts;
    /// Stops, by what the worker said.
    std::map<call_outcome, std::uint64_t> stops;
    /// Looks that were answered.
    std::uint64_t polls = 0;
    /// Looks that were not.
    std::uint64_t failed_polls = 0;
    /// Changes of pace that were sent.
    std::uint64_t paces = 0;
    /// Times that the worker refused the token.
    std::uint64_t refused_tokens = 0;
};

/// The page, as text.
std::string render_runner_metrics(
    runner_counts const& counts, run_keeper const& tracker,
    std::uint64_t answered_reports, monotonic_time now);

} // namespace sycamorespar

#endif
