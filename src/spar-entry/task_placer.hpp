/// Chooses workers for the entry's tasks, from learned estimates.
#ifndef SYCAMORESPAR_SPAR_ENTRY_TASK_PLACER_HPP
#define SYCAMORESPAR_SPAR_ENTRY_TASK_PLACER_HPP

#include "libsycamorespar/agent_directory.hpp"
#include "libsycamorespar/drain_planner.hpp"
#include "libsycamorespar/fault_tracker.hpp"
#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/ledger_shard.hpp"
#include "libsycamorespar/placement.hpp"
#include "libsycamorespar/random_engine.hpp"
#include "libsycamorespar/usage_estimator.hpp"

#include <cstdint>

namespace sycamorespar {

/// Combines placement with learned task sizes, quarantine, and the drain and
/// gradual return of failure domains.
class task_placer
{
public:
    task_placer(
        agent_directory const& directory, std::uint64_t seed,
        monotonic_time started_at);

    /// Switches to a newer table: starts and ends drains of failure domains.
    void adopt_table(table_policy const& policy, monotonic_time now);
    /// Processes an agent's report from a heartbeat.
    void on_agent(agent_report const& report);
    /// Removes a worker that sent no heartbeat in time.
    void on_agent_gone(worker_id const& worker);
    /// Chooses a worker and reserves resources on it.
    placement_result place(job_record const& job, monotonic_time now);
    /// Updates size estimates and fault statistics at the end of an attempt.
    void on_end(
        job_record const& job, attempt_report const& report,
        monotonic_time now);
    /// Makes quarantined workers available again for due probes.
    void tick(monotonic_time now);
    /// Workers in quarantine.
    std::size_t quarantined() const { return faults_.quarantined(); }

private:
    void execute(fault_action const& action);

    agent_directory const& directory_;
    monotonic_time started_at_;
    random_engine engine_;
    table_policy policy_;
    fleet_view fleet_;
    usage_estimator usage_estimator_;
    fault_tracker faults_;
    drain_planner drains_;
    resources largest_worker_;
};

} // namespace sycamorespar

#endif
