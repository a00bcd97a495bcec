/// Chooses the agent for a request: compares a few random agents by load and
/// latency.
#ifndef SYCAMORESPAR_UPSTREAM_PICKER_HPP
#define SYCAMORESPAR_UPSTREAM_PICKER_HPP

#include "libsycamorespar/agent_directory.hpp"
#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/concurrency_limit.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/latency_estimate.hpp"
#include "libsycamorespar/permit.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamorespar {

/// Settings of the picker.
struct picker_settings
{
    /// The entry's own failure domain.
    failure_domain_id domain;
    /// Seed of the random choices.
    std::uint64_t seed = 1;
    /// The rule by which the concurrency limits follow the latencies.
    limit_rule rule = gradient_limit_rule;
    /// Number of agents compared for each request, once in the entry's own
    /// failure domain and once in all of them.
    std::uint32_t choices = 4;
    /// Slots that each reserve level leaves free on an agent.
    std::uint32_t reserved_slots = 1;
};

/// Requirements of a request.
struct pick_request
{
    /// The table row.
    row_id row;
    /// Levels of reserved slots that it must leave free: zero for a row and
    /// caller within their shares.
    std::uint32_t reserve_levels = 0;
    /// An agent that is picked only if no other is eligible.
    worker_id avoid;
};

/// The agent that was picked.
struct picked_agent
{
    /// The agent's worker.
    worker_id worker;
    /// The permit to quote.
    permit quoted;
};

/// Tracks one entry's view of the agents and their upstreams and picks among
/// them. The cost of a pick does not grow with the number of agents.
class upstream_picker
{
public:
    explicit upstream_picker(picker_settings settings);

    /// Processes an agent's heartbeat.
    void on_agent(agent_report const& report, monotonic_time now);
    /// Removes an agent.
    void on_agent_gone(worker_id const& worker);
    /// Processes a load report sent by an agent between heartbeats.
    void on_load(
        worker_id const& worker, std::uint32_t in_flight, monotonic_time now);
    /// Picks an agent with a free slot; none where no agent has one.
    std::optional<picked_agent> pick(
        pick_request const& wanted, table_policy const& policy,
        monotonic_time now);
    /// A request was sent to the agent.
    void on_sent(worker_id const& worker);
    /// A request sent to the agent has ended, with or without an answer.
    void on_released(worker_id const& worker);
    /// The agent had no free slot.
    void on_no_slot(worker_id const& worker, monotonic_time now);
    /// The agent refused for another reason, which is likely to persist: it is
    /// not picked for a while.
    void on_refused(worker_id const& worker, monotonic_time now);
    /// An answer arrived; its slowness is its latency divided by the row's mean
    /// latency.
    void
    on_answer(worker_id const& worker, double slowness, monotonic_time now);

private:
    struct agent_state
    {
        agent_report report;
        monotonic_time last_heartbeat_at;
        bool is_known = false;
        std::uint32_t own_in_flight = 0;
        std::uint32_t slots = 0;
        /// Requests in flight from other entries, by the last load report.
        double others_in_flight = 0.0;
        /// Requests in flight from other entries at the last `no_slot` refusal.
        double others_at_refusal = 0.0;
        monotonic_time refused_at;
        monotonic_time excluded_until;
        double slowness = 1.0;
        monotonic_time slowness_at;
        concurrency_limit limit;

        explicit agent_state(limit_rule const& rule) : limit(rule) {}
    };
    using agent_index = std::size_t;
    struct row_members
    {
        std::vector<agent_index> own_domain;
        std::vector<agent_index> all;
    };
    struct candidate
    {
        agent_index index = 0;
        double score = 0.0;
    };

    agent_state* find(worker_id const& worker);
    void index_rows(agent_index index, agent_report const& report);
    void unindex_rows(agent_index index);
    double
    estimated_in_flight(agent_state const& agent, monotonic_time now) const;
    static double
    current_slowness(agent_state const& agent, monotonic_time now);
    bool is_eligible(
        agent_state const& agent, pick_request const& wanted,
        table_policy const& policy, monotonic_time now) const;
    std::optional<candidate> best_of(
        std::vector<agent_index> const& members, pick_request const& wanted,
        table_policy const& policy, monotonic_time now);
    candidate score_of(agent_index index, monotonic_time now) const;

    picker_settings settings_;
    boost::random::mt19937_64 engine_;
    std::vector<agent_state> agents_;
    std::vector<agent_index> unused_;
    std::unordered_map<worker_id, agent_index> by_worker_;
    std::unordered_map<row_id, row_members> rows_;
};

} // namespace sycamorespar

#endif
