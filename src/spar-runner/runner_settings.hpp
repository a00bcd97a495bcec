/// The settings of spar-runner.
#ifndef SYCAMORESPAR_SPAR_RUNNER_RUNNER_SETTINGS_HPP
#define SYCAMORESPAR_SPAR_RUNNER_RUNNER_SETTINGS_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/ids.hpp"

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Start-up settings of spar-runner.
struct runner_settings
{
    /// The instance; its worker keeps this id over all its incarnations.
    worker_id machine;
    /// Listening address for the worker's announcements.
    endpoint announcements;
    /// The worker's address for orders.
    endpoint worker;
    /// Address of the platform's store.
    endpoint store;
    /// Schedulers to ask for the leader while the store is unreachable.
    std::vector<endpoint> schedulers;
    /// Listening address for metrics; none to serve none.
    std::optional<endpoint> metrics;
    /// How long the worker's runs may continue after an answered report.
    std::chrono::milliseconds lease_time{5500};
};

/// The JSON Schema of the settings.
extern char const* const runner_settings_schema;

/// Reads settings that were validated by the schema.
runner_settings read_runner_settings(nlohmann::json const& from);

} // namespace sycamorespar

#endif
