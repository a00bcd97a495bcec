/// What the tasks of a class really use and how long they run.
#ifndef SYCAMORESPAR_USAGE_ESTIMATOR_HPP
#define SYCAMORESPAR_USAGE_ESTIMATOR_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/resources.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <tuple>
#include <vector>

namespace sycamorespar {

namespace detail {

/// Counts of positive values in logarithmic bins; old counts fade away.
class decaying_histogram
{
public:
    /// \param lowest, highest  values beyond these share the outer bins.
    decaying_histogram(double lowest, double highest, unsigned bins);

    /// Counts a value with a weight.
    void add(double value, double weight);

    /// The upper edge of the bin that holds a quantile; 0 where empty.
    double quantile(double probability) const;

    /// The sum of the weights.
    double weight() const { return weight_; }

    /// The variance of the logarithm; 0 where empty.
    double log_variance() const;

private:
    using log_axis = boost::histogram::axis::regular<
        double, boost::histogram::axis::transform::log>;

    using storage = boost::histogram::storage_adaptor<std::vector<float>>;

    boost::histogram::histogram<std::tuple<log_axis>, storage> counts_;
    double weight_ = 0.0;
    double log_sum_ = 0.0;
    double log_square_sum_ = 0.0;
};

/// What is known of one quantity, as an amount and as a ratio to the
/// declaration; whichever spreads less gives the estimate.
class quantity_estimate
{
public:
    quantity_estimate();

    /// Takes the real value of a task that ended.
    void observe(double declared, double actual);

    /// A quantile of the real value.
    double quantile(double probability, double declared) const;

    /// True once a task was observed.
    bool has_evidence() const { return amounts_.weight() > 0.0; }

private:
    decaying_histogram amounts_;
    decaying_histogram ratios_;
};

} // namespace detail

/// What a job declares about its tasks.
struct task_declaration
{
    /// The amounts that it asks for.
    resources size;
    /// How long it says it runs.
    duration run_time{0};
};

/// What a task was seen to use.
struct task_usage
{
    /// The largest amounts that it used.
    resources peak;
    /// How long it has run.
    duration run_time{0};
};

/// The probabilities that estimates are taken at.
struct estimator_settings
{
    /// For processors, which can be shared for a while.
    double processor_quantile = 0.55;
    /// For memory, where too little ends the task.
    double memory_quantile = 0.75;
    /// For run times.
    double run_time_quantile = 0.50;
    /// Memory is reserved with this factor on top.
    double memory_margin = 1.05;
};

/// Learns sizes and run times by class. Starts from the declaration, which
/// may be off by ten times either way, and corrects it by evidence.
class usage_estimator
{
public:
    explicit usage_estimator(estimator_settings const& settings = {});

    /// Takes the usage of a task that finished. Cancelled and evicted tasks
    /// must not be passed here: they end before they show their size.
    void observe_finished(
        class_number task_class, task_declaration const& declared,
        task_usage const& used);

    /// Takes the usage of a task that still runs, or that ran out of memory;
    /// counts only where it exceeds what the class was believed to need.
    void observe_running(
        class_number task_class, task_declaration const& declared,
        task_usage const& used);

    /// What to reserve for a task: a safe quantile of the real use. Once
    /// there is evidence, never more than the largest worker holds; a bare
    /// declaration passes unchanged, so that placement can refuse it.
    resources reservation(
        class_number task_class, resources const& declared,
        resources const& largest_worker) const;

    /// How long a task is expected to run in all.
    duration run_time(class_number task_class, duration declared) const;

    /// How much longer a task is expected to run.
    duration remaining_time(
        class_number task_class, duration declared, duration already_run) const;

    /// True once a task of the class was observed.
    bool has_evidence(class_number task_class) const;

private:
    struct class_estimate
    {
        detail::quantity_estimate millicores;
        detail::quantity_estimate memory_mib;
        detail::quantity_estimate run_time_seconds;
    };

    class_estimate& estimate_of(class_number task_class);
    class_estimate const* find(class_number task_class) const;

    estimator_settings settings_;
    std::vector<class_estimate> classes_;
};

} // namespace sycamorespar

#endif
