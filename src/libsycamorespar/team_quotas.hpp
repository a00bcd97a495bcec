/// Shares of the fleet by team, and room for urgent tasks.
#ifndef SYCAMORESPAR_TEAM_QUOTAS_HPP
#define SYCAMORESPAR_TEAM_QUOTAS_HPP

#include "libsycamorespar/running_task.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace sycamorespar {

/// What a team may use.
struct team_quota
{
    /// The most that its tasks may have reserved; none means no limit.
    std::optional<resources> limit;
    /// Its share where there is not enough; above zero.
    double weight = 1.0;
};

/// A team's next waiting task.
struct waiting_demand
{
    /// The team.
    team_id team;
    /// What the task needs.
    resources demand;
};

/// Counts what each team has reserved and says whose task is next.
class team_quotas
{
public:
    /// Sets a team's quota; what it has reserved stays.
    void set_quota(team_id const& team, team_quota const& quota);

    /// Counts a reservation in.
    void commit(team_id const& team, resources const& amount);

    /// Counts a reservation out.
    void release(team_id const& team, resources const& amount);

    /// What the team has reserved.
    resources reserved(team_id const& team) const;

    /// True where the demand stays within the team's limit.
    bool allows(team_id const& team, resources const& demand) const;

    /// The team's largest share of any resource of the fleet over its
    /// weight.
    double weighted_share(team_id const& team, resources const& fleet) const;

    /// Which of the waiting demands is next: that of the team with the lowest
    /// weighted share among those within their limits.
    /// \return its position; none where all are over their limits.
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

/// A worker on which room for an urgent task might be made.
struct reclaim_candidate
{
    /// The worker.
    worker_id id;
    /// What is free there.
    resources available;
    /// The tasks there that may be moved.
    std::span<running_task const> tasks;
};

/// Which tasks are to be moved to make room.
struct reclaim_plan
{
    /// Where the urgent task then fits.
    worker_id where;
    /// The tasks to checkpoint and stop; may be empty.
    std::vector<attempt_id> move;
    /// The work that is lost by it.
    core_seconds lost{0};
};

/// Plans room for an urgent task at the least loss of work, only by tasks
/// that can be stopped in time.
/// \param stop_within  the time until the room must be free.
/// \return none where no candidate can be cleared in time.
std::optional<reclaim_plan> plan_reclaim(
    resources const& demand, std::span<reclaim_candidate const> candidates,
    duration stop_within);

/// What tasks that can be stopped in time hold, for the watch on headroom.
resources
reclaimable(std::span<running_task const> tasks, duration stop_within);

} // namespace sycamorespar

#endif
