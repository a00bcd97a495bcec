/// Throttles, and then moves, the batch tasks that slow a worker's services.
#ifndef SYCAMORESPAR_INTERFERENCE_CONTROL_HPP
#define SYCAMORESPAR_INTERFERENCE_CONTROL_HPP

#include "libsycamorespar/interference_model.hpp"
#include "libsycamorespar/running_task.hpp"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace sycamorespar {

/// Runs a task at a part of its normal speed.
struct throttle_task
{
    /// Which task.
    attempt_id id;
    /// The part of its normal speed, up to 1.
    double speed = 1.0;
};

/// Checkpoints a task and stops it, to be resumed elsewhere.
struct evict_task
{
    /// Which task.
    attempt_id id;
};

/// What is to be done to a task.
using control_action = std::variant<throttle_task, evict_task>;

/// The slowdown of one service on the worker.
struct service_report
{
    /// The service's class.
    class_number of;
    /// Its measured time over its time alone, smoothed over the report.
    double slowdown = 1.0;
    /// The end of the span that the report covers.
    monotonic_time measured_at;
};

/// When to act, and how strongly.
struct control_settings
{
    /// The slowdown, less 1, that the tasks may cause as the model sees it.
    double initial_budget = 0.16;
    /// The slowdown that the budget is steered to.
    double target = 1.185;
    /// Reports this close to the target change nothing.
    double tolerance = 0.02;
    /// The weight of a new report in the smoothed slowdown.
    double report_weight = 0.3;
    /// The change of the budget's logarithm for each 1.0 of slowdown.
    double gain = 1.0;
    /// The bounds of the budget.
    double smallest_budget = 0.03;
    double largest_budget = 0.40;
    /// How many deviations of the estimate count as harm.
    double deviation_weight = 0.1;
    /// The lowest speed; a task there that still slows others is moved.
    double lowest_speed = 0.2;
    /// Changes of speed below this are not made.
    double smallest_change = 0.05;
    /// How long tasks stay at their lowest speed before one is moved.
    std::chrono::seconds eviction_delay{60};
    /// The least time between two evictions on one worker.
    std::chrono::seconds min_eviction_interval{120};
    /// A task that causes less than this part of the slowdown keeps its speed.
    double min_throttle_share = 0.03;
    /// A task that causes less than this part of the slowdown is not moved.
    double min_eviction_share = 0.10;
    /// A slowdown above this, with the causes at their lowest speed, counts
    /// towards the move of a task.
    double eviction_limit = 1.22;
};

/// The controller of one worker. The model says how far each task must be
/// slowed to keep a budget of slowdown; late reports correct the budget. A
/// report counts only if it was measured after the last change of budget.
class interference_control
{
public:
    explicit interference_control(control_settings const& settings = {});

    /// The speeds that keep the budgets; to be asked for when tasks start or
    /// end, and after each report.
    /// \param tasks  the batch tasks of the worker.
    /// \param cores  the cores of the worker.
    std::vector<control_action> plan_speeds(
        std::span<running_task const> tasks, double cores,
        interference_model const& model) const;

    /// Decides after a service's report, which the model learned from.
    std::vector<control_action> on_report(
        service_report const& report, std::span<running_task const> tasks,
        double cores, interference_model const& model, monotonic_time now);

    /// The slowdown, less 1, that tasks may now cause to a service.
    double budget(class_number service) const;

private:
    struct service_state
    {
        class_number of;
        double budget = 0.0;
        double smoothed = 1.0;
        std::optional<monotonic_time> changed_at;
    };

    service_state& state_of(class_number of);
    void correct_budget(
        service_state& service, service_report const& report,
        monotonic_time now);
    std::optional<evict_task> choose_eviction(
        class_number service, std::span<running_task const> tasks, double cores,
        interference_model const& model, monotonic_time now);

    control_settings settings_;
    std::vector<service_state> services_;
    std::optional<monotonic_time> at_lowest_since_;
    std::optional<monotonic_time> evicted_at_;
};

} // namespace sycamorespar

#endif
