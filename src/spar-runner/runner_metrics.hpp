/// The metrics page of spar-runner.
#ifndef SYCAMORESPAR_SPAR_RUNNER_RUNNER_METRICS_HPP
#define SYCAMORESPAR_SPAR_RUNNER_RUNNER_METRICS_HPP

#include "libsycamorespar/pace_control.hpp"
#include "libsycamorespar/run_tracker.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace sycamorespar {

/// Counts of a runner's calls to its worker.
struct runner_counts
{
    /// Starts, by the worker's answer.
    std::map<call_outcome, std::uint64_t> starts;
    /// Stops, by the worker's answer.
    std::map<call_outcome, std::uint64_t> stops;
    /// Answered polls.
    std::uint64_t polls = 0;
    /// Failed polls.
    std::uint64_t failed_polls = 0;
    /// Changes of pace sent to the worker.
    std::uint64_t paces = 0;
    /// How often the worker refused the token.
    std::uint64_t refused_tokens = 0;
};

/// Renders the metrics page as text.
std::string render_runner_metrics(
    runner_counts const& counts, run_tracker const& tracker,
    pace_control const& pacing, std::uint64_t answered_reports,
    monotonic_time now);

} // namespace sycamorespar

#endif
