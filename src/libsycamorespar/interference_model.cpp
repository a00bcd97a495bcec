/// Estimates how much each class slows each other class on the same worker.
#include "libsycamorespar/interference_model.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorespar {

namespace {

float squared(double deviation)
{
    return static_cast<float>(deviation * deviation);
}

double share_of(class_usage const& usage, worker_state const& worker)
{
    auto const whole = worker.description.capacity.millicores;
    if (whole <= 0)
        return 0.0;
    return static_cast<double>(usage.committed.millicores) /
           static_cast<double>(whole);
}

} // namespace

interference_model::interference_model(interference_settings const& settings)
    : settings_(settings), global_{0.0F, squared(settings.global_deviation)}
{}

// A Kalman filter that keeps only the diagonal of the covariance: a report is
// one equation over the effects of all pairs that were present; the prediction
// error is distributed by the variance that each effect contributes.
void interference_model::observe(slowdown_observation const& observation)
{
    auto largest = observation.victim.value;
    for (auto const& presence : observation.neighbours)
        largest = std::max(largest, presence.task_class.value);
    grow_to(largest);

    auto const victim = observation.victim;
    is_victim_[victim.value - 1] = true;
    auto const measured =
        std::clamp(observation.slowdown, 1.0, settings_.largest_slowdown) - 1.0;
    double predicted = 0.0;
    double variance = 0.0;
    double shared = 0.0;
    for (auto const& presence : observation.neighbours) {
        predicted += presence.share * mean_of(victim, presence.task_class);
        auto const own = neighbours_[presence.task_class.value - 1].variance +
                         pair_effect(victim, presence.task_class).variance;
        variance += presence.share * presence.share * own;
        shared += presence.share;
    }
    auto& victim_effect = victims_[victim.value - 1];
    variance += shared * shared * (global_.variance + victim_effect.variance);
    variance += squared(settings_.report_deviation) * (1.0 + measured) *
                (1.0 + measured);
    auto const gain = (measured - predicted) / variance;

    // The gain of each effect is proportional to its variance times its
    // presence.
    auto const update = [&](effect& from, double presence, double prior) {
        auto const before = static_cast<double>(from.variance);
        auto const part = presence * before / variance;
        correct(from, presence, gain);
        auto const after = before * (1.0 - part * presence) +
                           settings_.drift_variance * std::min(1.0, presence);
        from.variance = static_cast<float>(std::min(after, prior * prior));
    };
    update(global_, shared, settings_.global_deviation);
    update(victim_effect, shared, settings_.class_deviation);
    for (auto const& presence : observation.neighbours) {
        update(
            neighbours_[presence.task_class.value - 1], presence.share,
            settings_.class_deviation);
        update(
            pair_effect(victim, presence.task_class), presence.share,
            settings_.pair_deviation);
    }
}

slowdown_estimate
interference_model::pair(class_number victim, class_number neighbour) const
{
    return {
        std::max(0.0, mean_of(victim, neighbour)),
        std::sqrt(variance_of(victim, neighbour))};
}

double interference_model::expected(
    class_number victim, std::vector<class_presence> const& neighbours) const
{
    double sum = 0.0;
    for (auto const& presence : neighbours)
        sum += presence.share *
               std::max(0.0, mean_of(victim, presence.task_class));
    return sum;
}

// Classes without reports are left out: their estimates are priors only, and
// the sum over many of them would outweigh the measured slowdowns.
double interference_model::added_slowdown(
    class_number task, double share, worker_state const& worker) const
{
    double sum = 0.0;
    for (auto const& usage : worker.running) {
        if (was_victim(usage.of))
            sum += share * std::max(0.0, mean_of(usage.of, task));
        if (was_victim(task)) {
            sum += share_of(usage, worker) *
                   std::max(0.0, mean_of(task, usage.of));
        }
    }
    return sum;
}

void interference_model::grow_to(std::size_t classes)
{
    if (classes <= classes_)
        return;
    effect const new_class{0.0F, squared(settings_.class_deviation)};
    effect const new_pair{0.0F, squared(settings_.pair_deviation)};
    std::vector<effect> pairs(classes * classes, new_pair);
    for (std::size_t victim = 0; victim < classes_; ++victim) {
        std::copy_n(
            pairs_.begin() + static_cast<std::ptrdiff_t>(victim * classes_),
            classes_,
            pairs.begin() + static_cast<std::ptrdiff_t>(victim * classes));
    }
    pairs_ = std::move(pairs);
    victims_.resize(classes, new_class);
    neighbours_.resize(classes, new_class);
    is_victim_.resize(classes);
    classes_ = classes;
}

interference_model::effect const&
interference_model::pair_effect(class_number victim, class_number other) const
{
    return pairs_[(victim.value - 1) * classes_ + other.value - 1];
}

interference_model::effect&
interference_model::pair_effect(class_number victim, class_number other)
{
    return pairs_[(victim.value - 1) * classes_ + other.value - 1];
}

double
interference_model::mean_of(class_number victim, class_number neighbour) const
{
    double sum = global_.mean;
    if (is_known(victim))
        sum += victims_[victim.value - 1].mean;
    if (is_known(neighbour))
        sum += neighbours_[neighbour.value - 1].mean;
    if (is_known(victim) && is_known(neighbour))
        sum += pair_effect(victim, neighbour).mean;
    return sum;
}

double interference_model::variance_of(
    class_number victim, class_number neighbour) const
{
    auto const unknown_class = squared(settings_.class_deviation);
    double sum = global_.variance;
    sum +=
        is_known(victim) ? victims_[victim.value - 1].variance : unknown_class;
    sum += is_known(neighbour) ? neighbours_[neighbour.value - 1].variance
                               : unknown_class;
    sum += is_known(victim) && is_known(neighbour)
               ? pair_effect(victim, neighbour).variance
               : squared(settings_.pair_deviation);
    return sum;
}

void interference_model::correct(
    effect& from, double presence, double gain) const
{
    auto const change = presence * static_cast<double>(from.variance) * gain;
    from.mean = static_cast<float>(static_cast<double>(from.mean) + change);
}

} // namespace sycamorespar
