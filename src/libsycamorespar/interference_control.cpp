/// Throttles, and then moves, the batch tasks that slow a worker's services.
#include "libsycamorespar/interference_control.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorespar {

namespace {

// The harm of a class to a service for each whole worker that it uses. Some
// of the uncertainty counts as harm, so that what is unknown starts slowly
// and speeds up as evidence clears it.
double harm(
    class_number service, class_number task, interference_model const& model,
    double caution)
{
    auto const estimate = model.pair(service, task);
    return estimate.mean + caution * estimate.deviation;
}

// What each task would add to the slowdown of a service at full speed.
std::vector<double> full_harms(
    class_number service, std::span<running_task const> tasks, double cores,
    interference_model const& model, double caution)
{
    std::vector<double> harms;
    harms.reserve(tasks.size());
    for (auto const& task : tasks) {
        auto const share = task.cores_used / task.speed / cores;
        harms.push_back(share * harm(service, task.task_class, model, caution));
    }
    return harms;
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

// For one service this is a fractional knapsack: slowing first what harms
// most for each core keeps the budget at the least loss of batch work.
std::vector<control_action> interference_control::plan_speeds(
    std::span<running_task const> tasks, double cores,
    interference_model const& model) const
{
    std::vector<double> speeds(tasks.size(), 1.0);
    std::vector<std::size_t> order(tasks.size());
    for (std::size_t at = 0; at < order.size(); ++at)
        order[at] = at;
    for (auto const& service : services_) {
        auto const harms =
            full_harms(service.of, tasks, cores, model, settings_.caution);
        std::sort(order.begin(), order.end(), [&](auto left, auto right) {
            auto const rate = [&](std::size_t at) {
                return harm(
                    service.of, tasks[at].task_class, model, settings_.caution);
            };
            return rate(left) > rate(right);
        });
        auto const total = sum_of(harms);
        auto excess = total - service.budget;
        for (auto const at : order) {
            if (excess <= 0.0 || harms[at] <= 0.0)
                break;
            // Slowing a task that causes next to nothing gains nothing.
            if (harms[at] < settings_.smallest_throttle_blame * total)
                continue;
            auto const most = harms[at] * (1.0 - settings_.lowest_speed);
            auto const cut = std::min(excess, most);
            excess -= cut;
            speeds[at] = std::min(speeds[at], 1.0 - cut / harms[at]);
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
    auto& service = state_of(report.of);
    correct_budget(service, report, now);
    auto actions = plan_speeds(tasks, cores, model);
    if (service.smoothed <= settings_.eviction_limit)
        return actions;
    if (auto const chosen =
            choose_eviction(report.of, tasks, cores, model, now))
        actions.emplace_back(*chosen);
    return actions;
}

double interference_control::budget(class_number service) const
{
    for (auto const& state : services_) {
        if (state.of == service)
            return state.budget;
    }
    return settings_.first_budget;
}

interference_control::service_state&
interference_control::state_of(class_number of)
{
    for (auto& state : services_) {
        if (state.of == of)
            return state;
    }
    services_.push_back({of, settings_.first_budget, settings_.target, {}});
    return services_.back();
}

void interference_control::correct_budget(
    service_state& service, service_report const& report, monotonic_time now)
{
    service.smoothed +=
        settings_.report_weight * (report.slowdown - service.smoothed);
    if (service.smoothed <= settings_.eviction_limit)
        at_lowest_since_.reset();
    // A report from before the last change says nothing about that change.
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

// Of the tasks that are a real part of the cause, the one that loses the
// least work for each part of the slowdown that it takes away; only once
// throttling has done all that it can.
std::optional<evict_task> interference_control::choose_eviction(
    class_number service, std::span<running_task const> tasks, double cores,
    interference_model const& model, monotonic_time now)
{
    auto const harms =
        full_harms(service, tasks, cores, model, settings_.caution);
    auto const total = sum_of(harms);
    auto const is_cause = [&](std::size_t at) {
        return harms[at] > 0.0 && harms[at] >= settings_.smallest_blame * total;
    };
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        if (is_cause(at) && tasks[at].speed > settings_.lowest_speed)
            return std::nullopt;
    }
    if (!at_lowest_since_)
        at_lowest_since_ = now;
    if (now - *at_lowest_since_ < settings_.patience_before_eviction)
        return std::nullopt;
    if (evicted_at_ && now - *evicted_at_ < settings_.eviction_pause)
        return std::nullopt;
    std::optional<evict_task> best;
    auto best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t at = 0; at < tasks.size(); ++at) {
        if (!is_cause(at))
            continue;
        auto const cost = work_lost_by_moving(tasks[at]).count() / harms[at];
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
