/// Due tasks, ends of runs, gangs, copies, occurrences and the restoring of
/// recorded progress in graph_progress.
#include "libsycamorespar/graph_progress.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

job_id const job{"0123456789abcdef"};

job_graph graph_of(std::vector<graph_step> steps)
{
    job_graph graph;
    graph.id = job;
    graph.queue = queue_id{"pricing"};
    graph.steps = std::move(steps);
    return graph;
}

graph_step tasks(std::uint32_t count, std::vector<std::uint32_t> after = {})
{
    graph_step step;
    step.count = count;
    step.after = std::move(after);
    return step;
}

task_id task(std::uint32_t step, std::uint32_t index)
{
    return {job, 0, step, index};
}

/// Starts a run of a due task and ends it.
std::vector<task_id>
run_to(graph_progress& progress, task_id const& which, run_end how)
{
    return progress.end_run({which, progress.begin_run(which)}, how, {});
}

} // namespace

TEST_CASE("a step is due once all tasks of the steps before it are done")
{
    graph_progress progress(graph_of({tasks(2), tasks(1, {0})}), 2);
    CHECK(progress.due_tasks() == std::vector{task(0, 0), task(0, 1)});
    CHECK(run_to(progress, task(0, 0), run_end::finished).empty());
    CHECK_FALSE(progress.is_due(task(1, 0)));
    auto const due = run_to(progress, task(0, 1), run_end::finished);
    CHECK(due == std::vector{task(1, 0)});
    run_to(progress, task(1, 0), run_end::finished);
    CHECK(progress.phase() == job_phase::completed);
}

TEST_CASE("a task that fails too often fails its job, and no task starts again")
{
    graph_progress progress(graph_of({tasks(2)}), 2);
    CHECK(run_to(progress, task(0, 0), run_end::failed).size() == 1);
    CHECK(run_to(progress, task(0, 0), run_end::failed).empty());
    CHECK(progress.phase() == job_phase::failed);
    CHECK(progress.due_tasks().empty());
}

TEST_CASE("only failed runs count as failures")
{
    graph_progress progress(graph_of({tasks(1)}), 1);
    for (auto const how :
         {run_end::stopped, run_end::lapsed, run_end::lost, run_end::refused,
          run_end::broken, run_end::alone})
        CHECK(run_to(progress, task(0, 0), how).size() == 1);
    CHECK(progress.phase() == job_phase::running);
}

TEST_CASE("the end of an earlier run of the task is ignored")
{
    graph_progress progress(graph_of({tasks(1)}), 1);
    auto const first = progress.begin_run(task(0, 0));
    progress.end_run({task(0, 0), first}, run_end::lost, {});
    auto const second = progress.begin_run(task(0, 0));
    CHECK(second > first);
    CHECK(progress.end_run({task(0, 0), first}, run_end::finished, {}).empty());
    CHECK(progress.phase() == job_phase::running);
}

TEST_CASE("a long-running task is due again however it ends, until cancelled")
{
    auto step = tasks(1);
    step.long_running = true;
    graph_progress progress(graph_of({step}), 1);
    for (auto const how : {run_end::finished, run_end::failed, run_end::failed})
        CHECK(run_to(progress, task(0, 0), how).size() == 1);
    progress.cancel();
    CHECK(progress.phase() == job_phase::cancelled);
    CHECK(progress.due_tasks().empty());
}

TEST_CASE("a task resumes from the checkpoint of its last run")
{
    graph_progress progress(graph_of({tasks(1)}), 3);
    run_id const run{task(0, 0), progress.begin_run(task(0, 0))};
    progress.save_checkpoint(run, "one");
    progress.end_run(run, run_end::stopped, "two");
    CHECK(progress.checkpoint_of(task(0, 0)) == "two");
    run_to(progress, task(0, 0), run_end::lost);
    CHECK(progress.checkpoint_of(task(0, 0)) == "two");
}

TEST_CASE("a gang starts and ends together, and a failure of it counts once")
{
    auto step = tasks(3);
    step.gang = true;
    graph_progress progress(graph_of({step}), 2);
    auto const first = progress.begin_gang_run(task(0, 1));
    progress.end_run({task(0, 0), first}, run_end::failed, "saved");
    CHECK_FALSE(progress.is_due(task(0, 0)));
    progress.end_run({task(0, 1), first}, run_end::failed, {});
    auto const due = progress.end_run({task(0, 2), first}, run_end::broken, {});
    CHECK(due.size() == 3);
    CHECK(progress.phase() == job_phase::running);
    CHECK(progress.checkpoint_of(task(0, 2)) == "saved");
    auto const second = progress.begin_gang_run(task(0, 0));
    CHECK(second > first);
    progress.end_run({task(0, 2), second}, run_end::finished, {});
    CHECK(progress.phase() == job_phase::completed);
}

TEST_CASE("one copy may run beside a speculative task, but no more")
{
    auto step = tasks(1);
    step.speculative = true;
    graph_progress progress(graph_of({step}), 1);
    CHECK_FALSE(progress.may_copy(task(0, 0)));
    auto const first = progress.begin_run(task(0, 0));
    CHECK(progress.may_copy(task(0, 0)));
    auto const copy = progress.begin_run(task(0, 0));
    CHECK_FALSE(progress.may_copy(task(0, 0)));
    progress.end_run({task(0, 0), first}, run_end::lost, {});
    CHECK_FALSE(progress.is_due(task(0, 0)));
    progress.end_run({task(0, 0), copy}, run_end::finished, {});
    CHECK(progress.phase() == job_phase::completed);
}

TEST_CASE("occurrences open when they are due, and may overlap")
{
    auto graph = graph_of({tasks(1)});
    graph.schedule = {2, 1000ms, 500ms};
    graph_progress progress(graph, 1);
    CHECK(progress.due_tasks().empty());
    CHECK(progress.open_due(999ms).empty());
    CHECK(progress.open_due(1000ms).size() == 1);
    CHECK(progress.open_due(1700ms).size() == 1);
    CHECK_FALSE(progress.next_due());
    run_to(progress, {job, 1, 0, 0}, run_end::finished);
    CHECK(progress.phase() == job_phase::running);
    run_to(progress, {job, 0, 0, 0}, run_end::finished);
    CHECK(progress.phase() == job_phase::completed);
}

TEST_CASE("recorded progress is restored, and later runs get higher numbers")
{
    graph_progress before(graph_of({tasks(2), tasks(1, {0})}), 3);
    run_to(before, task(0, 0), run_end::finished);
    run_to(before, task(0, 1), run_end::failed);
    auto const recorded = before.snapshot();
    before.begin_run(task(0, 1));

    graph_progress after(graph_of({tasks(2), tasks(1, {0})}), 3);
    after.restore(recorded);
    CHECK(after.due_tasks() == std::vector{task(0, 1)});
    CHECK(after.begin_run(task(0, 1)) > 2);
}

// Over a slow link, the records of wide jobs were more than all other messages.
TEST_CASE("the record of a wide job lists no tasks that merely run")
{
    constexpr std::uint32_t width = 160;
    graph_progress progress(graph_of({tasks(width), tasks(1, {0})}), 3);
    for (std::uint32_t index = 0; index < width; ++index) {
        progress.begin_run(task(0, index));
        progress.save_checkpoint({task(0, index), 1}, "00000bb87a21d94b");
    }
    progress.end_run({task(0, 3), 1}, run_end::finished, {});
    progress.end_run({task(0, 4), 1}, run_end::failed, {});
    progress.end_run({task(0, 5), 1}, run_end::stopped, {});
    auto const recorded = progress.snapshot();
    REQUIRE(recorded.tasks.size() == 2);
    CHECK(recorded.tasks[0].failed_runs == std::vector<std::uint32_t>{1});
    CHECK(recorded.tasks[1].checkpoint == "00000bb87a21d94b");

    graph_progress after(graph_of({tasks(width), tasks(1, {0})}), 3);
    after.restore(recorded);
    CHECK(after.find(task(0, 3))->is_done);
    CHECK_FALSE(after.is_due(task(0, 3)));
    CHECK(after.due_tasks().size() == width - 1);
    CHECK(after.checkpoint_of(task(0, 5)) == "00000bb87a21d94b");
    CHECK(after.begin_run(task(0, 9)) > 1);
}

TEST_CASE("run numbers stay unique however often a task ran before a takeover")
{
    for (std::uint32_t const runs : {1U, 19U, 20U, 21U, 60U}) {
        INFO(runs);
        graph_progress before(graph_of({tasks(1)}), 3);
        std::uint32_t last = 0;
        for (std::uint32_t run = 0; run < runs; ++run) {
            last = before.begin_run(task(0, 0));
            before.end_run({task(0, 0), last}, run_end::refused, {});
        }
        graph_progress after(graph_of({tasks(1)}), 3);
        after.restore(before.snapshot());
        CHECK(after.begin_run(task(0, 0)) > last);
    }
}

TEST_CASE("the bits of finished steps are recorded and read back")
{
    graph_progress before(graph_of({tasks(7), tasks(3, {0})}), 3);
    for (std::uint32_t index = 0; index < 7; ++index)
        run_to(before, task(0, index), run_end::finished);
    run_to(before, task(1, 2), run_end::finished);
    graph_progress after(graph_of({tasks(7), tasks(3, {0})}), 3);
    after.restore(before.snapshot());
    CHECK(after.due_tasks() == std::vector{task(1, 0), task(1, 1)});
    run_to(after, task(1, 0), run_end::finished);
    run_to(after, task(1, 1), run_end::finished);
    CHECK(after.phase() == job_phase::completed);
}

TEST_CASE("an unrecorded run is adopted, an older one is not")
{
    graph_progress progress(graph_of({tasks(1)}), 3);
    graph_snapshot recorded;
    recorded.tasks = {{0, 0, 0, false, 3, {1}, ""}};
    progress.restore(recorded);
    CHECK_FALSE(progress.adopt_run({task(0, 0), 2}));
    CHECK(progress.adopt_run({task(0, 0), 4}));
    CHECK_FALSE(progress.adopt_run({task(0, 0), 5}));
    CHECK_FALSE(progress.is_due(task(0, 0)));
}

TEST_CASE("after an adopted run, run numbers used elsewhere are still skipped")
{
    // The next run got a number that another worker had already used.
    graph_progress progress(graph_of({tasks(1)}), 3);
    progress.restore({});
    CHECK(progress.adopt_run({task(0, 0), 1}));
    progress.end_run({task(0, 0), 1}, run_end::lapsed, {});
    CHECK(progress.begin_run(task(0, 0)) > 50);
}

TEST_CASE("the record of an ended job lists no tasks")
{
    graph_progress progress(graph_of({tasks(3)}), 1);
    progress.cancel();
    CHECK(progress.snapshot().tasks.empty());
    CHECK(progress.snapshot().phase == job_phase::cancelled);
}
