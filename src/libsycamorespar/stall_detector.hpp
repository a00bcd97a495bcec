/// Detects runs without progress and workers on which runs are slow.
#ifndef SYCAMORESPAR_STALL_DETECTOR_HPP
#define SYCAMORESPAR_STALL_DETECTOR_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/job_graph.hpp"

#include <chrono>
#include <cstdint>
#include <map>

namespace sycamorespar {

/// Thresholds of the detector.
struct stall_limits
{
    /// A run without progress for this long is stalled. Longer than a second,
    /// because progress may be a second old after polls of the worker were
    /// lost.
    std::chrono::milliseconds stall_time{1600};
    /// Least time between two progress values that a speed is computed from.
    std::chrono::milliseconds sample_interval{300};
    /// Weight of a new sample in the worker's smoothed speed.
    double sample_weight = 0.2;
    /// Time without a sample after which the worker's speed begins to recover.
    std::chrono::milliseconds recovery_delay{1000};
    /// Increase of the worker's speed per second of recovery, so that a slow
    /// worker gets runs again.
    double recovery_per_second = 0.1;
    /// A worker below this part of the expected speed is slow.
    double slow_threshold = 0.4;
};

/// Tracks the reported progress of the runs of one worker.
class stall_detector
{
public:
    explicit stall_detector(stall_limits const& limits = {});

    /// Processes the reported progress of a run that is not throttled.
    /// \param percent  its progress.
    /// \param estimate  the usual run time of the task.
    /// \return true if the run is stalled.
    bool on_progress(
        run_id const& run, std::uint32_t percent,
        std::chrono::milliseconds estimate, monotonic_time now);
    /// Drops a run that has ended or is throttled.
    void forget(run_id const& run);
    /// True if the worker's runs take much longer than estimated.
    bool is_slow(monotonic_time now) const;

private:
    struct observed_run
    {
        std::uint32_t percent = 0;
        monotonic_time changed_at{};
        std::uint32_t sampled_percent = 0;
        monotonic_time sampled_at{};
    };

    double speed_at(monotonic_time now) const;

    stall_limits limits_;
    std::map<run_id, observed_run> runs_;
    double speed_ = 1.0;
    monotonic_time sampled_at_{};
};

} // namespace sycamorespar

#endif
