/// Latency histograms and burn rates of error budgets.
#include "example_table.hpp"
#include "libsycamorespar/burn.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>

using namespace sycamorespar;
using namespace std::chrono_literals;
using std::chrono::microseconds;

namespace {

burn_key const north{row_id{"checks"}, failure_domain_id{"north"}};
burn_key const south{row_id{"checks"}, failure_domain_id{"south"}};

/// The objective is 100 ms for 99 of 100 answers.
table_policy example_policy()
{
    auto policy = std::get<table_policy>(read_policy(example_table()));
    auto& row = policy.rows.at(row_id{"checks"});
    row.objective = 100ms;
    row.objective_ratio = 0.99;
    return policy;
}

burn_tracker example_tracker()
{
    burn_tracker tracker{monotonic_time{}};
    tracker.set_policy(example_policy());
    return tracker;
}

} // namespace

TEST_CASE(
    "merged histograms have exact counts, and quantiles exact to a bucket")
{
    CHECK(rc::check("merge", [] {
        auto const values =
            *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(
                rc::gen::inRange(0, 2'000'000'000)));
        latency_histogram whole;
        latency_histogram left;
        latency_histogram right;
        for (std::size_t i = 0; i < values.size(); ++i) {
            whole.record(microseconds{values[i]});
            (i % 2 == 0 ? left : right).record(microseconds{values[i]});
        }
        left.merge(right.snapshot());
        RC_ASSERT(left.snapshot() == whole.snapshot());
        auto sorted = values;
        std::sort(sorted.begin(), sorted.end());
        for (double const part : {0.5, 0.99, 1.0}) {
            auto const rank = static_cast<std::size_t>(
                std::ceil(part * static_cast<double>(sorted.size())));
            double const exact = sorted[rank - 1];
            auto const found = static_cast<double>(left.quantile(part).count());
            RC_ASSERT(found >= exact - 1);
            RC_ASSERT(found <= std::max(exact * 1.13, 101.0));
        }
        RC_ASSERT(left.quantile(1).count() == sorted.back());
    }));
}

TEST_CASE("latencies outside the bounds are counted too")
{
    latency_histogram histogram;
    histogram.record(0us);
    histogram.record(std::chrono::hours{1000});
    CHECK(histogram.count() == 2);
    CHECK(histogram.quantile(1) == std::chrono::hours{1000});
    CHECK(histogram.snapshot().buckets.size() == 2);
}

// 20 of 1000 answers are bad and 10 are allowed, so the burn rate is 2. One
// hour at this rate uses 2/720 of the budget for a period of 720 hours; the
// remaining 718/720 last for 718/2 = 359 hours.
TEST_CASE("a burn report matches values calculated by hand")
{
    auto tracker = example_tracker();
    monotonic_time const start{};
    for (int i = 0; i < 1000; ++i) {
        auto const now = start + i * 3s;
        bool const late = i % 100 == 0;
        bool const failed = i % 100 == 50;
        tracker.record(
            i % 2 == 0 && !failed ? north : south, late ? 100'001us : 100'000us,
            !failed, now);
    }
    auto const report = evaluate_burn({tracker.snapshot(start + 60min - 1ms)});
    REQUIRE(report.rows.size() == 1);
    auto const& row = report.rows[0];
    CHECK(row.total == burn_counts{980, 20});
    CHECK(row.long_rate == Approx(2));
    CHECK(row.budget_left == Approx(718.0 / 720));
    REQUIRE(row.exhausted_in.has_value());
    CHECK(*row.exhausted_in == 359h);
    REQUIRE(row.shares.size() == 2);
    CHECK(row.shares[0].counts.bad == 10);
    CHECK(row.shares[0].part == Approx(0.5));
}

TEST_CASE("counts leave the windows with time but stay in the totals")
{
    auto tracker = example_tracker();
    monotonic_time const start{};
    tracker.record(north, 1s, true, start);
    auto const at = [&](duration when) {
        return tracker.snapshot(start + when).records.at(0);
    };
    CHECK(at(299s).short_window.bad == 1);
    CHECK(at(301s).short_window.bad == 0);
    CHECK(at(3599s).long_window.bad == 1);
    CHECK(at(3601s).long_window.bad == 0);
    CHECK(at(3601s).since_start.bad == 1);
}

TEST_CASE("the counts of several processes are merged, worst row first")
{
    auto first = example_tracker();
    auto second = example_tracker();
    monotonic_time const now = monotonic_time{} + 1min;
    first.record(north, 1s, true, now);
    second.record(north, 1ms, true, now);
    second.record({row_id{"runs"}, {}}, 1ms, true, now);
    second.record({row_id{"unknown"}, {}}, 1ms, false, now);
    auto const report =
        evaluate_burn({first.snapshot(now), second.snapshot(now)});
    REQUIRE(report.rows.size() == 2);
    CHECK(report.rows[0].row == row_id{"checks"});
    CHECK(report.rows[0].total == burn_counts{1, 1});
    CHECK(report.rows[0].long_rate == Approx(50));
    CHECK(report.rows[1].long_rate == 0);
    CHECK_FALSE(report.rows[1].exhausted_in.has_value());
}

TEST_CASE("an overdrawn budget is reported as exhausted now")
{
    auto tracker = example_tracker();
    monotonic_time const start{};
    tracker.record(north, 1s, true, start);
    auto const report = evaluate_burn({tracker.snapshot(start + 24h * 8)});
    CHECK(report.rows[0].budget_left < 0);
    CHECK(report.rows[0].exhausted_in == 0min);
}
