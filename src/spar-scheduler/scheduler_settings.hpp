/// The settings of spar-scheduler.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_SETTINGS_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_SCHEDULER_SETTINGS_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/ids.hpp"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace sycamorespar {

/// What spar-scheduler is told at its start.
struct scheduler_settings
{
    /// The machine, for logs.
    std::string machine;
    /// The failure domain of the machine.
    failure_domain_id domain;
    /// Where callers connect.
    endpoint callers;
    /// Where the platform asks whether callers should be sent here.
    endpoint readiness;
    /// Where runners and other schedulers connect.
    endpoint runners;
    /// The platform's store.
    endpoint store;
    /// Where metrics are served; none where nobody asks for them.
    std::optional<endpoint> metrics;
    /// What this process can carry, in thousandths of a core; zero where
    /// unknown.
    std::int64_t capacity = 0;
    /// How long a worker's runs go on after an answered report.
    std::chrono::milliseconds lease_time{5500};
    /// How long a stopping process may finish its open exchanges.
    std::chrono::milliseconds drain{2000};
};

/// The JSON Schema of the settings.
extern char const* const scheduler_settings_schema;

/// Reads settings that are valid by the schema.
scheduler_settings read_scheduler_settings(nlohmann::json const& from);

} // namespace sycamorespar

#endif
