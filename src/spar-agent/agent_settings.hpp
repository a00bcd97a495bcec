/// The settings of an agent.
#ifndef SYCAMORESPAR_SPAR_AGENT_AGENT_SETTINGS_HPP
#define SYCAMORESPAR_SPAR_AGENT_AGENT_SETTINGS_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/ids.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace sycamorespar {

/// The contents of an agent's settings file.
struct agent_settings
{
    /// The worker whose tasks the agent admits.
    worker_id worker;
    /// The failure domain of the agent and its worker.
    failure_domain_id domain;
    /// The rack of the agent and its worker.
    rack_id rack;
    /// Listening endpoint for announcements of upstreams and for metrics.
    endpoint listen;
    /// Listening endpoint for messages from entries.
    endpoint peer_listen;
    /// The endpoint of the worker's HTTP interface.
    endpoint worker_endpoint;
    /// The endpoints of the platform's key-value service.
    std::vector<endpoint> store;
    /// Number of entries that the agent sends heartbeats to.
    std::uint32_t home_entries = 3;
    /// Number of shards of the ledger; must be equal in the settings of all
    /// processes.
    std::uint32_t ledger_shards = 16;
};

/// The JSON Schema of the settings file.
extern char const* const agent_settings_schema;

/// Reads settings that conform to `agent_settings_schema`.
agent_settings read_agent_settings(nlohmann::json const& from);

} // namespace sycamorespar

#endif
