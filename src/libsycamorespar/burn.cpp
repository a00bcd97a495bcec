/// Burn rates over two windows. Processes don't store their counts, so the
/// error budget is extrapolated from the counts since the process started, on
/// the assumption that the rate of events is constant over the budget period.
#include "libsycamorespar/burn.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorespar {

namespace {

constexpr std::chrono::seconds slot_length{60};
constexpr std::int64_t short_slots = burn_short_window / slot_length;
constexpr std::int64_t long_slots = burn_long_window / slot_length;

double ratio_of(std::uint64_t part, std::uint64_t whole)
{
    if (whole == 0)
        return 0;
    return static_cast<double>(part) / static_cast<double>(whole);
}

/// Sums over the records of one row.
struct row_sums
{
    row_burn row;
    burn_counts short_window;
    burn_counts long_window;
    std::map<failure_domain_id, burn_counts> domains;
};

void add_record(burn_record const& record, row_sums& sums)
{
    sums.row.row = record.key.row;
    sums.row.objective = record.objective;
    sums.row.objective_ratio = record.objective_ratio;
    sums.row.total += record.since_start;
    sums.row.latencies.merge(record.latencies);
    sums.short_window += record.short_window;
    sums.long_window += record.long_window;
    sums.domains[record.key.domain] += record.long_window;
}

std::vector<burn_share> shares_of(row_sums const& sums)
{
    std::vector<burn_share> shares;
    for (auto const& [domain, counts] : sums.domains)
        shares.push_back(
            {domain, counts, ratio_of(counts.bad, sums.long_window.bad)});
    std::stable_sort(
        shares.begin(), shares.end(), [](auto const& left, auto const& right) {
            return left.counts.bad > right.counts.bad;
        });
    return shares;
}

/// Time until the remaining budget is used up; none beyond ten periods.
std::optional<std::chrono::minutes>
time_to_exhaustion(double budget_left, double rate)
{
    constexpr double max_periods = 10;
    if (budget_left <= 0)
        return std::chrono::minutes{0};
    double const periods = budget_left / rate;
    if (!(periods <= max_periods))
        return std::nullopt;
    std::chrono::duration<double, std::ratio<60>> const left =
        std::chrono::minutes{burn_budget_period} * periods;
    return std::chrono::minutes{std::llround(left.count())};
}

row_burn evaluate_row(row_sums sums, std::chrono::milliseconds observed)
{
    row_burn row = std::move(sums.row);
    double const ratio = row.objective_ratio;
    row.short_rate = burn_rate(sums.short_window, ratio);
    row.long_rate = burn_rate(sums.long_window, ratio);
    double const periods_observed =
        std::chrono::duration<double>(observed) /
        std::chrono::duration<double>(burn_budget_period);
    row.budget_left = 1 - burn_rate(row.total, ratio) * periods_observed;
    row.exhausted_in = time_to_exhaustion(row.budget_left, row.long_rate);
    row.shares = shares_of(sums);
    return row;
}

} // namespace

void burn_tracker::set_policy(table_policy const& policy)
{
    objectives_.clear();
    for (auto const& [id, row] : policy.rows)
        objectives_[id] = {row.objective, row.objective_ratio};
    std::erase_if(series_, [this](auto const& each) {
        return !objectives_.contains(each.first.row);
    });
}

std::int64_t burn_tracker::slot_number(monotonic_time at) const
{
    return (at - start_) / slot_length;
}

void burn_tracker::record(
    burn_key const& key, std::chrono::microseconds latency, bool succeeded,
    monotonic_time now)
{
    auto const found = objectives_.find(key.row);
    if (found == objectives_.end())
        return;
    auto& counted = series_[key];
    auto const number = slot_number(now);
    if (counted.slots.empty() || counted.slots.back().number != number)
        counted.slots.push_back({number, {}});
    while (counted.slots.front().number <= number - long_slots)
        counted.slots.pop_front();
    bool const good = succeeded && latency <= found->second.latency;
    burn_counts const one{good ? 1U : 0U, good ? 0U : 1U};
    counted.slots.back().counts += one;
    counted.since_start += one;
    counted.latencies.record(latency);
}

burn_counts
burn_tracker::sum_since(std::deque<slot> const& slots, std::int64_t first)
{
    burn_counts sum;
    for (auto const& each : slots) {
        if (each.number >= first)
            sum += each.counts;
    }
    return sum;
}

burn_snapshot burn_tracker::snapshot(monotonic_time now) const
{
    burn_snapshot taken;
    taken.observed =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - start_);
    auto const after_last = slot_number(now) + 1;
    for (auto const& [key, counted] : series_) {
        auto const& target = objectives_.at(key.row);
        taken.records.push_back(
            {key, target.latency, target.ratio,
             sum_since(counted.slots, after_last - short_slots),
             sum_since(counted.slots, after_last - long_slots),
             counted.since_start, counted.latencies.snapshot()});
    }
    return taken;
}

double burn_rate(burn_counts const& counts, double objective_ratio)
{
    double const allowed = 1 - objective_ratio;
    return ratio_of(counts.bad, counts.good + counts.bad) / allowed;
}

burn_report evaluate_burn(std::vector<burn_snapshot> const& snapshots)
{
    burn_report report;
    std::map<row_id, row_sums> rows;
    for (auto const& snapshot : snapshots) {
        report.observed = std::max(report.observed, snapshot.observed);
        for (auto const& record : snapshot.records)
            add_record(record, rows[record.key.row]);
    }
    for (auto& [id, sums] : rows)
        report.rows.push_back(evaluate_row(std::move(sums), report.observed));
    std::stable_sort(
        report.rows.begin(), report.rows.end(),
        [](auto const& left, auto const& right) {
            return left.long_rate > right.long_rate;
        });
    return report;
}

} // namespace sycamorespar
