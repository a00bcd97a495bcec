/// Throttles, and then evicts, batch tasks that slow a worker's services.
#include "libsycamorespar/interference_control.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorespar {

namespace {

// Slowdown that a class causes to a service per whole worker that it uses. Part
// of the uncertainty is added, so that tasks of an unknown class start slowly
// and speed up as measurements show that they cause little slowdown.
double slowdown_rate(
    class_number service, class_number task, interference_model const& model,
    double deviation_weight)
{
    auto const estimate = model.pair(service, task);
    return estimate.mean + deviation_weight * estimate.deviation;
}

// Slowdown that each task would cause to a service at full speed.
std::vector<double> full_speed_slowdowns(
    class_number service, std::span<running_task const> tasks, double cores,
    interference_model const& model, double deviation_weight)
{
    std::vector<double> slowdowns;
    slowdowns.reserve(tasks.size());
    for (auto const& task : tasks) {
        auto const share = task.cores_used / task.speed / cores;
        slowdowns.push_back(
            share *
            slowdown_rate(service, task.task_class, model, deviation_weight));
    }
    return slowdowns;
}

double sum_of(std::vector<double> const& amounts)
{
    double sum = 0.0;
    for (auto const amount : amounts)
        sum += amount;
    return sum;
}

} // namespace

interference_control::interference_control(control_settings const& settings)
    : settings_(settings)
{}

// For one service this is a fractional knapsack: throttling the tasks with the
// most slowdown per processor first keeps the budget with the least loss of
// batch work.
std::vector<control_action> interference_control::plan_speeds(
    std::span<running_task const> tasks, double cores,
    interference_model const& model) const
{
    std::vector<double> speeds(tasks.size(), 1.0);
    std::vector<std::size_t> order(tasks.size());
    for (std::size_t at = 0; at < order.size(); ++at)
        order[at] = at;
    for (auto const& service : services_) {
        auto const slowdowns = full_speed_slowdowns(
            service.service_class, tasks, cores, model,
            settings_.deviation_weight);
        std::sort(order.begin(), order.end(), [&](auto left, auto right) {
            auto const rate = [&](std::size_t at) {
                return slowdown_rate(
                    service.service_class, tasks[at].task_class, model,
                    settings_.deviation_weight);
            };
            return rate(left) > rate(right);
        });
        auto const total = sum_of(slowdowns);
        auto excess = total - service.budget;
        for (auto const at : order) {
            if (excess <= 0.0 || slowdowns[at] <= 0.0)
                break;
            // Throttling a task that causes little slowdown gains nothing.
            if (slowdowns[at] < settings_.min_throttle_share * total)
                continue;
            auto const most = slowdowns[at] * (1.0 - settings_.lowest_speed);
            auto const cut = std::min(excess, most);
            excess -= cut;
            speeds[at] = std::min(speeds[at], 1.0 - cut / slowdowns[at]);
        }
    }
    std::vector<control_action> actions;
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        auto const change = std::abs(speeds[at] - tasks[at].speed);
        auto const is_bound =
            speeds[at] >= 1.0 || speeds[at] <= settings_.lowest_speed;
        if (change >= settings_.smallest_change || (is_bound && change > 0.0))
            actions.emplace_back(throttle_task{tasks[at].id, speeds[at]});
    }
    return actions;
}

std::vector<control_action> interference_control::on_report(
    service_report const& report, std::span<running_task const> tasks,
    double cores, interference_model const& model, monotonic_time now)
{
    auto& service = state_of(report.service_class);
    correct_budget(service, report, now);
    auto actions = plan_speeds(tasks, cores, model);
    if (service.smoothed <= settings_.eviction_limit)
        return actions;
    if (auto const chosen =
            choose_eviction(report.service_class, tasks, cores, model, now))
        actions.emplace_back(*chosen);
    return actions;
}

double interference_control::budget(class_number service) const
{
    for (auto const& state : services_) {
        if (state.service_class == service)
            return state.budget;
    }
    return settings_.initial_budget;
}

interference_control::service_state&
interference_control::state_of(class_number service)
{
    for (auto& state : services_) {
        if (state.service_class == service)
            return state;
    }
    services_.push_back(
        {service, settings_.initial_budget, settings_.target, {}});
    return services_.back();
}

void interference_control::correct_budget(
    service_state& service, service_report const& report, monotonic_time now)
{
    service.smoothed +=
        settings_.report_weight * (report.slowdown - service.smoothed);
    if (service.smoothed <= settings_.eviction_limit)
        at_lowest_since_.reset();
    // A report from before the last change doesn't show the effect of that
    // change.
    if (service.changed_at && report.measured_at <= *service.changed_at)
        return;
    auto const surplus = settings_.target - service.smoothed;
    if (std::abs(surplus) <= settings_.tolerance)
        return;
    service.budget = std::clamp(
        service.budget * std::exp(settings_.gain * surplus),
        settings_.smallest_budget, settings_.largest_budget);
    service.changed_at = now;
}

// Among the tasks that cause a significant part of the slowdown, chooses the
// one that loses the least work relative to its slowdown. Evicts only after all
// of them have run at their lowest speed for `eviction_delay`.
std::optional<evict_task> interference_control::choose_eviction(
    class_number service, std::span<running_task const> tasks, double cores,
    interference_model const& model, monotonic_time now)
{
    auto const slowdowns = full_speed_slowdowns(
        service, tasks, cores, model, settings_.deviation_weight);
    auto const total = sum_of(slowdowns);
    auto const is_cause = [&](std::size_t at) {
        return slowdowns[at] > 0.0 &&
               slowdowns[at] >= settings_.min_eviction_share * total;
    };
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        if (is_cause(at) && tasks[at].speed > settings_.lowest_speed)
            return std::nullopt;
    }
    if (!at_lowest_since_)
        at_lowest_since_ = now;
    if (now - *at_lowest_since_ < settings_.eviction_delay)
        return std::nullopt;
    if (evicted_at_ && now - *evicted_at_ < settings_.min_eviction_interval)
        return std::nullopt;
    std::optional<evict_task> best;
    auto best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        if (!is_cause(at))
            continue;
        auto const cost =
            work_lost_by_moving(tasks[at]).count() / slowdowns[at];
        if (cost >= best_cost)
            continue;
        best = evict_task{tasks[at].id};
        best_cost = cost;
    }
    if (best) {
        evicted_at_ = now;
        at_lowest_since_.reset();
    }
    return best;
}

} // namespace sycamorespar
