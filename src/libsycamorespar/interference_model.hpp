/// Estimates how much each class slows each other class on the same worker.
#ifndef SYCAMORESPAR_INTERFERENCE_MODEL_HPP
#define SYCAMORESPAR_INTERFERENCE_MODEL_HPP

#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/occupancy_history.hpp"

#include <vector>

namespace sycamorespar {

/// A measured slowdown with the tasks that ran during the measurement. Reports
/// arrive late, so these may differ from the tasks that run now.
struct slowdown_observation
{
    /// Class that was slowed.
    class_number victim;
    /// Measured time divided by the time when it runs alone; 1 means none.
    double slowdown = 1.0;
    /// Classes that also ran on the worker in the span of the report.
    std::vector<class_presence> neighbours;
};

/// An estimated slowdown with its uncertainty.
struct slowdown_estimate
{
    /// Expected slowdown, less 1, for a neighbour that uses the whole worker.
    double mean = 0.0;
    /// Standard deviation of the mean.
    double deviation = 0.0;
};

/// Standard deviations of the priors and noise parameters of the model.
struct interference_settings
{
    /// Prior deviation of the effect that all pairs share.
    double global_deviation = 1.0;
    /// Prior deviation of the effect of one class, as victim or as neighbour.
    double class_deviation = 1.0;
    /// Prior deviation of a pair from the effects of its classes.
    double pair_deviation = 0.7;
    /// Deviation of the noise in one report, relative to the slowdown.
    double report_deviation = 0.15;
    /// Variance that is added to each effect with each report that involves it.
    double drift_variance = 1e-4;
    /// Larger reported slowdowns are clamped to this.
    double largest_slowdown = 10.0;
};

/// Models the slowdown of a pair of classes as the sum of a global effect, one
/// effect for each class and one for the pair, each with its variance. A pair
/// without measurements is thus estimated from its classes, and a class without
/// measurements from all classes. Linear in the share of the worker that the
/// neighbours use. State is kept by pair of classes, never by task.
class interference_model
{
public:
    explicit interference_model(interference_settings const& settings = {});

    /// Updates the estimates with one report.
    void observe(slowdown_observation const& observation);

    /// Slowdown that a neighbour causes to a victim.
    slowdown_estimate pair(class_number victim, class_number neighbour) const;

    /// Expected slowdown, less 1, of a victim with these neighbours.
    double expected(
        class_number victim,
        std::vector<class_presence> const& neighbours) const;

    /// Slowdown that a task adds to a worker: what it causes to the tasks there
    /// plus what they cause to it, summed over the classes whose slowdown was
    /// ever reported. For use in `placement_hooks::interference`.
    /// \param share  the part of the worker's processors that it will use.
    double added_slowdown(
        class_number task, double share, worker_state const& worker) const;

private:
    struct effect
    {
        float mean = 0.0F;
        float variance = 0.0F;
    };

    void grow_to(std::size_t classes);
    bool is_known(class_number number) const
    {
        return number.value <= classes_;
    }
    bool was_victim(class_number number) const
    {
        return is_known(number) && is_victim_[number.value - 1];
    }
    effect const& pair_effect(class_number victim, class_number other) const;
    effect& pair_effect(class_number victim, class_number other);
    double mean_of(class_number victim, class_number neighbour) const;
    double variance_of(class_number victim, class_number neighbour) const;
    void correct(effect& from, double presence, double gain) const;

    interference_settings settings_;
    std::size_t classes_ = 0;
    effect global_;
    std::vector<effect> victims_;
    std::vector<effect> neighbours_;
    std::vector<effect> pairs_;
    std::vector<bool> is_victim_;
};

} // namespace sycamorespar

#endif
