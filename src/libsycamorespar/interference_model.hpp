/// How much each class slows each other class on the same worker.
#ifndef SYCAMORESPAR_INTERFERENCE_MODEL_HPP
#define SYCAMORESPAR_INTERFERENCE_MODEL_HPP

#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/occupancy_history.hpp"

#include <vector>

namespace sycamorespar {

/// A late report, already attributed to what ran then.
struct slowdown_observation
{
    /// The class that was slowed.
    class_number victim;
    /// Its measured time over its time when running alone; 1 means none.
    double slowdown = 1.0;
    /// What else ran on the worker in the span of the report.
    std::vector<class_presence> neighbours;
};

/// A slowdown with its uncertainty.
struct slowdown_estimate
{
    /// The expected slowdown for a neighbour that uses the whole worker,
    /// less 1.
    double mean = 0.0;
    /// The standard deviation of the mean.
    double deviation = 0.0;
};

/// What is believed before evidence, and how fast evidence ages.
struct interference_settings
{
    /// The deviation of the effect that all pairs share.
    double global_deviation = 1.0;
    /// The deviation of the effect of one class, as victim or as neighbour.
    double class_deviation = 1.0;
    /// The deviation of a pair from the effects of its classes.
    double pair_deviation = 0.7;
    /// The deviation of the noise in one report.
    double report_deviation = 0.15;
    /// The growth of each variance with each report that it is part of.
    double drift_variance = 1e-4;
    /// Reports beyond this slowdown count as this.
    double largest_slowdown = 10.0;
};

/// Estimates the slowdown by pairs of classes as a sum of an effect of all
/// pairs, one of each class and one of the pair, each with its variance, so
/// that a pair without evidence is judged by its classes and a class without
/// evidence by all. Linear in the share of the worker that the neighbours
/// use. The state is by pair of classes, never by task.
class interference_model
{
public:
    explicit interference_model(interference_settings const& settings = {});

    /// Learns from one report.
    void observe(slowdown_observation const& observation);

    /// What a neighbour does to a victim.
    slowdown_estimate pair(class_number victim, class_number neighbour) const;

    /// The expected slowdown, less 1, of a victim among neighbours.
    double expected(
        class_number victim,
        std::vector<class_presence> const& neighbours) const;

    /// The slowdown that a task brings to a worker: what it does to the tasks
    /// there and they to it, summed over the classes whose slowdown was ever
    /// reported. Fits the hook of `placement_hooks`.
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
