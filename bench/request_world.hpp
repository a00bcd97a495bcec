/// Simulates entries, agents and upstreams in virtual time. The agents run the
/// real admission code; the routers cannot see what slows an upstream down.
#ifndef SYCAMORESPAR_BENCH_REQUEST_WORLD_HPP
#define SYCAMORESPAR_BENCH_REQUEST_WORLD_HPP

#include "libsycamorespar/agent_admission.hpp"
#include "libsycamorespar/agent_directory.hpp"
#include "libsycamorespar/request_router.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar::bench {

/// A service's row of the table and the load on it.
struct service_load
{
    /// Row id.
    std::string row;
    /// Weight in the table.
    double weight = 1.0;
    /// True if the table marks the row as repeatable.
    bool repeatable = false;
    /// Requests per second, summed over all entries.
    double rate = 0.0;
    /// Mean service time on an upstream without contention.
    std::chrono::microseconds service{0};
    /// Standard deviation of the logarithm of the service time.
    double spread = 0.5;
    /// Number of callers; each sends an equal part of the requests.
    std::uint32_t callers = 20;
    /// Time after which a caller gives up.
    std::chrono::milliseconds deadline{1000};
};

/// One of the users' deployments.
struct deployment
{
    /// Name on the command line.
    std::string name;
    /// Names of the failure domains.
    std::vector<std::string> domains;
    /// One-way network latency between failure domains.
    std::chrono::microseconds between_domains{1000};
    /// Services and their load.
    std::vector<service_load> services;
};

/// A change of load or a fault that lasts from `begin` to `end` of the run.
struct disturbance
{
    /// Kind of disturbance.
    enum class kind
    {
        /// The row's request rate is multiplied by `amount`.
        shift,
        /// One caller of the row sends `amount` more requests per second.
        wave,
        /// The failure domain is taken out of service in the table.
        domain_out,
        /// The upstream is slower by the factor `amount` and has half its
        /// cores.
        slow,
        /// The upstream answers immediately with a server error.
        broken,
        /// Every entry loses the fraction `amount` of the heartbeats.
        lost_heartbeats
    };
    /// Kind of this disturbance.
    kind type = kind::shift;
    /// Affected row, failure domain, or index of the upstream.
    std::string where;
    /// Factor, rate or fraction; see the kinds.
    double amount = 1.0;
    /// Start, from the start of the run.
    std::chrono::milliseconds begin{3000};
    /// End, from the start of the run.
    std::chrono::milliseconds end{6000};
};

/// Parameters of a run.
struct world_settings
{
    /// Deployment to simulate.
    deployment place;
    /// Disturbances during the run.
    std::vector<disturbance> disturbances;
    /// Seed of the load, the noise and the network.
    std::uint64_t seed = 1;
    /// True if co-located batch tasks slow the upstreams at random times.
    bool noisy = true;
    /// Number of entries.
    std::uint32_t entries = 3;
    /// Time during which requests arrive.
    std::chrono::milliseconds length{10'000};
    /// True if agents report their load with each answer as well.
    bool load_on_answers = false;
    /// Period of the agents' heartbeats.
    std::chrono::milliseconds heartbeat{500};
};

/// The interface to a router under test; one set per entry.
struct router_hooks
{
    std::function<request_id()> next_id;
    std::function<void(table_policy const&)> adopt_table;
    std::function<void(routed_request const&, monotonic_time)> submit;
    std::function<void(agent_report const&, monotonic_time)> on_agent;
    std::function<void(worker_id const&, std::uint32_t, monotonic_time)>
        on_load;
    std::function<std::optional<request_id>(
        request_id const&, bool, monotonic_time)>
        on_answer;
    std::function<void(request_id const&, refusal, monotonic_time)> on_refused;
    std::function<std::vector<router_action>(monotonic_time)> tick;
    /// Returns the number of copies sent so far.
    std::function<std::uint64_t()> sent;
};

/// Makes the router of one entry.
using router_factory = std::function<router_hooks(
    incarnation entry, failure_domain_id const& domain, std::uint64_t seed)>;

/// Results of one row.
struct row_results
{
    /// Latencies at the entry; a request without a good answer counts with its
    /// whole deadline.
    std::vector<duration> latencies;
    /// Number of requests without a good answer.
    std::uint64_t failed = 0;
};

/// Results of a run.
struct request_results
{
    /// Results by row; those of a wave's caller are separate, as "<row>/wave".
    std::map<std::string, row_results> rows;
    /// Number of requests submitted.
    std::uint64_t submitted = 0;
    /// Number of copies sent by the entries.
    std::uint64_t sent = 0;
    /// Number of copies refused by the agents.
    std::uint64_t refused = 0;
    /// Number of copies that started in a domain more than 3 s after it was
    /// taken out of service.
    std::uint64_t started_while_out = 0;
    /// Number of good answers during a disturbance.
    std::uint64_t answered_in_disturbance = 0;
};

/// Simulates one run with one kind of router.
request_results
run_world(world_settings const& settings, router_factory const& make_router);

} // namespace sycamorespar::bench

#endif
