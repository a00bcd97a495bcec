/// Burn rates of the rows' error budgets against their service-level
/// objectives.
#ifndef SYCAMORESPAR_BURN_HPP
#define SYCAMORESPAR_BURN_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/latency_histogram.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sycamorespar {

/// The period that a row's error budget has to last for.
inline constexpr std::chrono::hours burn_budget_period{30 * 24};
/// The window that shows sudden changes of the burn rate.
inline constexpr std::chrono::minutes burn_short_window{5};
/// The window whose rate predicts when the budget is used up.
inline constexpr std::chrono::minutes burn_long_window{60};

/// Numbers of answers that met and that missed their objective.
struct burn_counts
{
    /// Successful and in time.
    std::uint64_t good = 0;
    /// Late, failed or refused.
    std::uint64_t bad = 0;

    burn_counts& operator+=(burn_counts const& other)
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }
    bool operator==(burn_counts const&) const = default;
};

/// Identifies a series of counts.
struct burn_key
{
    /// The row.
    row_id row;
    /// The failure domain that served the request; empty if it never ran.
    failure_domain_id domain;

    auto operator<=>(burn_key const&) const = default;
};

/// The counts of one process for one row in one failure domain.
struct burn_record
{
    /// The row and failure domain.
    burn_key key;
    /// The row's latency objective.
    std::chrono::milliseconds objective{0};
    /// The fraction of answers that has to meet the objective, below 1.
    double objective_ratio = 0;
    /// Counts in the last burn_short_window.
    burn_counts short_window;
    /// Counts in the last burn_long_window.
    burn_counts long_window;
    /// Counts since the process started.
    burn_counts since_start;
    /// All latencies since the process started.
    latency_snapshot latencies;

    bool operator==(burn_record const&) const = default;
};

/// All counts of one process.
struct burn_snapshot
{
    /// How long the process has counted.
    std::chrono::milliseconds observed{0};
    /// One record for each row and failure domain.
    std::vector<burn_record> records;

    bool operator==(burn_snapshot const&) const = default;
};

/// Counts answers against the objectives in the table.
class burn_tracker
{
public:
    explicit burn_tracker(monotonic_time start) : start_(start) {}

    /// Applies the objectives of a newer table.
    void set_policy(table_policy const& policy);
    /// Counts one answer; rows that are not in the table are ignored.
    /// \param succeeded  false if the request failed or was refused.
    void record(
        burn_key const& key, std::chrono::microseconds latency, bool succeeded,
        monotonic_time now);
    /// The counts so far.
    burn_snapshot snapshot(monotonic_time now) const;

private:
    struct objective
    {
        std::chrono::milliseconds latency{0};
        double ratio = 0;
    };
    struct slot
    {
        std::int64_t number = 0;
        burn_counts counts;
    };
    struct series
    {
        std::deque<slot> slots;
        burn_counts since_start;
        latency_histogram latencies;
    };

    std::int64_t slot_number(monotonic_time at) const;
    static burn_counts
    sum_since(std::deque<slot> const& slots, std::int64_t first);

    monotonic_time start_;
    std::map<row_id, objective> objectives_;
    std::map<burn_key, series> series_;
};

/// One failure domain's share of a row's bad answers.
struct burn_share
{
    /// The failure domain; empty for requests that never ran.
    failure_domain_id domain;
    /// The domain's counts in the long window.
    burn_counts counts;
    /// The domain's fraction of the row's bad answers, from 0 to 1.
    double part = 0;
};

/// The burn of one row's error budget, over all processes.
struct row_burn
{
    /// The row.
    row_id row;
    /// The row's latency objective.
    std::chrono::milliseconds objective{0};
    /// The fraction of answers that has to meet the objective, below 1.
    double objective_ratio = 0;
    /// Answers since the processes started.
    burn_counts total;
    /// The burn rate of the short window: at 1 the budget lasts exactly for
    /// its period, at 2 for half of it.
    double short_rate = 0;
    /// The burn rate of the long window.
    double long_rate = 0;
    /// The fraction of the budget that is left; negative if overdrawn.
    double budget_left = 1;
    /// Time until the budget is used up at the long window's rate; zero if it
    /// is used up, none if that is more than ten periods away.
    std::optional<std::chrono::minutes> exhausted_in;
    /// Shares of the failure domains, the largest number of bad answers first.
    std::vector<burn_share> shares;
    /// All latencies.
    latency_histogram latencies;
};

/// The burn of all rows, over all processes.
struct burn_report
{
    /// The longest time that any process has counted.
    std::chrono::milliseconds observed{0};
    /// The rows, by falling burn rate of the long window.
    std::vector<row_burn> rows;
};

/// The burn rate of the counts; zero if nothing was counted.
double burn_rate(burn_counts const& counts, double objective_ratio);

/// Merges the counts of several processes.
burn_report evaluate_burn(std::vector<burn_snapshot> const& snapshots);

} // namespace sycamorespar

#endif
