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

/// What spar-runner is told at its start.
struct runner_settings
{
    /// The machine; its worker keeps this name over all lives.
    worker_id machine;
    /// Where the worker announces itself.
    endpoint announcements;
    /// Where the worker takes its orders.
    endpoint worker;
    /// The platform's store.
    endpoint store;
    /// Schedulers that may be asked where the one in office is, when the store
    /// is away.
    std::vector<endpoint> schedulers;
    /// Where metrics are served; none where nobody asks for them.
    std::optional<endpoint> metrics;
    /// How long the worker's runs go on after an answered report.
    std::chrono::milliseconds lease_time{5500};
};

/// The JSON Schema of the settings.
extern char const* const runner_settings_schema;

/// Reads settings that are valid by the schema.
runner_settings read_runner_settings(nlohmann::json const& from);

} // namespace sycamorespar

#endif
