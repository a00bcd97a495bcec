/// Pace control of backfill tasks on the worker of serving tasks, whose tail
/// latency must stay below a target while their own load changes.
#include "libsycamorespar/pace_control.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

struct bench
{
    pace_control pacing;
    std::map<run_id, tracked_run> runs;
    monotonic_time now{std::chrono::hours(1)};

    run_id add(std::string const& job, std::string const& image)
    {
        run_id run{{job_id{job}, 0, 0, 0}, 1};
        auto& tracked = runs[run];
        tracked.start_stage = tracked_run::stage::started;
        tracked.is_known = true;
        tracked.order.run = run;
        tracked.order.facts.image = image;
        tracked.latest.run = run;
        tracked.latest.percent = 100;
        return run;
    }

    run_id add_serving(std::string const& job, std::int64_t tail_ms)
    {
        auto run = add(job, "web");
        runs[run].order.facts.target = 20ms;
        runs[run].latest.measurement = tail_ms;
        return run;
    }

    run_id add_backfill(std::string const& job, std::string const& image)
    {
        auto run = add(job, image);
        runs[run].order.facts.fills = true;
        runs[run].order.facts.backfill_millicores = 2000;
        runs[run].latest.measurement = 2000;
        return run;
    }

    std::map<run_id, std::uint32_t> step()
    {
        pacing.on_measurements(runs, 16'000, now);
        std::map<run_id, std::uint32_t> changed;
        for (auto const& change : pacing.take_changes(runs))
            changed[change.run] = change.percent;
        now += 400ms;
        return changed;
    }
};

} // namespace

TEST_CASE("backfill tasks run at full speed without serving tasks")
{
    bench b;
    b.add_backfill("f1", "heavy");
    CHECK(b.step().empty());
}

TEST_CASE("the backfill task with the most contention per core is slowed first")
{
    bench b;
    auto const serving = b.add_serving("s1", 5);
    b.step();
    b.runs[serving].latest.measurement = 30;
    auto const heavy = b.add_backfill("f1", "heavy");
    auto const light = b.add_backfill("f2", "light");
    b.pacing.apply_hints(
        {{"web", "heavy", {4.0, 0.001}}, {"web", "light", {0.01, 0.001}}});
    b.step();
    CHECK(b.pacing.pace_of(heavy) < 90);
    CHECK(b.pacing.pace_of(light) == 100);
}

TEST_CASE("a slowed backfill task names the serving task that it is slowed for")
{
    bench on;
    auto const calm = on.add_serving("calm", 5);
    auto const web = on.add_serving("serve", 19);
    auto const fill = on.add_backfill("fill", "fill");
    on.pacing.on_measurements(on.runs, 16'000, on.now);
    auto const changes = on.pacing.take_changes(on.runs);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].run == fill);
    CHECK(changes[0].before == 100);
    CHECK(changes[0].percent < 100);
    CHECK(changes[0].slowed_for == web);
    auto const sums = on.pacing.summary(on.runs);
    CHECK(sums.serving == 2);
    CHECK(sums.over_target == 0);
    CHECK(sums.worst_tail == 0.95);
    CHECK(sums.full == 0);
    CHECK(sums.slowed + sums.stopped == 1);
}

TEST_CASE("the time over target is summed over serving tasks")
{
    bench on;
    on.add_serving("one", 25);
    on.add_serving("two", 25);
    on.add_serving("three", 10);
    for (int measurement = 0; measurement < 6; ++measurement)
        on.step();
    CHECK(on.pacing.time_over_target() == 2 * 5 * 400ms);
}

TEST_CASE("a target that is missed for long stops all backfill tasks")
{
    // They must stop even if the model wrongly estimates no contention.
    bench b;
    b.add_serving("s1", 30);
    auto const backfill = b.add_backfill("f1", "light");
    b.pacing.apply_hints({{"web", "light", {0.0, 0.0}}});
    for (int at = 0; at < 6; ++at)
        b.step();
    CHECK(b.pacing.pace_of(backfill) == 0);
}

TEST_CASE("backfill tasks speed up again once the tail latency has fallen")
{
    bench b;
    auto const serving = b.add_serving("s1", 30);
    auto const backfill = b.add_backfill("f1", "heavy");
    for (int at = 0; at < 8; ++at)
        b.step();
    CHECK(b.pacing.pace_of(backfill) == 0);
    b.runs[serving].latest.measurement = 5;
    b.runs[backfill].latest.measurement = 0;
    for (int at = 0; at < 20; ++at)
        b.step();
    CHECK(b.pacing.pace_of(backfill) > 50);
}

TEST_CASE("a pace that was not accepted is sent again")
{
    bench b;
    b.add_serving("s1", 30);
    auto const backfill = b.add_backfill("f1", "heavy");
    auto const first = b.step();
    REQUIRE(first.contains(backfill));
    b.pacing.on_pace_result({backfill, first.at(backfill)}, false);
    CHECK(b.step().contains(backfill));
}

// A backfill task stayed slowed for good, as the lost pace counted as full.
TEST_CASE("full speed that was not accepted is sent again")
{
    bench b;
    auto const serving = b.add_serving("s1", 30);
    auto const backfill = b.add_backfill("f1", "heavy");
    for (int at = 0; at < 8; ++at)
        b.step();
    REQUIRE(b.pacing.pace_of(backfill) == 0);
    b.runs.erase(serving);
    auto const freed = b.step();
    REQUIRE(freed.contains(backfill));
    REQUIRE(freed.at(backfill) == 100);
    b.pacing.on_pace_result({backfill, 100}, false);
    auto const again = b.step();
    REQUIRE(again.contains(backfill));
    CHECK(again.at(backfill) == 100);
    CHECK(b.step().empty());
}

// A backfill task stayed slowed for good after its runner had restarted.
TEST_CASE("a backfill task that was found on the worker is set to its pace")
{
    bench b;
    auto const backfill = b.add_backfill("f1", "heavy");
    b.runs[backfill].is_found = true;
    auto const first = b.step();
    REQUIRE(first.contains(backfill));
    CHECK(first.at(backfill) == 100);
    CHECK(b.step().empty());
}
