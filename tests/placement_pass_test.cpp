/// Planning passes with many waiting steps: a busy fleet after a burst of
/// batch jobs, where each report makes another pass due.
#include "graph_world.hpp"
#include "libsycamorespar/random_engine.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <fmt/core.h>

using namespace sycamorespar;
using namespace sycamorespar::tests;
using namespace std::chrono_literals;

namespace {

constexpr scheduler_term first_term{7};

struct fleet
{
    graph_scheduler scheduler{first_term, {}, {}, test_start};
    monotonic_time now = test_start;
    std::vector<test_runner> runners;

    explicit fleet(std::size_t workers, resources const& capacity)
    {
        scheduler.set_policy(test_policy());
        for (std::size_t at = 0; at < workers; ++at) {
            runners.emplace_back(fmt::format("w{:04}", at), capacity);
            runners.back().report.facts.labels = {
                "a", "r" + std::to_string(at % 3)};
            runners.back().join(scheduler, now);
        }
    }

    void add(std::string const& id, graph_step const& step)
    {
        scheduler.add_job(
            test_job(id, "batch", step), nullptr, first_term, now);
    }

    void plan()
    {
        while (!scheduler.plan(now, 0ms, now)) {
        }
    }
};

std::int64_t draw(random_engine& random, std::int64_t least, std::int64_t most)
{
    return boost::random::uniform_int_distribution<std::int64_t>(least, most)(
        random);
}

graph_step random_step(random_engine& random)
{
    auto step = test_step(
        static_cast<std::uint32_t>(draw(random, 1, 8)),
        {draw(random, 1, 4) * 500, draw(random, 1, 4) * 500, 0});
    if (draw(random, 0, 3) == 0)
        step.data_rack = rack_id{"r" + std::to_string(draw(random, 0, 2))};
    if (draw(random, 0, 3) == 0)
        step.max_per_worker = 1;
    if (draw(random, 0, 5) == 0)
        step.required_label = "r1";
    if (draw(random, 0, 7) == 0)
        step.gang = true;
    return step;
}

void end_some_runs(test_runner& runner, random_engine& random)
{
    auto const runs = runner.report.runs;
    for (auto const& each : runs) {
        auto const drawn = draw(random, 0, 9);
        if (each.is_stopping)
            runner.end(each.run, run_end::stopped);
        else if (drawn < 2)
            runner.end(
                each.run, drawn == 0 ? run_end::failed : run_end::finished);
    }
}

/// Plans again with every worker tried for every step.
/// \return the number of runs that this orders.
std::uint64_t orders_of_exhaustive_pass(fleet& world)
{
    auto const before = world.scheduler.counts().ordered;
    world.scheduler.set_policy(test_policy());
    world.plan();
    return world.scheduler.counts().ordered - before;
}

} // namespace

TEST_CASE("a pass that visits changed workers only leaves nothing to place")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        random_engine random{seed};
        fleet world(9, {4000, 8000, 0});
        std::uint64_t jobs = 0;
        for (int round = 0; round < 60; ++round) {
            world.now += 50ms;
            if (draw(random, 0, 1) == 0)
                world.add(fmt::format("j{}", jobs++), random_step(random));
            if (jobs > 0 && draw(random, 0, 9) == 0)
                world.scheduler.cancel_job(job_id{
                    fmt::format("j{}", draw(random, 0, std::int64_t(jobs)))});
            auto& runner = world.runners[static_cast<std::size_t>(
                draw(random, 0, std::int64_t(world.runners.size()) - 1))];
            end_some_runs(runner, random);
            runner.exchange(world.scheduler, world.now);
            record_all(world.scheduler);
            world.plan();
            REQUIRE(orders_of_exhaustive_pass(world) == 0);
        }
        CHECK(world.scheduler.counts().ordered > 0);
    }
}

TEST_CASE("a report in a full fleet costs no search of the fleet for each step")
{
    constexpr std::size_t workers = 240;
    constexpr std::size_t steps = 300;
    fleet world(workers, {4000, 8000, 0});
    world.add("filler", test_step(workers, {4000, 4000, 0}));
    world.plan();
    for (auto& runner : world.runners)
        runner.exchange(world.scheduler, world.now);
    for (std::size_t at = 0; at < steps; ++at)
        world.add(fmt::format("j{}", at), test_step(4, {2000, 1000, 0}));
    world.plan();
    REQUIRE(world.scheduler.waiting_tasks() == steps * 4);
    auto const before = world.scheduler.workers().considered();
    world.now += 1ms;
    world.runners[7].exchange(world.scheduler, world.now);
    world.plan();
    CHECK(world.scheduler.workers().considered() - before <= 2 * steps);
    auto& freed = world.runners[8];
    freed.end(freed.report.runs.at(0).run, run_end::finished);
    freed.exchange(world.scheduler, world.now);
    world.plan();
    CHECK(starts_in(freed.exchange(world.scheduler, world.now)).size() == 2);
    CHECK(world.scheduler.workers().considered() - before <= 4 * steps);
}

TEST_CASE("the tasks of a wide step are spread as if each were placed alone")
{
    fleet world(6, {4000, 8000, 0});
    world.add("wide", test_step(12, {1000, 1000, 0}));
    world.plan();
    for (auto& runner : world.runners)
        CHECK(
            starts_in(runner.exchange(world.scheduler, world.now)).size() == 2);
}

TEST_CASE("a worker takes waiting work as soon as its cooldown has ended")
{
    fleet world(1, {4000, 8000, 0});
    auto& runner = world.runners[0];
    world.add("j", test_step(1, {4000, 1000, 0}));
    world.plan();
    auto const starts = starts_in(runner.exchange(world.scheduler, world.now));
    REQUIRE(starts.size() == 1);
    runner.report.runs.clear();
    runner.report.refusals = {{starts[0].run, refusal_reason::no_room}};
    runner.exchange(world.scheduler, world.now);
    runner.report.refusals.clear();
    world.plan();
    CHECK(world.scheduler.waiting_tasks() == 1);
    world.now += scheduler_limits{}.refusal_cooldown;
    world.plan();
    CHECK(world.scheduler.waiting_tasks() == 0);
}

TEST_CASE("in a large fleet every worker is tried before a step has to wait")
{
    constexpr std::size_t workers = 600;
    fleet world(workers, {4000, 8000, 0});
    world.add("wide", test_step(workers + 1, {4000, 4000, 0}));
    world.plan();
    CHECK(world.scheduler.counts().ordered == workers);
    CHECK(world.scheduler.waiting_tasks() == 1);
}
