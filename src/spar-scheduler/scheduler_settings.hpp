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

/// Start-up settings of spar-scheduler.
struct scheduler_settings
{
    /// The instance's name, for logs.
    std::string machine;
    /// The failure domain of the instance.
    failure_domain_id domain;
    /// Listening address for callers.
    endpoint callers;
    /// Listening address for the platform's readiness checks.
    endpoint readiness;
    /// Listening address for runners and other schedulers.
    endpoint runners;
    /// Address of the platform's store.
    endpoint store;
    /// Listening address for metrics; none to serve none.
    std::optional<endpoint> metrics;
    /// Processing capacity, in thousandths of a core; zero where unknown.
    std::int64_t capacity = 0;
    /// How long a worker's runs may continue after an answered report.
    std::chrono::milliseconds lease_time{5500};
    /// How long a stopping process waits for its open exchanges.
    std::chrono::milliseconds drain{2000};
};

/// The JSON Schema of the settings.
extern char const* const scheduler_settings_schema;

/// Reads settings that were validated by the schema.
scheduler_settings read_scheduler_settings(nlohmann::json const& from);

} // namespace sycamorespar

#endif
