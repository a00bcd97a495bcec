/// Estimates the resource usage and run times of the tasks of a class.
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

/// Histogram of positive values with logarithmic bins; the weight of old values
/// decays exponentially.
class decaying_histogram
{
public:
    /// \param lowest, highest  values beyond these are counted in the underflow
    /// and overflow bins.
    decaying_histogram(double lowest, double highest, unsigned bins);

    /// Adds a value with a weight.
    void add(double value, double weight);

    /// Upper edge of the bin that contains a quantile; 0 if empty.
    double quantile(double probability) const;

    /// Sum of the decayed weights.
    double weight() const { return weight_; }

    /// Variance of the logarithm of the values; 0 if empty.
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

/// Estimate of one quantity. Keeps the distributions of the amount and of its
/// ratio to the declaration, and uses the one with the lower variance.
class quantity_estimate
{
public:
    quantity_estimate();

    /// Adds the actual value of a task.
    void observe(double declared, double actual);

    /// Quantile of the actual value for a task with this declaration.
    double quantile(double probability, double declared) const;

    /// True after the first observed task.
    bool has_evidence() const { return amounts_.weight() > 0.0; }

private:
    decaying_histogram amounts_;
    decaying_histogram ratios_;
};

} // namespace detail

/// What a job declares about each of its tasks.
struct task_declaration
{
    /// Declared resources.
    resources size;
    /// Declared run time.
    duration run_time{0};
};

/// Measured usage of a task.
struct task_usage
{
    /// Peak amounts.
    resources peak;
    /// Run time so far.
    duration run_time{0};
};

/// Quantiles that the estimates use.
struct estimator_settings
{
    /// For processors. Low, since tasks can share them when one needs more.
    double processor_quantile = 0.55;
    /// For memory. Higher, since a task without enough memory is ended.
    double memory_quantile = 0.75;
    /// For run times.
    double run_time_quantile = 0.50;
    /// Factor on the reserved memory.
    double memory_margin = 1.05;
};

/// Learns resource usage and run times by class. Starts from the declaration,
/// which may be off by a factor of ten either way, and corrects it with
/// observations.
class usage_estimator
{
public:
    explicit usage_estimator(estimator_settings const& settings = {});

    /// Adds the usage of a finished task. Cancelled and evicted tasks must not
    /// be passed: they end before they reach their peak.
    void observe_finished(
        class_number task_class, task_declaration const& declared,
        task_usage const& used);

    /// Adds the usage of a task that still runs or that ran out of memory;
    /// ignored unless it exceeds the current estimate of the class.
    void observe_running(
        class_number task_class, task_declaration const& declared,
        task_usage const& used);

    /// Resources to reserve for a task: a quantile of the actual usage, at most
    /// the capacity of the largest worker. Without observations the declaration
    /// is returned unchanged, so that placement can refuse it if it is too
    /// large.
    resources reservation(
        class_number task_class, resources const& declared,
        resources const& largest_worker) const;

    /// Expected total run time of a task.
    duration run_time(class_number task_class, duration declared) const;

    /// Expected remaining run time of a task.
    duration remaining_time(
        class_number task_class, duration declared, duration already_run) const;

    /// True after the first observed task of the class.
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
