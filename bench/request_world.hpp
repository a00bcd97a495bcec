/// A small fake of entries, agents and upstreams in virtual time. The agents
/// run the real admission; what slows an upstream is hidden from the routers.
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

/// A row of the table with its load.
struct service_load
{
    /// The row.
    std::string row;
    /// Its weight in the table.
    double weight = 1.0;
    /// True where the table calls it repeatable.
    bool repeatable = false;
    /// Requests a second over all entries.
    double rate = 0.0;
    /// Mean time of service on a quiet upstream.
    std::chrono::microseconds service{0};
    /// Spread of the time of service: sigma of its logarithm.
    double spread = 0.5;
    /// Callers that send it, in equal parts.
    std::uint32_t callers = 20;
    /// How long a caller waits.
    std::chrono::milliseconds deadline{1000};
};

/// One of the users' deployments.
struct deployment
{
    /// Its name on the command line.
    std::string name;
    /// Its failure domains.
    std::vector<std::string> domains;
    /// One way between failure domains.
    std::chrono::microseconds between_domains{1000};
    /// Its services.
    std::vector<service_load> services;
};

/// What happens from `begin` to `end` of the run.
struct disturbance
{
    /// The kind.
    enum class kind
    {
        /// The row's rate is multiplied.
        shift,
        /// One caller of the row adds this many requests a second.
        wave,
        /// The failure domain is taken out in the table.
        domain_out,
        /// The upstream is this many times slower, with half of its cores.
        slow,
        /// The upstream answers at once with a server error.
        broken,
        /// Every entry loses this part of the heartbeats.
        lost_heartbeats
    };
    /// What happens.
    kind what = kind::shift;
    /// Row, failure domain, or index of the upstream.
    std::string where;
    /// By how much.
    double amount = 1.0;
    /// From then.
    std::chrono::milliseconds begin{3000};
    /// Until then.
    std::chrono::milliseconds end{6000};
};

/// A run's parameters.
struct world_settings
{
    /// Where.
    deployment place;
    /// What happens.
    std::vector<disturbance> disturbances;
    /// Seed of loads and noise.
    std::uint64_t seed = 1;
    /// True where batch neighbours slow the upstreams now and then.
    bool noisy = true;
    /// Entries.
    std::uint32_t entries = 3;
    /// How long requests arrive.
    std::chrono::milliseconds length{10'000};
    /// Agents tell their load with each answer as well.
    bool load_on_answers = false;
    /// Period of the agents' heartbeats.
    std::chrono::milliseconds heartbeat{500};
};

/// The calls of a router under test; one set for each entry.
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
    /// Copies sent so far.
    std::function<std::uint64_t()> sent;
};

/// Makes the router of one entry.
using router_factory = std::function<router_hooks(
    incarnation entry, failure_domain_id const& domain, std::uint64_t seed)>;

/// What was measured of one row.
struct row_results
{
    /// Latencies at the entry; what was not answered counts its deadline.
    std::vector<duration> latencies;
    /// Requests without a good answer.
    std::uint64_t failed = 0;
};

/// What was measured in a run.
struct request_results
{
    /// By row; the caller of a wave apart, as "<row>/wave".
    std::map<std::string, row_results> rows;
    /// Requests submitted.
    std::uint64_t submitted = 0;
    /// Copies sent by the entries.
    std::uint64_t sent = 0;
    /// Copies refused by the agents.
    std::uint64_t refused = 0;
    /// Copies that started in a domain later than 3 s after it was taken out.
    std::uint64_t started_while_out = 0;
    /// Answers given while a disturbance lasted.
    std::uint64_t answered_in_disturbance = 0;
};

/// Runs one world with one router.
request_results
run_world(world_settings const& settings, router_factory const& make_router);

} // namespace sycamorespar::bench

#endif
