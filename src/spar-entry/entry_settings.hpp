/// The settings of an entry.
#ifndef SYCAMORESPAR_SPAR_ENTRY_ENTRY_SETTINGS_HPP
#define SYCAMORESPAR_SPAR_ENTRY_ENTRY_SETTINGS_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/ids.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace sycamorespar {

/// An entry's settings, as read from its settings file.
struct entry_settings
{
    /// The entry's name, unique among the entries.
    entry_id id;
    /// The entry's own failure domain.
    failure_domain_id domain;
    /// HTTP endpoint for callers and operators.
    endpoint listen;
    /// Endpoint for messages from agents.
    endpoint peer_listen;
    /// Endpoints of the platform's key-value service.
    std::vector<endpoint> store;
    /// Number of ledger shards; must be equal for all entries.
    std::uint32_t ledger_shards = 16;
    /// Lifetime of the lease on its registration in the store.
    std::chrono::seconds lease_ttl{6};
};

/// The JSON Schema of the settings file.
extern char const* const entry_settings_schema;

/// Reads settings that have been validated against the schema.
entry_settings read_entry_settings(nlohmann::json const& from);

} // namespace sycamorespar

#endif
