/// Plans the drain of failure domains and their gradual return to service.
#ifndef SYCAMORESPAR_DRAIN_PLANNER_HPP
#define SYCAMORESPAR_DRAIN_PLANNER_HPP

#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/running_task.hpp"

#include <map>
#include <span>
#include <variant>
#include <vector>

namespace sycamorespar {

/// The phase of a failure domain's drain and return.
enum class domain_phase
{
    /// In service without restrictions.
    in_service,
    /// Being drained; has to be empty by its deadline.
    draining,
    /// Out of service, past its deadline.
    drained,
    /// In service again, with a growing share of its capacity.
    returning
};

/// Start another instance of this task elsewhere, and stop this one once the
/// other one answers.
struct replace_task
{
    /// The task.
    attempt_id id;
};

/// Checkpoint and stop this task, so that it can resume elsewhere.
struct move_task
{
    /// The task.
    attempt_id id;
};

/// A step of a drain.
using drain_action = std::variant<replace_task, move_task>;

/// Parameters of drains and returns.
struct drain_settings
{
    /// Maximum number of checkpoints written at the same time.
    unsigned parallel_moves = 4;
    /// Tasks have to be stopped this long before the deadline.
    std::chrono::seconds margin{5};
    /// A task runs to its end if it is expected to end within this fraction of
    /// the remaining time.
    double stay_ratio = 0.8;
    /// The share of its capacity that a returning domain offers at first.
    double initial_share = 0.1;
    /// The time until a returning domain offers its whole capacity.
    std::chrono::seconds ramp{60};
};

/// The input of one planning step.
struct drain_input
{
    /// The tasks in the domain for which no action has been given yet.
    std::span<running_task const> tasks;
    /// Number of earlier actions that are not yet complete.
    unsigned moves_in_progress = 0;
    /// The free capacity in the domains that are in service.
    resources free_elsewhere;
};

/// Plans the drain and return of each failure domain; any number of domains may
/// drain and return at the same time.
class drain_planner
{
public:
    explicit drain_planner(drain_settings const& settings = {});

    /// Starts to drain a domain, which has to be empty by the deadline. Also
    /// valid for a domain that is returning.
    void start_drain(failure_domain_id const& domain, monotonic_time deadline);

    /// Returns a domain to service; with a ramp if its deadline had passed.
    void return_to_service(failure_domain_id const& domain, monotonic_time now);

    /// The domain's current phase.
    domain_phase
    phase(failure_domain_id const& domain, monotonic_time now) const;

    /// The share of its capacity that the domain may have committed, from 0 to
    /// 1.
    double share(failure_domain_id const& domain, monotonic_time now) const;

    /// True if a task may be started in the domain.
    bool may_start_in(
        failure_domain_id const& domain, group_totals const& totals,
        monotonic_time now) const;

    /// The sum of the free capacity in the domains that are in service.
    resources
    free_in_service(fleet_view const& fleet, monotonic_time now) const;

    /// The next actions for a draining domain; empty for others.
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
