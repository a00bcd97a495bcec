/// What an entry believes about the agents that send it heartbeats.
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

/// An upstream as its agent reports it.
struct upstream_report
{
    /// Its name.
    std::string name;
    /// The rows that it serves.
    std::vector<row_id> rows;
    /// Requests that it takes at a time.
    std::uint32_t slots = 0;
    /// Requests that it had at the time of the report.
    std::uint32_t in_flight = 0;

    bool operator==(upstream_report const&) const = default;
};

/// What an agent says in a heartbeat.
struct agent_report
{
    /// The worker that it runs beside; names the agent too.
    worker_id worker;
    /// Where it listens, as a transport address.
    std::string address;
    /// Its failure domain.
    failure_domain_id domain;
    /// Its rack.
    rack_id rack;
    /// The permit that starts may quote.
    permit issued;
    /// Changes with anything below; repeated heartbeats carry only this.
    std::uint64_t version = 0;
    /// The newest table that it knows.
    table_revision revision;
    /// What the worker physically has.
    resources capacity;
    /// What admitted tasks hold, by row.
    std::vector<row_usage> running;
    /// True where it admits tasks.
    bool ready = false;
    /// True where it takes no more.
    bool leaving = false;
    /// Its upstreams.
    std::vector<upstream_report> upstreams;

    bool operator==(agent_report const&) const = default;
};

/// An agent as the entry believes it to be.
struct known_agent
{
    /// Its last heartbeat.
    agent_report report;
    /// When that arrived.
    monotonic_time last_heartbeat;
};

/// Soft state: lost with the process, filled again by heartbeats.
class agent_directory
{
public:
    /// A permit older than this is not quoted any more.
    static constexpr std::chrono::milliseconds permit_usable_for{1500};
    /// A silent agent is forgotten after this.
    static constexpr std::chrono::seconds silence_limit{10};

    /// Notes a heartbeat. A report of an earlier permit is ignored.
    /// \return true where the agent is new or has a new incarnation.
    bool on_heartbeat(agent_report const& report, monotonic_time now);
    /// Notes a heartbeat that repeats a report which this directory has.
    /// \return false where it does not, so that the report must be asked for.
    bool on_repeated_heartbeat(
        worker_id const& worker, permit const& issued, std::uint64_t version,
        monotonic_time now);
    /// Forgets the silent ones. \return those forgotten.
    std::vector<worker_id> remove_silent(monotonic_time now);
    /// The agent beside a worker; null where unknown.
    known_agent const* find(worker_id const& worker) const;
    /// True where its permit may still be quoted.
    static bool is_usable(known_agent const& agent, monotonic_time now);
    /// All known agents.
    std::map<worker_id, known_agent> const& agents() const { return agents_; }

private:
    std::map<worker_id, known_agent> agents_;
};

} // namespace sycamorespar

#endif
