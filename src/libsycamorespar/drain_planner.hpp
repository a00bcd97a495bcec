/// Moves work out of a leaving failure domain and ramps a returning one.
#ifndef SYCAMORESPAR_DRAIN_PLANNER_HPP
#define SYCAMORESPAR_DRAIN_PLANNER_HPP

#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/running_task.hpp"

#include <map>
#include <span>
#include <variant>
#include <vector>

namespace sycamorespar {

/// Where a failure domain is on its way out or back.
enum class domain_phase
{
    /// In service.
    in_service,
    /// To be empty by its deadline.
    draining,
    /// Past its deadline.
    drained,
    /// Taking tasks again, in growing numbers.
    returning
};

/// Start another instance elsewhere; stop this one once that one answers.
struct replace_task
{
    /// Which task.
    attempt_id id;
};

/// Checkpoint and stop this task; it is resumed elsewhere.
struct move_task
{
    /// Which task.
    attempt_id id;
};

/// A step of a drain.
using drain_action = std::variant<replace_task, move_task>;

/// How drains and returns are paced.
struct drain_settings
{
    /// Checkpoints that may be written at the same time.
    unsigned parallel_moves = 4;
    /// Tasks are to be gone this long before the deadline.
    std::chrono::seconds margin{5};
    /// A task stays if it is expected to end within this part of the time.
    double stay_ratio = 0.8;
    /// The share of its capacity that a returning domain takes at first.
    double initial_share = 0.1;
    /// The time until it takes all.
    std::chrono::seconds ramp{60};
};

/// What a drain needs to know at each step.
struct drain_input
{
    /// The tasks in the domain that no earlier action was given for.
    std::span<running_task const> tasks;
    /// Earlier actions that are not yet complete.
    unsigned moves_in_progress = 0;
    /// What is free in the domains that are in service.
    resources free_elsewhere;
};

/// Plans per failure domain; any number of them may leave and return at once.
class drain_planner
{
public:
    explicit drain_planner(drain_settings const& settings = {});

    /// The domain is to be empty by the deadline; also while it returns.
    void start_drain(failure_domain_id const& domain, monotonic_time deadline);

    /// The domain is in service again; ramped where its deadline had passed.
    void return_to_service(failure_domain_id const& domain, monotonic_time now);

    /// Where the domain is on its way.
    domain_phase
    phase(failure_domain_id const& domain, monotonic_time now) const;

    /// The share of its capacity that the domain may have committed, 0 to 1.
    double share(failure_domain_id const& domain, monotonic_time now) const;

    /// True where a task may be started in the domain.
    bool may_start_in(
        failure_domain_id const& domain, group_totals const& totals,
        monotonic_time now) const;

    /// The sum of what is free in the domains that are in service.
    resources
    free_in_service(fleet_view const& fleet, monotonic_time now) const;

    /// The next steps of a leaving domain; empty for others.
    std::vector<drain_action> next_steps(
        failure_domain_id const& domain, drain_input const& input,
        monotonic_time now) const;

private:
    struct domain_state
    {
        bool is_draining = false;
        monotonic_time deadline;
        monotonic_time returned_at;
    };

    drain_settings settings_;
    std::map<failure_domain_id, domain_state> domains_;
};

} // namespace sycamorespar

#endif
