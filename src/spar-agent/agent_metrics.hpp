/// The agent's metrics page.
#ifndef SYCAMORESPAR_SPAR_AGENT_AGENT_METRICS_HPP
#define SYCAMORESPAR_SPAR_AGENT_AGENT_METRICS_HPP

#include "libsycamorespar/agent_admission.hpp"

#include <string>

namespace sycamorespar {

/// Renders the page in the Prometheus text format.
std::string render_agent_metrics(agent_admission const& from);

} // namespace sycamorespar

#endif
