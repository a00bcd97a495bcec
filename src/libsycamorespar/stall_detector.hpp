/// Tells workers on which tasks stand still or crawl from those that work.
#ifndef SYCAMORESPAR_STALL_DETECTOR_HPP
#define SYCAMORESPAR_STALL_DETECTOR_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/job_graph.hpp"

#include <chrono>
#include <cstdint>
#include <map>

namespace sycamorespar {

/// Limits of the watch.
struct stall_limits
{
    /// A run without progress for this long stands still. A worker's figures
    /// may be a second old where looks at it were lost.
    std::chrono::milliseconds stall_time{1600};
    /// The least time between two figures that a speed is taken from.
    std::chrono::milliseconds sample_interval{300};
    /// The weight of a new speed in the worker's.
    double sample_weight = 0.2;
    /// Without a sample for longer than this...
    std::chrono::milliseconds recovery_delay{1000};
    /// ...a worker's speed comes back by this each second, so that it is tried
    /// again.
    double recovery_per_second = 0.1;
    /// A worker below this part of the usual speed is slow.
    double slow_threshold = 0.4;
};

/// The progress of the runs of one worker, as its runner reports it.
class stall_detector
{
public:
    explicit stall_detector(stall_limits const& limits = {});

    /// A report names a run that works at full speed towards its end.
    /// \param estimate  how long the task takes as a rule.
    /// \return true where the run stands still.
    bool on_progress(
        run_id const& run, std::uint32_t percent,
        std::chrono::milliseconds estimate, monotonic_time now);
    /// The run is gone, or is held back.
    void forget(run_id const& run);
    /// True where runs take far longer than they should.
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
