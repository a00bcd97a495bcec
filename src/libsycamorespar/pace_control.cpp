/// What a serving task may still bear is its aim less its own tail; the tasks
/// beside it share that, those that harm least for each core first.
#include "libsycamorespar/pace_control.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorespar {

namespace {

constexpr double full_percent = 100.0;

/// A serving task shows a tail once it is at work.
constexpr std::uint32_t at_work = 100;

bool is_filling(tracked_run const& kept)
{
    return kept.is_known && kept.order.facts.fills &&
           kept.start_stage == tracked_run::stage::started;
}

bool is_serving(tracked_run const& kept)
{
    return kept.is_known && kept.order.facts.target.count() > 0 &&
           kept.start_stage == tracked_run::stage::started &&
           kept.latest.percent == at_work;
}

double tail_of(tracked_run const& serving)
{
    return static_cast<double>(serving.latest.measurement) /
           static_cast<double>(serving.order.facts.target.count());
}

} // namespace

pace_control::pace_control(pace_limits const& limits, harm_settings const& harm)
    : limits_(limits), harm_(harm)
{}

void pace_control::take_hints(std::vector<harm_hint> const& hints)
{
    for (auto const& hint : hints)
        harm_.take_hint(hint);
}

void pace_control::on_figures(
    std::map<run_id, tracked_run> const& runs, std::int64_t millicores,
    monotonic_time now)
{
    millicores_ = std::max(millicores, std::int64_t{1});
    watch_misses(runs, now);
    if (learned_at_ && now - *learned_at_ < limits_.figure_gap)
        return;
    learned_at_ = now;
    learn(runs, now);
}

void pace_control::learn(
    std::map<run_id, tracked_run> const& runs, monotonic_time now)
{
    std::vector<filling_neighbour> neighbours;
    for (auto const& [run, kept] : runs) {
        if (is_filling(kept))
            neighbours.push_back(
                {kept.order.facts.image, felt_share(kept, now)});
    }
    for (auto const& [run, kept] : runs) {
        if (is_serving(kept))
            harm_.observe(
                run, kept.order.facts.image, tail_of(kept), neighbours, now);
    }
}

void pace_control::watch_misses(
    std::map<run_id, tracked_run> const& runs, monotonic_time now)
{
    std::erase_if(missed_since_, [&](auto const& entry) {
        auto const found = runs.find(entry.first);
        return found == runs.end() || !is_serving(found->second) ||
               tail_of(found->second) <= 1.0;
    });
    is_stopped_ = false;
    for (auto const& [run, kept] : runs) {
        if (!is_serving(kept) || tail_of(kept) <= 1.0)
            continue;
        auto const since = missed_since_.try_emplace(run, now).first->second;
        is_stopped_ = is_stopped_ || now - since >= limits_.patience;
    }
}

double pace_control::share_of(std::int64_t millicores) const
{
    return static_cast<double>(millicores) / static_cast<double>(millicores_);
}

double pace_control::felt_share(tracked_run const& filling, monotonic_time now)
{
    auto const seen =
        seen_at_.try_emplace(filling.order.run, now).first->second;
    bool const is_new = now - seen < limits_.figure_span;
    return share_of(
        is_new ? filling.order.facts.filling_millicores
               : filling.latest.measurement);
}

double pace_control::harm_of(
    tracked_run const& serving, tracked_run const& filling) const
{
    auto const known =
        harm_.pair(serving.order.facts.image, filling.order.facts.image);
    return known.mean + limits_.caution * std::sqrt(known.variance);
}

// For one serving task this is a fractional knapsack: slowing first what
// harms most for each core loses the least of the fillers' work.
void pace_control::slow_for(
    run_id const& serving, tracked_run const& kept,
    std::map<run_id, tracked_run> const& runs,
    std::map<run_id, double>& speeds) const
{
    struct cause
    {
        run_id run;
        double rate = 0.0;
        double harm = 0.0;
    };
    std::vector<cause> causes;
    double excess = harm_.own_load_at_most(serving) -
                    harm_.load_at(kept.order.facts.image, limits_.aim);
    for (auto const& [run, filling] : runs) {
        if (!is_filling(filling))
            continue;
        auto const rate = harm_of(kept, filling);
        auto const harm = rate *
                          share_of(filling.order.facts.filling_millicores) *
                          speeds.at(run);
        causes.push_back({run, rate, harm});
        excess += harm;
    }
    std::sort(
        causes.begin(), causes.end(),
        [](cause const& left, cause const& right) {
            return left.rate > right.rate;
        });
    for (auto const& each : causes) {
        if (excess <= 0.0 || each.harm <= 0.0)
            return;
        auto const cut = std::min(excess, each.harm);
        speeds.at(each.run) *= 1.0 - cut / each.harm;
        excess -= cut;
    }
}

std::vector<pace_change>
pace_control::take_changes(std::map<run_id, tracked_run> const& runs)
{
    auto const has_ended = [&](auto const& entry) {
        return !runs.contains(entry.first);
    };
    std::erase_if(told_, has_ended);
    std::erase_if(seen_at_, has_ended);
    std::map<run_id, double> speeds;
    for (auto const& [run, kept] : runs) {
        if (is_filling(kept))
            speeds.emplace(run, is_stopped_ ? 0.0 : 1.0);
    }
    for (auto const& [run, kept] : runs) {
        if (is_serving(kept) && !speeds.empty())
            slow_for(run, kept, runs, speeds);
    }
    std::vector<pace_change> changes;
    for (auto const& [run, speed] : speeds) {
        auto const percent =
            static_cast<std::uint32_t>(std::lround(speed * full_percent));
        auto& told = told_.try_emplace(run, 100U).first->second;
        auto const change = percent > told ? percent - told : told - percent;
        bool const is_bound = percent == 0 || percent == 100;
        if (change == 0 || (change < limits_.least_change && !is_bound))
            continue;
        told = percent;
        changes.push_back({run, percent});
    }
    return changes;
}

std::uint32_t pace_control::pace_of(run_id const& run) const
{
    auto const found = told_.find(run);
    return found == told_.end() ? 100U : found->second;
}

void pace_control::on_paced(pace_change const& change, bool was_accepted)
{
    if (!was_accepted)
        told_.erase(change.run);
}

} // namespace sycamorespar
