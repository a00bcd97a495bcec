/// A fleet whose serving tasks mind nearly all backfill tasks, with more of
/// those waiting than it can bear: who is harmed for them, who waits, and which
/// workers stay whole.
#include "graph_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/core.h>
#include <map>
#include <set>

using namespace sycamorespar;
using namespace sycamorespar::tests;
using namespace std::chrono_literals;

namespace {

constexpr scheduler_term first_term{7};
constexpr resources worker_size{16'000, 64'000, 0};

graph_step serving_step(
    std::uint32_t count, std::int64_t millicores, std::string const& image)
{
    auto step = test_step(count, {millicores, 1000, 0});
    step.long_running = true;
    step.target = 18ms;
    step.image = image;
    return step;
}

graph_step backfill_step(std::uint32_t count, std::string const& image)
{
    auto step = test_step(count, {2000, 1000, 0});
    step.fills = true;
    step.saves_progress = true;
    step.image = image;
    return step;
}

struct fleet
{
    graph_scheduler scheduler{first_term, {}, {}, test_start};
    monotonic_time now = test_start;
    std::map<std::string, test_runner> runners;
    /// The tail latency of all serving tasks; close to their target at first.
    std::int64_t tail_ms = 17;

    explicit fleet(std::size_t workers)
    {
        scheduler.set_policy(test_policy());
        for (std::size_t at = 0; at < workers; ++at) {
            auto const name = fmt::format("w{}", at);
            runners.emplace(name, test_runner(name, worker_size));
            runners.at(name).join(scheduler, now);
        }
    }

    void
    add(std::string const& id, std::string const& queue, graph_step const& step)
    {
        scheduler.add_job(test_job(id, queue, step), nullptr, first_term, now);
    }

    void plan()
    {
        while (!scheduler.plan(now, 0ms, now)) {
        }
    }

    /// Lets time pass in steps in which all runners report; backfill runs stand
    /// still.
    void pass(duration span)
    {
        constexpr auto step = 100ms;
        for (auto const end = now + span; now < end; now += step) {
            for (auto& [name, runner] : runners) {
                for (auto& run : runner.report.runs) {
                    run.measurement = is_serving(run.run) ? tail_ms : 0;
                    run.pace = is_fill(run.run) ? 0 : 100;
                }
                runner.exchange(scheduler, now);
            }
            record_all(scheduler);
            plan();
        }
    }

    static bool is_serving(run_id const& run)
    {
        return run.task.job.value.starts_with("serve");
    }

    static bool is_fill(run_id const& run)
    {
        return run.task.job.value.starts_with("fill");
    }

    /// Fills each worker up to this many millicores with serving tasks of an
    /// image of its own.
    void serve_everywhere(std::int64_t millicores)
    {
        for (std::size_t at = 0; at < runners.size(); ++at) {
            auto step = serving_step(1, millicores, fmt::format("image{}", at));
            step.required_label = fmt::format("only-w{}", at);
            auto& facts = runners.at(fmt::format("w{}", at)).report.facts;
            facts.labels.push_back(step.required_label);
            add(fmt::format("serve{}", at), "urgent", step);
        }
        pass(1s);
    }

    /// The runs of a job whose id begins so, by worker.
    std::map<std::string, std::vector<run_id>>
    runs_of(std::string const& prefix) const
    {
        std::map<std::string, std::vector<run_id>> found;
        for (auto const& [name, runner] : runners) {
            for (auto const& each : runner.report.runs) {
                if (each.run.task.job.value.starts_with(prefix))
                    found[name].push_back(each.run);
            }
        }
        return found;
    }

    std::size_t count_runs_of(std::string const& prefix) const
    {
        std::size_t count = 0;
        for (auto const& [name, runs] : runs_of(prefix))
            count += runs.size();
        return count;
    }

    void finish(std::string const& prefix)
    {
        for (auto const& [name, runs] : runs_of(prefix)) {
            for (auto const& run : runs)
                runners.at(name).end(run, run_end::finished);
        }
    }
};

} // namespace

TEST_CASE("in a busy fleet, harm is accepted for one backfill run at a time")
{
    fleet world(6);
    world.serve_everywhere(12'000);
    for (int job = 0; job < 10; ++job)
        world.add(
            fmt::format("fill{}", job), "batch", backfill_step(4, "fill"));
    for (int round = 0; round < 40; ++round) {
        world.pass(100ms);
        REQUIRE(world.count_runs_of("fill") <= 1);
    }
    CHECK(world.count_runs_of("fill") == 1);
}

TEST_CASE("in a busy fleet, no backfill job waits for ever")
{
    fleet world(6);
    world.serve_everywhere(12'000);
    constexpr int jobs = 5;
    for (int job = 0; job < jobs; ++job)
        world.add(
            fmt::format("fill{}", job), "batch", backfill_step(2, "fill"));
    for (int round = 0; round < 60; ++round) {
        world.pass(2s);
        world.finish("fill");
    }
    world.pass(1s);
    CHECK(world.scheduler.counts().jobs_ended.at(job_phase::completed) == jobs);
}

TEST_CASE(
    "a backfill run that stands still doesn't hold up the others for ever")
{
    fleet world(6);
    world.serve_everywhere(12'000);
    for (int job = 0; job < 3; ++job)
        world.add(
            fmt::format("fill{}", job), "batch", backfill_step(1, "fill"));
    world.pass(30s);
    CHECK(world.count_runs_of("fill") == 3);
}

TEST_CASE("while most of the room is free, each backfill job has a run")
{
    fleet world(6);
    world.serve_everywhere(4'000);
    for (int job = 0; job < 10; ++job)
        world.add(
            fmt::format("fill{}", job), "batch", backfill_step(4, "fill"));
    world.pass(3s);
    for (int job = 0; job < 10; ++job)
        CHECK(world.count_runs_of(fmt::format("fill{}", job)) >= 1);
}

TEST_CASE("a waiting backfill task tells what it would harm")
{
    fleet world(2);
    world.serve_everywhere(12'000);
    world.scheduler.take_events();
    world.add("fill", "batch", backfill_step(4, "fill"));
    world.pass(500ms);
    std::vector<scheduling_event> waits;
    for (auto const& event : world.scheduler.take_events()) {
        if (event.type == scheduling_event::kind::backfill_waits)
            waits.push_back(event);
    }
    REQUIRE(waits.size() == 1);
    CHECK(waits[0].run.task.job.value == "fill");
    CHECK(waits[0].wait.reason == wait_reason::contention);
    CHECK(waits[0].wait.serving_image.starts_with("image"));
    CHECK(waits[0].wait.headroom < 1.0);
    CHECK(
        world.scheduler.waiting_by_reason() ==
        std::map<wait_reason, std::size_t>{{wait_reason::contention, 4}});
}

TEST_CASE("a backfill task that lacks memory tells so")
{
    fleet world(2);
    auto step = backfill_step(1, "fill");
    step.need.memory_mib = worker_size.memory_mib + 1;
    world.add("fill", "batch", step);
    world.pass(500ms);
    CHECK(
        world.scheduler.waiting_by_reason() ==
        std::map<wait_reason, std::size_t>{{wait_reason::no_room, 1}});
}

TEST_CASE("a start in spite of contention is told and counted")
{
    fleet world(2);
    world.serve_everywhere(12'000);
    world.scheduler.take_events();
    world.add("fill", "batch", backfill_step(4, "fill"));
    world.pass(2s);
    std::vector<scheduling_event> accepted;
    for (auto const& event : world.scheduler.take_events()) {
        if (event.type == scheduling_event::kind::contention_accepted)
            accepted.push_back(event);
    }
    REQUIRE(accepted.size() == 1);
    CHECK(accepted[0].wait.serving_image.starts_with("image"));
    CHECK(accepted[0].wait.headroom < 1.0);
    CHECK(accepted[0].waited >= 1200ms);
    CHECK(world.scheduler.counts().accepted_contention == 1);
}

TEST_CASE("estimates of contention are told when they change considerably")
{
    fleet world(2);
    world.serve_everywhere(12'000);
    CHECK(world.scheduler.take_changed_estimates().empty());
    world.add("fill", "batch", backfill_step(4, "fill"));
    world.pass(3s);
    auto const changed = world.scheduler.take_changed_estimates();
    REQUIRE(changed.size() == 1);
    CHECK(changed[0].backfill_image == "fill");
    CHECK(world.scheduler.take_changed_estimates().empty());
}

TEST_CASE("a run that all serving tasks bear doesn't count as harm accepted")
{
    fleet world(2);
    world.tail_ms = 6;
    world.serve_everywhere(12'000);
    // It needs the memory of a whole worker, and waits until one joins.
    auto step = backfill_step(1, "fill");
    step.need.memory_mib = worker_size.memory_mib;
    world.add("fill", "batch", step);
    world.pass(2s);
    REQUIRE(world.count_runs_of("fill") == 0);
    world.runners.emplace("w2", test_runner("w2", worker_size));
    world.runners.at("w2").join(world.scheduler, world.now);
    world.pass(500ms);
    CHECK(world.count_runs_of("fill") == 1);
    CHECK(world.scheduler.counts().accepted_contention == 0);
}

TEST_CASE("short tasks run beside serving tasks, so that a worker stays whole")
{
    fleet world(3);
    world.add("serve", "urgent", serving_step(3, 3'000, "image"));
    world.pass(1s);
    REQUIRE(world.runs_of("serve").size() == 1);
    auto const served = world.runs_of("serve").begin()->first;
    world.add("short", "urgent", test_step(8, {500, 500, 0}));
    world.pass(1s);
    auto const runs = world.runs_of("short");
    REQUIRE(runs.size() == 1);
    CHECK(runs.begin()->first == served);
    CHECK(runs.begin()->second.size() == 8);
}

TEST_CASE("short tasks go to a whole worker rather than wait")
{
    fleet world(2);
    world.add("serve", "urgent", serving_step(5, 3'000, "image"));
    world.pass(1s);
    REQUIRE(world.runs_of("serve").size() == 1);
    world.add("short", "urgent", test_step(8, {500, 500, 0}));
    world.pass(1s);
    CHECK(world.count_runs_of("short") == 8);
}

TEST_CASE("serving tasks that fill a worker don't share another image's worker")
{
    fleet world(4);
    world.add("serve-a", "urgent", serving_step(4, 3'000, "a"));
    world.pass(1s);
    world.add("serve-b", "urgent", serving_step(5, 3'000, "b"));
    world.pass(1s);
    CHECK(world.runs_of("serve-b").size() == 1);
    for (auto const& [name, runs] : world.runs_of("serve-b"))
        CHECK_FALSE(world.runs_of("serve-a").contains(name));
}

TEST_CASE("a few serving tasks share another image's worker")
{
    fleet world(4);
    world.add("serve-a", "urgent", serving_step(2, 3'000, "a"));
    world.pass(1s);
    world.add("serve-b", "urgent", serving_step(1, 3'000, "b"));
    world.pass(1s);
    CHECK(world.runs_of("serve").size() == 1);
}
