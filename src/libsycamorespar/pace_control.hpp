/// Throttles backfill tasks that raise the tail latency of serving tasks.
#ifndef SYCAMORESPAR_PACE_CONTROL_HPP
#define SYCAMORESPAR_PACE_CONTROL_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/contention_model.hpp"
#include "libsycamorespar/run_tracker.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamorespar {

/// Limits of pace control.
struct pace_limits
{
    /// Part of a serving task's target that its tail is kept below. The margin
    /// covers changes of its load while measurements are in transit.
    double tail_limit = 0.92;
    /// Standard deviations that are added to an estimate of contention.
    double deviation_weight = 0.4;
    /// Backfill tasks are stopped when a target is missed for this long.
    std::chrono::milliseconds miss_tolerance{2000};
    /// How long measurements include the initial full speed of a new backfill
    /// task.
    std::chrono::milliseconds measurement_window{700};
    /// Least time between two model updates. Each measurement covers half a
    /// second.
    std::chrono::milliseconds measurement_interval{250};
    /// Smaller changes of pace, in percentage points, are not sent, except for
    /// changes to 0 or 100.
    std::uint32_t min_change = 5;
};

/// A new pace for one run.
struct pace_change
{
    /// The run.
    run_id run;
    /// Percentage of its full speed, 0 to 100.
    std::uint32_t percent = 100;
    /// The pace that it had; none while that is unknown.
    std::optional<std::uint32_t> before = {};
    /// The serving run that slows it most; none at full speed.
    std::optional<run_id> slowed_for = {};
};

/// What pace control does on a worker, for metrics.
struct pace_summary
{
    /// Backfill runs at full speed.
    std::size_t full = 0;
    /// Backfill runs that are slowed.
    std::size_t slowed = 0;
    /// Backfill runs that stand still.
    std::size_t stopped = 0;
    /// Serving runs at work.
    std::size_t serving = 0;
    /// Serving runs whose tail latency is over its target.
    std::size_t over_target = 0;
    /// The highest tail latency of a serving run, as a part of its target.
    double worst_tail = 0.0;
};

/// Chooses the pace of each backfill task on a worker. Tasks that cause the
/// most contention per processor are slowed first, by as much as the serving
/// tasks need to stay below their targets.
class pace_control
{
public:
    explicit pace_control(
        pace_limits const& limits = {},
        contention_settings const& contention = {});

    /// Processes new measurements of all runs.
    /// \param millicores  the processors of the worker, in millicores.
    void on_measurements(
        std::map<run_id, tracked_run> const& runs, std::int64_t millicores,
        monotonic_time now);
    /// Applies the scheduler's estimates of contention.
    void apply_hints(std::vector<contention_hint> const& hints);
    /// Returns the paces that differ from those in effect, and those of runs
    /// whose pace in effect is unknown. A run that was started here works at
    /// full speed until another pace is sent.
    std::vector<pace_change>
    take_changes(std::map<run_id, tracked_run> const& runs);
    /// What it does now.
    pace_summary summary(std::map<run_id, tracked_run> const& runs) const;
    /// The time that serving runs were over their target, summed over the runs.
    duration time_over_target() const { return time_over_target_; }
    /// Pace last sent to a run, in percent; 100 if none was sent or accepted.
    std::uint32_t pace_of(run_id const& run) const;
    /// Processes the result of sending a pace. After one that was not accepted
    /// the pace in effect is unknown.
    void on_pace_result(pace_change const& change, bool was_accepted);

private:
    void update_contention(
        std::map<run_id, tracked_run> const& runs, monotonic_time now);
    void
    track_misses(std::map<run_id, tracked_run> const& runs, monotonic_time now);
    /// The speed that a backfill run may have.
    struct allowed_speed
    {
        double speed = 1.0;
        /// The largest cut for one serving run, and that run.
        double largest_cut = 0.0;
        std::optional<run_id> slowed_for = {};

        void cut(double by, run_id const& serving);
    };
    void slow_for(
        run_id const& serving, tracked_run const& tracked,
        std::map<run_id, tracked_run> const& runs,
        std::map<run_id, allowed_speed>& speeds) const;
    std::optional<run_id> longest_miss() const;
    bool is_change(std::uint32_t from, std::uint32_t to) const;
    double share_of(std::int64_t millicores) const;
    double effective_share(tracked_run const& backfill, monotonic_time now);
    double contention_of(
        tracked_run const& serving, tracked_run const& backfill) const;

    pace_limits limits_;
    contention_model contention_;
    std::int64_t millicores_ = 1;
    bool is_backfill_stopped_ = false;
    std::optional<monotonic_time> model_updated_at_;
    std::map<run_id, monotonic_time> missed_since_;
    duration time_over_target_{0};
    monotonic_time measured_at_{};
    std::map<run_id, monotonic_time> first_seen_at_;
    /// The pace in effect of each backfill task; none while it is unknown.
    std::map<run_id, std::optional<std::uint32_t>> sent_percents_;
};

} // namespace sycamorespar

#endif
