/// Throttles, and then evicts, batch tasks that slow a worker's services.
#ifndef SYCAMORESPAR_INTERFERENCE_CONTROL_HPP
#define SYCAMORESPAR_INTERFERENCE_CONTROL_HPP

#include "libsycamorespar/interference_model.hpp"
#include "libsycamorespar/running_task.hpp"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace sycamorespar {

/// Sets the speed of a task.
struct throttle_task
{
    /// The task.
    attempt_id id;
    /// New speed as a part of its full speed, up to 1.
    double speed = 1.0;
};

/// Checkpoints and stops a task, so that it resumes on another worker.
struct evict_task
{
    /// The task.
    attempt_id id;
};

/// An action on one task.
using control_action = std::variant<throttle_task, evict_task>;

/// A measurement of the slowdown of one service on the worker.
struct service_report
{
    /// Class of the service.
    class_number service_class;
    /// Measured time divided by the time when it runs alone, averaged over the
    /// span of the report; 1 means no slowdown.
    double slowdown = 1.0;
    /// End of the span that the report covers.
    monotonic_time measured_at;
};

/// Settings of the controller.
struct control_settings
{
    /// Initial budget: the slowdown, less 1, that tasks may cause to a service
    /// according to the model.
    double initial_budget = 0.16;
    /// Measured slowdown that the budget is adjusted towards.
    double target = 1.185;
    /// The budget is kept while the slowdown is this close to the target.
    double tolerance = 0.02;
    /// Weight of a new report in the exponentially smoothed slowdown.
    double report_weight = 0.3;
    /// Change of the budget's logarithm per 1.0 of slowdown off the target.
    double gain = 1.0;
    /// Lower bound of the budget.
    double smallest_budget = 0.03;
    /// Upper bound of the budget.
    double largest_budget = 0.40;
    /// Standard deviations that are added to an estimated slowdown.
    double deviation_weight = 0.1;
    /// Lowest speed; a task that still slows services at this speed is evicted.
    double lowest_speed = 0.2;
    /// Smaller changes of speed are not made, except to a bound.
    double smallest_change = 0.05;
    /// How long tasks stay at their lowest speed before one is evicted.
    std::chrono::seconds eviction_delay{60};
    /// Least time between two evictions on one worker.
    std::chrono::seconds min_eviction_interval{120};
    /// A task that causes less than this part of the slowdown is not throttled.
    double min_throttle_share = 0.03;
    /// A task that causes less than this part of the slowdown is not evicted.
    double min_eviction_share = 0.10;
    /// Smoothed slowdown above which a task may be evicted, once all causes run
    /// at their lowest speed.
    double eviction_limit = 1.22;
};

/// The controller of one worker. The model determines how far each task must be
/// throttled to keep the slowdown of each service within a budget, and reports
/// correct the budget. Reports arrive late; one that was measured before the
/// last change of the budget doesn't change it again.
class interference_control
{
public:
    explicit interference_control(control_settings const& settings = {});

    /// Returns the changes of speed that keep the budgets. Call it when tasks
    /// start or end; `on_report()` includes it.
    /// \param tasks  the batch tasks of the worker.
    /// \param cores  the number of processors of the worker.
    std::vector<control_action> plan_speeds(
        std::span<running_task const> tasks, double cores,
        interference_model const& model) const;

    /// Returns the actions after a report of a service. The model must have
    /// observed the report already.
    std::vector<control_action> on_report(
        service_report const& report, std::span<running_task const> tasks,
        double cores, interference_model const& model, monotonic_time now);

    /// Current budget: the slowdown, less 1, that tasks may cause to a service.
    double budget(class_number service) const;

private:
    struct service_state
    {
        class_number service_class;
        double budget = 0.0;
        double smoothed = 1.0;
        std::optional<monotonic_time> changed_at;
    };

    service_state& state_of(class_number service);
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
