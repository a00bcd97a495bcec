/// The load that backfill tasks may add to a serving task is the load at its
/// tail limit less the task's own load. It is given first to the backfill tasks
/// that cause the least contention per processor.
#include "libsycamorespar/pace_control.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorespar {

namespace {

/// The pace of a task that was never slowed, in percent.
constexpr std::uint32_t full_pace = 100;

/// Progress at which a serving task handles requests and has a tail latency.
constexpr std::uint32_t serving_percent = 100;

bool is_backfill(tracked_run const& tracked)
{
    return tracked.is_known && tracked.order.facts.fills &&
           tracked.start_stage == tracked_run::stage::started;
}

bool is_serving(tracked_run const& tracked)
{
    return tracked.is_known && tracked.order.facts.target.count() > 0 &&
           tracked.start_stage == tracked_run::stage::started &&
           tracked.latest.percent == serving_percent;
}

/// The pace before any was sent; none if an earlier process of the runner may
/// have sent one.
std::optional<std::uint32_t> first_pace(tracked_run const& backfill)
{
    if (backfill.is_found)
        return std::nullopt;
    return full_pace;
}

double tail_of(tracked_run const& serving)
{
    return static_cast<double>(serving.latest.measurement) /
           static_cast<double>(serving.order.facts.target.count());
}

} // namespace

pace_control::pace_control(
    pace_limits const& limits, contention_settings const& contention)
    : limits_(limits), contention_(contention)
{}

void pace_control::apply_hints(std::vector<contention_hint> const& hints)
{
    for (auto const& hint : hints)
        contention_.apply_hint(hint);
}

void pace_control::on_measurements(
    std::map<run_id, tracked_run> const& runs, std::int64_t millicores,
    monotonic_time now)
{
    millicores_ = std::max(millicores, std::int64_t{1});
    track_misses(runs, now);
    if (model_updated_at_ &&
        now - *model_updated_at_ < limits_.measurement_interval)
        return;
    model_updated_at_ = now;
    update_contention(runs, now);
}

void pace_control::update_contention(
    std::map<run_id, tracked_run> const& runs, monotonic_time now)
{
    std::vector<backfill_neighbour> neighbours;
    for (auto const& [run, tracked] : runs) {
        if (is_backfill(tracked))
            neighbours.push_back(
                {tracked.order.facts.image, effective_share(tracked, now)});
    }
    for (auto const& [run, tracked] : runs) {
        if (is_serving(tracked))
            contention_.observe(
                run, tracked.order.facts.image, tail_of(tracked), neighbours,
                now);
    }
}

void pace_control::track_misses(
    std::map<run_id, tracked_run> const& runs, monotonic_time now)
{
    std::erase_if(missed_since_, [&](auto const& entry) {
        auto const found = runs.find(entry.first);
        return found == runs.end() || !is_serving(found->second) ||
               tail_of(found->second) <= 1.0;
    });
    is_backfill_stopped_ = false;
    if (measured_at_ != monotonic_time{})
        time_over_target_ += (now - measured_at_) *
                             static_cast<std::int64_t>(missed_since_.size());
    measured_at_ = now;
    for (auto const& [run, tracked] : runs) {
        if (!is_serving(tracked) || tail_of(tracked) <= 1.0)
            continue;
        auto const since = missed_since_.try_emplace(run, now).first->second;
        is_backfill_stopped_ =
            is_backfill_stopped_ || now - since >= limits_.miss_tolerance;
    }
}

double pace_control::share_of(std::int64_t millicores) const
{
    return static_cast<double>(millicores) / static_cast<double>(millicores_);
}

double
pace_control::effective_share(tracked_run const& backfill, monotonic_time now)
{
    auto const seen =
        first_seen_at_.try_emplace(backfill.order.run, now).first->second;
    bool const is_new = now - seen < limits_.measurement_window;
    return share_of(
        is_new ? backfill.order.facts.backfill_millicores
               : backfill.latest.measurement);
}

double pace_control::contention_of(
    tracked_run const& serving, tracked_run const& backfill) const
{
    auto const known =
        contention_.pair(serving.order.facts.image, backfill.order.facts.image);
    return known.mean + limits_.deviation_weight * std::sqrt(known.variance);
}

void pace_control::allowed_speed::cut(double by, run_id const& serving)
{
    speed *= 1.0 - by;
    if (by <= largest_cut)
        return;
    largest_cut = by;
    slowed_for = serving;
}

// For one serving task this is a fractional knapsack: slowing the tasks with
// the most contention per processor first loses the least backfill work.
void pace_control::slow_for(
    run_id const& serving, tracked_run const& tracked,
    std::map<run_id, tracked_run> const& runs,
    std::map<run_id, allowed_speed>& speeds) const
{
    struct cause
    {
        run_id run;
        double rate = 0.0;
        double contention = 0.0;
    };
    std::vector<cause> causes;
    double excess =
        contention_.own_load_upper_bound(serving) -
        contention_.load_at(tracked.order.facts.image, limits_.tail_limit);
    for (auto const& [run, backfill] : runs) {
        if (!is_backfill(backfill))
            continue;
        auto const rate = contention_of(tracked, backfill);
        auto const contention =
            rate * share_of(backfill.order.facts.backfill_millicores) *
            speeds.at(run).speed;
        causes.push_back({run, rate, contention});
        excess += contention;
    }
    std::sort(
        causes.begin(), causes.end(),
        [](cause const& left, cause const& right) {
            return left.rate > right.rate;
        });
    for (auto const& each : causes) {
        if (excess <= 0.0 || each.contention <= 0.0)
            return;
        auto const cut = std::min(excess, each.contention);
        speeds.at(each.run).cut(cut / each.contention, serving);
        excess -= cut;
    }
}

bool pace_control::is_change(std::uint32_t from, std::uint32_t to) const
{
    auto const change = to > from ? to - from : from - to;
    bool const is_bound = to == 0 || to == full_pace;
    return change != 0 && (change >= limits_.min_change || is_bound);
}

std::vector<pace_change>
pace_control::take_changes(std::map<run_id, tracked_run> const& runs)
{
    auto const has_ended = [&](auto const& entry) {
        return !runs.contains(entry.first);
    };
    std::erase_if(sent_percents_, has_ended);
    std::erase_if(first_seen_at_, has_ended);
    std::map<run_id, allowed_speed> speeds;
    for (auto const& [run, tracked] : runs) {
        if (!is_backfill(tracked))
            continue;
        auto& allowed = speeds[run];
        if (auto const missed = longest_miss(); is_backfill_stopped_ && missed)
            allowed.cut(1.0, *missed);
    }
    for (auto const& [run, tracked] : runs) {
        if (is_serving(tracked) && !speeds.empty())
            slow_for(run, tracked, runs, speeds);
    }
    std::vector<pace_change> changes;
    for (auto const& [run, allowed] : speeds) {
        auto const percent = static_cast<std::uint32_t>(
            std::lround(allowed.speed * double{full_pace}));
        auto const first = first_pace(runs.at(run));
        auto& sent = sent_percents_.try_emplace(run, first).first->second;
        if (sent && !is_change(*sent, percent))
            continue;
        changes.push_back({run, percent, sent, allowed.slowed_for});
        sent = percent;
    }
    return changes;
}

std::optional<run_id> pace_control::longest_miss() const
{
    auto const longest = std::min_element(
        missed_since_.begin(), missed_since_.end(),
        [](auto const& left, auto const& right) {
            return left.second < right.second;
        });
    if (longest == missed_since_.end())
        return std::nullopt;
    return longest->first;
}

pace_summary
pace_control::summary(std::map<run_id, tracked_run> const& runs) const
{
    pace_summary sums;
    for (auto const& [run, tracked] : runs) {
        if (is_serving(tracked)) {
            ++sums.serving;
            sums.over_target += tail_of(tracked) > 1.0 ? 1U : 0U;
            sums.worst_tail = std::max(sums.worst_tail, tail_of(tracked));
        }
        if (!is_backfill(tracked))
            continue;
        auto const pace = pace_of(run);
        ++(pace == 0           ? sums.stopped
           : pace == full_pace ? sums.full
                               : sums.slowed);
    }
    return sums;
}

std::uint32_t pace_control::pace_of(run_id const& run) const
{
    auto const found = sent_percents_.find(run);
    return found == sent_percents_.end() ? full_pace
                                         : found->second.value_or(full_pace);
}

void pace_control::on_pace_result(pace_change const& change, bool was_accepted)
{
    auto const found = sent_percents_.find(change.run);
    if (!was_accepted && found != sent_percents_.end())
        found->second.reset();
}

} // namespace sycamorespar
