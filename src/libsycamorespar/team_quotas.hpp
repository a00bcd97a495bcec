/// Team quotas, and plans that free capacity for urgent tasks.
#ifndef SYCAMORESPAR_TEAM_QUOTAS_HPP
#define SYCAMORESPAR_TEAM_QUOTAS_HPP

#include "libsycamorespar/running_task.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sycamorespar {

/// A team's quota.
struct team_quota
{
    /// Upper bound of the resources reserved for the team's tasks; none means
    /// no limit.
    std::optional<resources> limit;
    /// The team's relative share when resources are scarce; above zero.
    double weight = 1.0;
};

/// The next waiting task of a team.
struct waiting_demand
{
    /// The team.
    team_id team;
    /// What the task needs.
    resources demand;
};

/// Tracks each team's reservations and selects whose task starts next.
class team_quotas
{
public:
    /// Sets a team's quota; its reservations remain.
    void set_quota(team_id const& team, team_quota const& quota);

    /// Adds a reservation.
    void commit(team_id const& team, resources const& amount);

    /// Removes a reservation.
    void release(team_id const& team, resources const& amount);

    /// The team's reservations in total.
    resources reserved(team_id const& team) const;

    /// True if the team stays within its limit with the demand added.
    bool allows(team_id const& team, resources const& demand) const;

    /// The team's dominant share (its largest share of any resource of the
    /// fleet), divided by its weight.
    double weighted_share(team_id const& team, resources const& fleet) const;

    /// Selects the next of the waiting demands: that of the team with the
    /// lowest weighted share among those within their limits.
    /// \return its position; none if all would exceed their limits.
    std::optional<std::size_t>
    next(std::span<waiting_demand const> waiting, resources const& fleet) const;

private:
    struct team_state
    {
        team_quota quota;
        resources reserved;
    };

    std::map<team_id, team_state> teams_;
};

/// A worker on which capacity for an urgent task might be freed.
struct reclaim_candidate
{
    /// The worker.
    worker_id id;
    /// The worker's free capacity.
    resources available;
    /// The worker's tasks that may be moved.
    std::span<running_task const> tasks;
};

/// A plan that frees capacity on one worker by moving tasks.
struct reclaim_plan
{
    /// The worker on which the urgent task then fits.
    worker_id where;
    /// The tasks to checkpoint and stop; may be empty.
    std::vector<attempt_id> move;
    /// The work that is lost by moving them.
    core_seconds lost{0};
};

/// Plans how to free capacity for an urgent task with the least loss of work,
/// considering only tasks that can be stopped in time.
/// \param stop_within  the time within which the capacity has to be free.
/// \return none if it can't be freed on any candidate in time.
std::optional<reclaim_plan> plan_reclaim(
    resources const& demand, std::span<reclaim_candidate const> candidates,
    duration stop_within);

/// The resources held by tasks that can be stopped in time; for monitoring
/// headroom.
resources
reclaimable(std::span<running_task const> tasks, duration stop_within);

} // namespace sycamorespar

#endif
