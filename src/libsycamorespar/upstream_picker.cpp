/// Picking among a few random choices. Reports of load are old by up to a
/// heartbeat, so that "the least loaded" of all would be the same for every
/// entry and be flooded; random choices spread and still avoid loaded ones.
#include "libsycamorespar/upstream_picker.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <utility>

namespace sycamorespar {

namespace {

constexpr std::chrono::milliseconds refusal_fades_in{20};
constexpr std::chrono::milliseconds unfit_for{250};
constexpr std::chrono::milliseconds slowness_fades_in{5000};
constexpr double slowness_step = 0.1;
constexpr double most_slowness = 10.0;
constexpr std::uint32_t samples_for_each_choice = 3;
constexpr std::size_t scan_at_most = 32;

double faded(duration since, duration time_constant)
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
    auto const [place, is_new] = by_worker_.try_emplace(report.worker, 0);
    if (is_new && unused_.empty()) {
        place->second = agents_.size();
        agents_.emplace_back(settings_.rule);
    } else if (is_new) {
        place->second = unused_.back();
        unused_.pop_back();
        agents_[place->second] = agent_state(settings_.rule);
    }
    agent_state& agent = agents_[place->second];
    if (is_new || !same_rows(agent.report, report)) {
        unindex_rows(place->second);
        index_rows(place->second, report);
    }
    agent.report = report;
    agent.heard_at = now;
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
    agent->others = std::max(
        0.0, static_cast<double>(in_flight) -
                 static_cast<double>(agent->own_in_flight));
}

double upstream_picker::believed_in_flight(
    agent_state const& agent, monotonic_time now) const
{
    double const from_refusal =
        agent.refused_others * faded(now - agent.refused_at, refusal_fades_in);
    return static_cast<double>(agent.own_in_flight) +
           std::max(agent.others, from_refusal);
}

double
upstream_picker::slowness_now(agent_state const& agent, monotonic_time now)
{
    // Without new answers an upstream is given the benefit of the doubt.
    return 1.0 + (agent.slowness - 1.0) *
                     faded(now - agent.slowness_at, slowness_fades_in);
}

bool upstream_picker::is_eligible(
    agent_state const& agent, pick_request const& wanted,
    table_policy const& policy, monotonic_time now) const
{
    if (!agent.is_known || agent.report.leaving ||
        now - agent.heard_at >= agent_directory::permit_usable_for ||
        now < agent.unfit_until)
        return false;
    if (!may_run_in(policy, wanted.row, agent.report.domain))
        return false;
    auto const reserved =
        static_cast<double>(wanted.reserve_levels * settings_.reserved_slots);
    double const most =
        std::min<double>(agent.limit.current(), agent.slots - reserved);
    return believed_in_flight(agent, now) + 1.0 <= std::max(most, 1.0) &&
           agent.slots > 0;
}

upstream_picker::candidate
upstream_picker::rate(agent_index index, monotonic_time now) const
{
    agent_state const& agent = agents_[index];
    double const load = believed_in_flight(agent, now) / agent.slots;
    // Slowness counts twice: a slow upstream holds its slot for longer, and
    // what it already has will hold the others for longer as well.
    double const slowness = slowness_now(agent, now);
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
        candidate const rated = rate(index, now);
        if (!best || rated.score < best->score)
            best = rated;
        return true;
    };
    boost::random::uniform_int_distribution<std::size_t> any(
        0, members.size() - 1);
    std::uint32_t found = 0;
    std::uint32_t const samples = settings_.choices * samples_for_each_choice;
    for (std::uint32_t sample = 0;
         sample < samples && found < settings_.choices; ++sample) {
        if (consider(members[any(engine_)]))
            ++found;
    }
    if (best)
        return best;
    // Few are eligible: look at some more in order, from a random place.
    std::size_t const begin = any(engine_);
    std::size_t const count = std::min(members.size(), scan_at_most);
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
    // What it costs to cross to another failure domain is in the slowness, so
    // the own domain needs no preference beyond being looked at as well.
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
    agent->refused_others = std::max(
        0.0, static_cast<double>(agent->slots) -
                 static_cast<double>(agent->own_in_flight));
    agent->refused_at = now;
}

void upstream_picker::on_unfit(worker_id const& worker, monotonic_time now)
{
    if (agent_state* agent = find(worker))
        agent->unfit_until = now + unfit_for;
}

void upstream_picker::on_answer(
    worker_id const& worker, double slowness, monotonic_time now)
{
    agent_state* agent = find(worker);
    if (agent == nullptr)
        return;
    double const before = slowness_now(*agent, now);
    double const sample = std::min(slowness, most_slowness);
    agent->slowness = before + slowness_step * (sample - before);
    agent->slowness_at = now;
    agent->limit.on_answer(
        agent->slowness,
        static_cast<std::uint32_t>(believed_in_flight(*agent, now)));
}

} // namespace sycamorespar
