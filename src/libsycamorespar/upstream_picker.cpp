/// Compares a few random choices. Load reports are up to one heartbeat old, so
/// all entries would see the same least loaded agent and flood it; random
/// choices spread the requests and still avoid loaded agents.
#include "libsycamorespar/upstream_picker.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <utility>

namespace sycamorespar {

namespace {

/// Time constant by which the load assumed after a `no_slot` refusal decays.
constexpr std::chrono::milliseconds refusal_decay_time{20};
/// How long an agent is not picked after a refusal for another reason.
constexpr std::chrono::milliseconds exclusion_time{250};
/// Time constant by which the slowness decays to 1 without new answers.
constexpr std::chrono::milliseconds slowness_decay_time{5000};
/// Weight of a new answer in the moving average of the slowness.
constexpr double slowness_smoothing = 0.1;
/// Upper bound on the slowness of a single answer.
constexpr double max_slowness = 10.0;
/// Random samples drawn at most for each eligible agent wanted.
constexpr std::uint32_t samples_per_choice = 3;
/// Agents scanned at most where no sample was eligible.
constexpr std::size_t max_scan_length = 32;

double decay_factor(duration since, duration time_constant)
{
    if (since <= duration::zero())
        return 1.0;
    return std::exp(
        -std::chrono::duration<double>(since).count() /
        std::chrono::duration<double>(time_constant).count());
}

std::uint32_t total_slots(agent_report const& report)
{
    std::uint32_t slots = 0;
    for (upstream_report const& each : report.upstreams)
        slots += each.slots;
    return slots;
}

std::uint32_t total_in_flight(agent_report const& report)
{
    std::uint32_t in_flight = 0;
    for (upstream_report const& each : report.upstreams)
        in_flight += each.in_flight;
    return in_flight;
}

bool same_rows(agent_report const& left, agent_report const& right)
{
    return std::equal(
        left.upstreams.begin(), left.upstreams.end(), right.upstreams.begin(),
        right.upstreams.end(),
        [](upstream_report const& one, upstream_report const& other) {
            return one.rows == other.rows;
        });
}

} // namespace

upstream_picker::upstream_picker(picker_settings settings)
    : settings_(std::move(settings)), engine_(settings_.seed)
{}

upstream_picker::agent_state* upstream_picker::find(worker_id const& worker)
{
    auto const found = by_worker_.find(worker);
    return found != by_worker_.end() ? &agents_[found->second] : nullptr;
}

void upstream_picker::on_agent(agent_report const& report, monotonic_time now)
{
    auto const [position, is_new] = by_worker_.try_emplace(report.worker, 0);
    if (is_new && unused_.empty()) {
        position->second = agents_.size();
        agents_.emplace_back(settings_.rule);
    } else if (is_new) {
        position->second = unused_.back();
        unused_.pop_back();
        agents_[position->second] = agent_state(settings_.rule);
    }
    agent_state& agent = agents_[position->second];
    if (is_new || !same_rows(agent.report, report)) {
        unindex_rows(position->second);
        index_rows(position->second, report);
    }
    agent.report = report;
    agent.last_heartbeat_at = now;
    agent.is_known = true;
    agent.slots = total_slots(report);
    agent.limit.set_slots(agent.slots);
    on_load(report.worker, total_in_flight(report), now);
}

void upstream_picker::on_agent_gone(worker_id const& worker)
{
    auto const found = by_worker_.find(worker);
    if (found == by_worker_.end())
        return;
    unindex_rows(found->second);
    agents_[found->second].is_known = false;
    unused_.push_back(found->second);
    by_worker_.erase(found);
}

void upstream_picker::index_rows(agent_index index, agent_report const& report)
{
    for (upstream_report const& upstream : report.upstreams) {
        for (row_id const& row : upstream.rows) {
            row_members& members = rows_[row];
            if (std::find(members.all.begin(), members.all.end(), index) !=
                members.all.end())
                continue;
            members.all.push_back(index);
            if (report.domain == settings_.domain)
                members.own_domain.push_back(index);
        }
    }
}

void upstream_picker::unindex_rows(agent_index index)
{
    for (auto& [row, members] : rows_) {
        std::erase(members.all, index);
        std::erase(members.own_domain, index);
    }
}

void upstream_picker::on_load(
    worker_id const& worker, std::uint32_t in_flight, monotonic_time)
{
    agent_state* agent = find(worker);
    if (agent == nullptr)
        return;
    agent->others_in_flight = std::max(
        0.0, static_cast<double>(in_flight) -
                 static_cast<double>(agent->own_in_flight));
}

double upstream_picker::estimated_in_flight(
    agent_state const& agent, monotonic_time now) const
{
    double const after_refusal =
        agent.others_at_refusal *
        decay_factor(now - agent.refused_at, refusal_decay_time);
    return static_cast<double>(agent.own_in_flight) +
           std::max(agent.others_in_flight, after_refusal);
}

double
upstream_picker::current_slowness(agent_state const& agent, monotonic_time now)
{
    // Decays to 1 without new answers, so that an agent that was slow is tried
    // again.
    return 1.0 + (agent.slowness - 1.0) *
                     decay_factor(now - agent.slowness_at, slowness_decay_time);
}

bool upstream_picker::is_eligible(
    agent_state const& agent, pick_request const& wanted,
    table_policy const& policy, monotonic_time now) const
{
    if (!agent.is_known || agent.report.leaving ||
        now - agent.last_heartbeat_at >= agent_directory::permit_usable_for ||
        now < agent.excluded_until)
        return false;
    if (!may_run_in(policy, wanted.row, agent.report.domain))
        return false;
    auto const reserved =
        static_cast<double>(wanted.reserve_levels * settings_.reserved_slots);
    double const limit_now =
        std::min<double>(agent.limit.current(), agent.slots - reserved);
    return estimated_in_flight(agent, now) + 1.0 <= std::max(limit_now, 1.0) &&
           agent.slots > 0;
}

upstream_picker::candidate
upstream_picker::score_of(agent_index index, monotonic_time now) const
{
    agent_state const& agent = agents_[index];
    double const load = estimated_in_flight(agent, now) / agent.slots;
    // Slowness is squared: on a slow upstream the request takes longer, and so
    // do the requests already in flight there.
    double const slowness = current_slowness(agent, now);
    return {index, slowness * slowness * (1.0 + load)};
}

std::optional<upstream_picker::candidate> upstream_picker::best_of(
    std::vector<agent_index> const& members, pick_request const& wanted,
    table_policy const& policy, monotonic_time now)
{
    if (members.empty())
        return std::nullopt;
    std::optional<candidate> best;
    auto const consider = [&](agent_index index) {
        agent_state const& agent = agents_[index];
        bool const is_same = best && best->index == index;
        if (is_same || agent.report.worker == wanted.avoid ||
            !is_eligible(agent, wanted, policy, now))
            return false;
        candidate const scored = score_of(index, now);
        if (!best || scored.score < best->score)
            best = scored;
        return true;
    };
    boost::random::uniform_int_distribution<std::size_t> any(
        0, members.size() - 1);
    std::uint32_t found = 0;
    std::uint32_t const samples = settings_.choices * samples_per_choice;
    for (std::uint32_t sample = 0;
         sample < samples && found < settings_.choices; ++sample) {
        if (consider(members[any(engine_)]))
            ++found;
    }
    if (best)
        return best;
    // Few agents are eligible: scan some more in order from a random position.
    std::size_t const begin = any(engine_);
    std::size_t const count = std::min(members.size(), max_scan_length);
    for (std::size_t step = 0; step < count && !best; ++step)
        consider(members[(begin + step) % members.size()]);
    return best;
}

std::optional<picked_agent> upstream_picker::pick(
    pick_request const& wanted, table_policy const& policy, monotonic_time now)
{
    auto const found = rows_.find(wanted.row);
    if (found == rows_.end())
        return std::nullopt;
    row_members const& members = found->second;
    // The cost of crossing failure domains is part of the slowness, so the own
    // domain needs no preference beyond being sampled separately.
    auto best = best_of(members.own_domain, wanted, policy, now);
    auto const any = best_of(members.all, wanted, policy, now);
    if (any && (!best || any->score < best->score))
        best = any;
    if (!best && !wanted.avoid.value.empty()) {
        pick_request anyone = wanted;
        anyone.avoid = {};
        best = best_of(members.all, anyone, policy, now);
    }
    if (!best)
        return std::nullopt;
    agent_report const& chosen = agents_[best->index].report;
    return picked_agent{chosen.worker, chosen.issued};
}

void upstream_picker::on_sent(worker_id const& worker)
{
    if (agent_state* agent = find(worker))
        ++agent->own_in_flight;
}

void upstream_picker::on_released(worker_id const& worker)
{
    agent_state* agent = find(worker);
    if (agent != nullptr && agent->own_in_flight > 0)
        --agent->own_in_flight;
}

void upstream_picker::on_no_slot(worker_id const& worker, monotonic_time now)
{
    agent_state* agent = find(worker);
    if (agent == nullptr)
        return;
    agent->others_at_refusal = std::max(
        0.0, static_cast<double>(agent->slots) -
                 static_cast<double>(agent->own_in_flight));
    agent->refused_at = now;
}

void upstream_picker::on_refused(worker_id const& worker, monotonic_time now)
{
    if (agent_state* agent = find(worker))
        agent->excluded_until = now + exclusion_time;
}

void upstream_picker::on_answer(
    worker_id const& worker, double slowness, monotonic_time now)
{
    agent_state* agent = find(worker);
    if (agent == nullptr)
        return;
    double const before = current_slowness(*agent, now);
    double const sample = std::min(slowness, max_slowness);
    agent->slowness = before + slowness_smoothing * (sample - before);
    agent->slowness_at = now;
    agent->limit.on_answer(
        agent->slowness,
        static_cast<std::uint32_t>(estimated_in_flight(*agent, now)));
}

} // namespace sycamorespar
