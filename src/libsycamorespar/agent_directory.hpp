/// An entry's view of the agents that send it heartbeats.
#ifndef SYCAMORESPAR_AGENT_DIRECTORY_HPP
#define SYCAMORESPAR_AGENT_DIRECTORY_HPP

#include "libsycamorespar/agent_admission.hpp"
#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/permit.hpp"
#include "libsycamorespar/resources.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// An upstream as reported by the agent on its machine.
struct upstream_report
{
    /// The upstream's name.
    std::string name;
    /// The rows that the upstream serves.
    std::vector<row_id> rows;
    /// Maximum number of concurrent requests.
    std::uint32_t slots = 0;
    /// Requests in flight at the time of the report.
    std::uint32_t in_flight = 0;

    bool operator==(upstream_report const&) const = default;
};

/// The content of an agent's heartbeat.
struct agent_report
{
    /// The worker on the agent's machine; also identifies the agent.
    worker_id worker;
    /// The address on which the agent listens, in transport notation.
    std::string address;
    /// The worker's failure domain.
    failure_domain_id domain;
    /// The worker's rack.
    rack_id rack;
    /// The permit that requests to start a task may quote.
    permit issued;
    /// Changes whenever a field below changes; a heartbeat without changes
    /// carries only this.
    std::uint64_t version = 0;
    /// The newest table that the agent has.
    table_revision revision;
    /// The worker's physical capacity.
    resources capacity;
    /// Resources held by admitted tasks, by row.
    std::vector<row_usage> running;
    /// True if the agent admits tasks.
    bool ready = false;
    /// True if the agent accepts no more work.
    bool leaving = false;
    /// The upstreams on the agent's machine.
    std::vector<upstream_report> upstreams;

    bool operator==(agent_report const&) const = default;
};

/// An agent as known from its heartbeats.
struct known_agent
{
    /// The latest report.
    agent_report report;
    /// When the latest accepted heartbeat arrived.
    monotonic_time last_heartbeat;
};

/// Holds the latest report of each agent. The state is not stored: after a
/// restart, heartbeats rebuild it.
class agent_directory
{
public:
    /// An agent's permit is quoted for this long after its last heartbeat.
    static constexpr std::chrono::milliseconds permit_usable_for{1500};
    /// An agent is removed after this long without a heartbeat.
    static constexpr std::chrono::seconds silence_limit{10};

    /// Processes a heartbeat with a full report. It is ignored if its permit
    /// is not newer than the known one of the same incarnation.
    /// \return true if the agent is new or has a new incarnation.
    bool on_heartbeat(agent_report const& report, monotonic_time now);
    /// Processes a heartbeat that refers to a report by its version.
    /// \return false if the directory doesn't have that report; the caller
    /// then has to request it.
    bool on_repeated_heartbeat(
        worker_id const& worker, permit const& issued, std::uint64_t version,
        monotonic_time now);
    /// Removes agents without recent heartbeats. \return the removed ones.
    std::vector<worker_id> remove_silent(monotonic_time now);
    /// The agent on a worker's machine; null if unknown.
    known_agent const* find(worker_id const& worker) const;
    /// True if the agent's permit may still be quoted.
    static bool is_usable(known_agent const& agent, monotonic_time now);
    /// All known agents.
    std::map<worker_id, known_agent> const& agents() const { return agents_; }

private:
    std::map<worker_id, known_agent> agents_;
};

} // namespace sycamorespar

#endif
