/// Estimates the resource usage and run times of the tasks of a class.
#include "libsycamorespar/usage_estimator.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sycamorespar {

namespace {

constexpr double lowest_amount = 1.0;
constexpr double highest_amount = 1e9;
constexpr unsigned amount_bins = 360;
constexpr double lowest_ratio = 1.0 / 128;
constexpr double highest_ratio = 128.0;
constexpr unsigned ratio_bins = 168;

// The declaration counts as one observation. At a quantile of 0.95, 19 smaller
// tasks are needed to go below it, and one larger task to go above it.
constexpr double declaration_weight = 1.0;

// The last 200 tasks have most of the weight, so that estimates follow a class
// whose tasks change.
constexpr double weight_decay = 0.995;

double as_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

std::int64_t round_up(double amount)
{
    return static_cast<std::int64_t>(std::ceil(amount));
}

} // namespace

namespace detail {

decaying_histogram::decaying_histogram(
    double lowest, double highest, unsigned bins)
    : counts_(std::make_tuple(log_axis(bins, lowest, highest)), storage())
{}

void decaying_histogram::add(double value, double weight)
{
    counts_ *= static_cast<float>(weight_decay);
    counts_(boost::histogram::weight(static_cast<float>(weight)), value);
    auto const log_value = std::log(value);
    weight_ = weight_ * weight_decay + weight;
    log_sum_ = log_sum_ * weight_decay + weight * log_value;
    log_square_sum_ =
        log_square_sum_ * weight_decay + weight * log_value * log_value;
}

double decaying_histogram::quantile(double probability) const
{
    auto const wanted = probability * weight_;
    auto const& axis = counts_.axis();
    double seen = 0.0;
    for (int bin = -1; bin <= axis.size(); ++bin) {
        seen += static_cast<double>(counts_.at(bin));
        if (seen < wanted || seen <= 0.0)
            continue;
        return axis.value(std::min(bin + 1, axis.size()));
    }
    return weight_ > 0.0 ? axis.value(axis.size()) : 0.0;
}

double decaying_histogram::log_variance() const
{
    if (weight_ <= 0.0)
        return 0.0;
    auto const mean = log_sum_ / weight_;
    return std::max(0.0, log_square_sum_ / weight_ - mean * mean);
}

quantity_estimate::quantity_estimate()
    : amounts_(lowest_amount, highest_amount, amount_bins),
      ratios_(lowest_ratio, highest_ratio, ratio_bins)
{}

void quantity_estimate::observe(double declared, double actual)
{
    auto const amount = std::max(actual, lowest_amount);
    amounts_.add(amount, 1.0);
    ratios_.add(amount / std::max(declared, lowest_amount), 1.0);
}

// Jobs of one class may declare a constant while their tasks differ, or declare
// different amounts for equal tasks, so neither the amount nor the ratio is
// always the better predictor.
double quantity_estimate::quantile(double probability, double declared) const
{
    auto const evidence = amounts_.weight();
    if (evidence <= 0.0)
        return declared;
    auto const total = evidence + declaration_weight;
    auto const use_amount = amounts_.log_variance() <= ratios_.log_variance();
    auto const at = [&](double part) {
        return use_amount ? amounts_.quantile(part)
                          : ratios_.quantile(part) * declared;
    };
    // The declaration is counted as one more observation.
    auto const if_all_below = probability * total / evidence;
    if (if_all_below <= 1.0 && at(if_all_below) <= declared)
        return at(if_all_below);
    auto const rest = std::max(0.0, probability * total - declaration_weight);
    return std::max(declared, at(rest / evidence));
}

} // namespace detail

usage_estimator::usage_estimator(estimator_settings const& settings)
    : settings_(settings)
{}

void usage_estimator::observe_finished(
    class_number task_class, task_declaration const& declared,
    task_usage const& used)
{
    auto& estimate = estimate_of(task_class);
    estimate.millicores.observe(
        static_cast<double>(declared.size.millicores),
        static_cast<double>(used.peak.millicores));
    estimate.memory_mib.observe(
        static_cast<double>(declared.size.memory_mib),
        static_cast<double>(used.peak.memory_mib));
    estimate.run_time_seconds.observe(
        as_seconds(declared.run_time), as_seconds(used.run_time));
}

// The peak of a task that still runs is only a lower bound, so it can raise the
// estimate but not lower it.
void usage_estimator::observe_running(
    class_number task_class, task_declaration const& declared,
    task_usage const& used)
{
    auto& estimate = estimate_of(task_class);
    auto const update = [](detail::quantity_estimate& quantity,
                           double probability, double declared_amount,
                           double seen) {
        if (seen > quantity.quantile(probability, declared_amount))
            quantity.observe(declared_amount, seen);
    };
    update(
        estimate.millicores, settings_.processor_quantile,
        static_cast<double>(declared.size.millicores),
        static_cast<double>(used.peak.millicores));
    update(
        estimate.memory_mib, settings_.memory_quantile,
        static_cast<double>(declared.size.memory_mib),
        static_cast<double>(used.peak.memory_mib));
}

resources usage_estimator::reservation(
    class_number task_class, resources const& declared,
    resources const& largest_worker) const
{
    auto const* estimate = find(task_class);
    if (estimate == nullptr || !estimate->memory_mib.has_evidence())
        return declared;
    auto const millicores = estimate->millicores.quantile(
        settings_.processor_quantile, static_cast<double>(declared.millicores));
    auto const memory =
        settings_.memory_margin * estimate->memory_mib.quantile(
                                      settings_.memory_quantile,
                                      static_cast<double>(declared.memory_mib));
    return {
        std::min(round_up(millicores), largest_worker.millicores),
        std::min(round_up(memory), largest_worker.memory_mib),
        declared.accelerators};
}

duration
usage_estimator::run_time(class_number task_class, duration declared) const
{
    auto const* estimate = find(task_class);
    if (estimate == nullptr)
        return declared;
    return from_seconds(estimate->run_time_seconds.quantile(
        settings_.run_time_quantile, as_seconds(declared)));
}

duration usage_estimator::remaining_time(
    class_number task_class, duration declared, duration already_run) const
{
    auto const expected = run_time(task_class, declared);
    if (expected > already_run)
        return expected - already_run;
    // A task that exceeds the estimate is expected to run as long again.
    return already_run;
}

bool usage_estimator::has_evidence(class_number task_class) const
{
    auto const* estimate = find(task_class);
    return estimate != nullptr && estimate->memory_mib.has_evidence();
}

usage_estimator::class_estimate&
usage_estimator::estimate_of(class_number task_class)
{
    if (classes_.size() < task_class.value)
        classes_.resize(task_class.value);
    return classes_[task_class.value - 1];
}

usage_estimator::class_estimate const*
usage_estimator::find(class_number task_class) const
{
    return task_class.value <= classes_.size() ? &classes_[task_class.value - 1]
                                               : nullptr;
}

} // namespace sycamorespar
