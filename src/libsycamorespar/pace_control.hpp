/// Slows filling tasks where they harm tasks that serve users of their own.
#ifndef SYCAMORESPAR_PACE_CONTROL_HPP
#define SYCAMORESPAR_PACE_CONTROL_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/contention_model.hpp"
#include "libsycamorespar/run_keeper.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sycamorespar {

/// Limits of the pacing.
struct pace_limits
{
    /// The part of a serving task's target that its tail is held below; the
    /// rest is for its load, which moves while the figures are on their way.
    double tail_limit = 0.92;
    /// Deviations of an estimate that count as harm.
    double deviation_weight = 0.4;
    /// A target that is missed for this long stops the fillers.
    std::chrono::milliseconds miss_tolerance{2000};
    /// A filler's first full speed shows in the figures for this long.
    std::chrono::milliseconds measurement_window{700};
    /// Figures cover half a second; they are taken this far apart.
    std::chrono::milliseconds measurement_interval{250};
    /// Changes of pace below this, in percent, are not worth a call.
    std::uint32_t min_change = 5;
};

/// A change of one run's pace.
struct pace_change
{
    /// The run.
    run_id run;
    /// The part of its speed, up to 100.
    std::uint32_t percent = 100;
};

/// Slows first the fillers that harm most for each core they use, as far as
/// the worst-off serving task needs it.
class pace_control
{
public:
    explicit pace_control(
        pace_limits const& limits = {},
        contention_settings const& contention = {});

    /// New figures have come.
    /// \param millicores  the processors of the worker, in thousandths.
    void on_measurements(
        std::map<run_id, kept_run> const& runs, std::int64_t millicores,
        monotonic_time now);
    /// Takes over what the scheduler knows of harm.
    void apply_hints(std::vector<contention_hint> const& hints);
    /// The paces that differ from what the runs were told. A run that has just
    /// started works at full speed.
    std::vector<pace_change>
    take_changes(std::map<run_id, kept_run> const& runs);
    /// The pace that a run was told, up to 100.
    std::uint32_t pace_of(run_id const& run) const;
    /// A pace was sent; it is sent again where it wasn't accepted.
    void on_pace_result(pace_change const& change, bool was_accepted);

private:
    void update_contention(
        std::map<run_id, kept_run> const& runs, monotonic_time now);
    void
    track_misses(std::map<run_id, kept_run> const& runs, monotonic_time now);
    void slow_for(
        run_id const& serving, kept_run const& tracked,
        std::map<run_id, kept_run> const& runs,
        std::map<run_id, double>& speeds) const;
    double share_of(std::int64_t millicores) const;
    double effective_share(kept_run const& backfill, monotonic_time now);
    double
    contention_of(kept_run const& serving, kept_run const& backfill) const;

    pace_limits limits_;
    contention_model contention_;
    std::int64_t millicores_ = 1;
    bool is_backfill_stopped_ = false;
    std::optional<monotonic_time> model_updated_at_;
    std::map<run_id, monotonic_time> missed_since_;
    std::map<run_id, monotonic_time> first_seen_at_;
    std::map<run_id, std::uint32_t> sent_percents_;
};

} // namespace sycamorespar

#endif
