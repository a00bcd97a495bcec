/// Tests of the metrics pages of spar-scheduler and spar-runner.
#include "common/http_client.hpp"
#include "common/metrics_endpoint.hpp"
#include "graph_world.hpp"
#include "spar-runner/runner_metrics.hpp"
#include "spar-scheduler/scheduler_metrics.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace sycamorespar::tests;
using namespace std::chrono_literals;

namespace {

bool has_line(std::string const& page, std::string const& line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("the scheduler's page shows callers, work, workers and the store")
{
    graph_scheduler scheduler(scheduler_term{7}, {}, {}, test_start);
    scheduler.set_policy(test_policy());
    test_runner a("a", {1000, 8000, 0});
    a.join(scheduler, test_start);
    scheduler.add_job(
        test_job("j1", "urgent", test_step(2, {1000, 1000, 0})), nullptr,
        scheduler_term{7}, test_start);
    scheduler.plan(test_start, 0ms, test_start);
    caller_counts callers;
    callers.accepted = 3;
    callers.refused["store_lost"] = 2;
    latency_histogram submissions;
    submissions.record(5ms);
    scheduler_metrics_source source;
    source.callers = &callers;
    source.submissions = &submissions;
    source.is_leader = true;
    source.scheduler = &scheduler;
    auto const page = render_scheduler_metrics(source, test_start);
    CHECK(has_line(page, "spar_jobs_answered_total{answer=\"accepted\"} 3"));
    CHECK(has_line(
        page, "spar_callers_turned_away_total{reason=\"store_lost\"} 2"));
    CHECK(has_line(page, "spar_office_held 1"));
    CHECK(has_line(page, "spar_tasks_waiting{priority=\"0\"} 1"));
    CHECK(has_line(page, "spar_runs_ordered_total 1"));
    CHECK(has_line(page, "spar_stops_ordered_total 0"));
    CHECK(has_line(page, "spar_runs_of_ended_jobs 0"));
    CHECK(has_line(page, "spar_workers{state=\"usable\"} 1"));
    CHECK(has_line(page, "spar_job_acceptance_total 1"));
}

TEST_CASE("the scheduler's page counts runs that outlive their job")
{
    graph_scheduler scheduler(scheduler_term{7}, {}, {}, test_start);
    scheduler.set_policy(test_policy());
    test_runner a("a");
    a.join(scheduler, test_start);
    scheduler.add_job(
        test_job("j1", "urgent", test_step(2, {1000, 1000, 0})), nullptr,
        scheduler_term{7}, test_start);
    scheduler.plan(test_start, 0ms, test_start);
    scheduler.cancel_job(job_id{"j1"});
    caller_counts const callers;
    latency_histogram const submissions;
    scheduler_metrics_source source;
    source.callers = &callers;
    source.submissions = &submissions;
    source.scheduler = &scheduler;
    auto const page = render_scheduler_metrics(source, test_start);
    CHECK(has_line(page, "spar_stops_ordered_total 2"));
    CHECK(has_line(page, "spar_runs_of_ended_jobs 2"));
    CHECK(has_line(page, "spar_contention_accepted_total 0"));
    CHECK(has_line(page, "spar_contention_pairs{kind=\"harmful\"} 0"));
}

TEST_CASE("the runner's page shows its calls and the lease")
{
    run_tracker const keeper(worker_id{"a"}, incarnation{1});
    runner_counts counts;
    counts.starts[call_outcome::accepted] = 4;
    counts.starts[call_outcome::no_room] = 1;
    auto const page =
        render_runner_metrics(counts, keeper, pace_control(), 9, test_start);
    CHECK(has_line(page, "spar_starts_total{result=\"accepted\"} 4"));
    CHECK(has_line(page, "spar_starts_total{result=\"no_room\"} 1"));
    CHECK(has_line(page, "spar_reports_answered_total 9"));
    CHECK(has_line(page, "spar_lease_left_seconds 0"));
    CHECK(has_line(page, "spar_backfill_runs{pace=\"slowed\"} 0"));
    CHECK(has_line(page, "spar_serving_over_target 0"));
    CHECK(has_line(page, "spar_serving_over_target_seconds 0"));
}

TEST_CASE("only the metrics path is served")
{
    event_loop loop;
    metrics_endpoint page(loop, [] { return std::string("a 1\n"); });
    CHECK(ok(page.listen(std::nullopt)));
    // Finds a free port; it is released again before the page uses it.
    endpoint where;
    {
        http_server probe(loop, {}, [](exchange_id, auto const&) {});
        where = take(probe.listen({"127.0.0.1", 0}));
    }
    REQUIRE(ok(page.listen(where)));
    http_client client(loop, where, {});
    std::vector<int> statuses;
    for (auto const* path : {"/metrics", "/other"})
        client.call({"GET", path, {}, {}}, [&](auto const& answer) {
            statuses.push_back(ok(answer) ? value(answer).status : 0);
            if (statuses.size() == 2)
                loop.stop();
        });
    loop.run();
    std::sort(statuses.begin(), statuses.end());
    CHECK(statuses == std::vector<int>{200, 404});
}
