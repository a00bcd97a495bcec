/// Tests the worker client with the stand-in worker: starts, leases, refusals.
#include "standins/worker/worker_api.hpp"
#include "workers/worker_client.hpp"

#include <catch2/catch.hpp>
#include <optional>

using namespace sycamorespar;
using namespace sycamorespar::workers;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds test_timeout{20};

standins::worker_settings small_worker()
{
    return {"w1", "tulcea", "rack-1", {4000, 8192, 1}, 2000ms};
}

/// A stand-in worker and a client on one event loop.
struct worker_pair
{
    event_loop loop;
    standins::worker_api api{loop, small_worker(), ""};
    worker_client client{loop, take(api.listen({"127.0.0.1", 0}))};

    worker_pair()
    {
        loop.after(test_timeout, [this] { loop.stop(); });
    }

    /// Makes a call and runs the loop until the result arrives.
    template<class T>
    result<T> wait(std::function<void(worker_client::callback<T>)> const& call)
    {
        std::optional<result<T>> got;
        call([&](result<T> answer) {
            got = std::move(answer);
            loop.stop();
        });
        if (!got)
            loop.run();
        REQUIRE(got.has_value());
        return std::move(*got);
    }

    lease_id lease()
    {
        return take(wait<lease_id>(
            [&](auto done) { client.grant_lease(60s, std::move(done)); }));
    }

    result<start_answer> start(task_spec const& spec)
    {
        return wait<start_answer>(
            [&](auto done) { client.start_task(spec, std::move(done)); });
    }
};

task_spec spec_of(
    char const* job, lease_id const& lease, resources demand = {1000, 1024, 0})
{
    return {
        {job_id(job), attempt_number(1)},
        lease,
        row_id("settlement"),
        demand,
        std::nullopt,
        ""};
}

} // namespace

TEST_CASE("a worker describes itself")
{
    worker_pair pair;
    auto const got = pair.wait<worker_description>(
        [&](auto done) { pair.client.describe(std::move(done)); });
    REQUIRE(ok(got));
    CHECK(value(got).worker == worker_id("w1"));
    CHECK(value(got).capacity == resources{4000, 8192, 1});
}

TEST_CASE("a task starts once for each job and attempt")
{
    worker_pair pair;
    auto const spec = spec_of("a job/1", pair.lease());
    auto const first = pair.start(spec);
    REQUIRE(ok(first));
    CHECK_FALSE(value(first).already_seen);
    auto const second = pair.start(spec);
    REQUIRE(ok(second));
    CHECK(value(second).already_seen);
    CHECK(value(second).task.state == task_state::running);
    CHECK(pair.api.core().in_use() == resources{1000, 1024, 0});
}

TEST_CASE("a start without room or with a lapsed lease is proved not run")
{
    worker_pair pair;
    auto const large = spec_of("large", pair.lease(), {5000, 1, 0});
    auto const no_room = pair.start(large);
    REQUIRE_FALSE(ok(no_room));
    CHECK(failure(no_room).effect == outcome::not_run);
    auto const no_lease = pair.start(spec_of("small", lease_id("lease-99")));
    REQUIRE_FALSE(ok(no_lease));
    CHECK(failure(no_lease).effect == outcome::not_run);
    CHECK(failure(no_lease).step == "worker.start_task");
    CHECK(pair.api.core().refused_for_room() == 1);
}

TEST_CASE(
    "a stopped task returns its checkpoint, is listed and can be forgotten")
{
    worker_pair pair;
    auto spec = spec_of("reduction", pair.lease());
    spec.checkpoint = "5000";
    REQUIRE(ok(pair.start(spec)));
    auto const checkpoint = pair.wait<std::string>(
        [&](auto done) { pair.client.stop(spec.id, std::move(done)); });
    REQUIRE(ok(checkpoint));
    CHECK(std::stoll(value(checkpoint)) >= 5000);
    auto list = [&](auto done) {
        pair.client.list_tasks(std::move(done));
    };
    auto const listed = pair.wait<std::vector<task_status>>(list);
    REQUIRE(ok(listed));
    REQUIRE(value(listed).size() == 1);
    CHECK(value(listed)[0].state == task_state::stopped);
    CHECK(value(listed)[0].id == spec.id);
    REQUIRE(ok(pair.wait<done>(
        [&](auto call) { pair.client.forget(spec.id, std::move(call)); })));
    CHECK(value(pair.wait<std::vector<task_status>>(list)).empty());
}

TEST_CASE("a running task can't be forgotten")
{
    worker_pair pair;
    auto const spec = spec_of("reduction", pair.lease());
    REQUIRE(ok(pair.start(spec)));
    auto const got = pair.wait<done>(
        [&](auto call) { pair.client.forget(spec.id, std::move(call)); });
    REQUIRE_FALSE(ok(got));
    CHECK(failure(got).effect == outcome::not_run);
}

TEST_CASE("a start at an unreachable worker is not run")
{
    event_loop loop;
    http_server closed(loop, {}, [](exchange_id, http_request const&) {});
    auto const where = take(closed.listen({"127.0.0.1", 0}));
    closed.stop_accepting();
    worker_client client(loop, where);
    std::optional<result<start_answer>> got;
    client.start_task(spec_of("a", lease_id("l")), [&](auto answer) {
        got = std::move(answer);
        loop.stop();
    });
    loop.run();
    REQUIRE(got.has_value());
    CHECK(failure(*got).effect == outcome::not_run);
}

TEST_CASE("the stand-in stops tasks when their lease lapses")
{
    std::vector<std::string> ends;
    standins::worker_core core(
        small_worker(), [&](std::string const& event, auto const& task, auto) {
            if (event == "task_end")
                ends.push_back(to_text(task.state));
        });
    monotonic_time const start{};
    auto const lease = core.grant_lease(1000ms, start);
    attempt_id const id{job_id("long"), attempt_number(1)};
    standins::worker_task_spec spec{id, lease, "r", {1000, 1, 0}, -1ms, ""};
    REQUIRE(core.start_task(spec, start) == standins::worker_start::started);
    REQUIRE(core.renew_lease(lease, 1000ms, start + 900ms));
    core.advance(start + 1899ms);
    CHECK(ends.empty());
    core.advance(start + 9000ms);
    CHECK(ends == std::vector<std::string>{"lapsed"});
    CHECK(core.find(id)->progress == 1900ms);
    CHECK(core.in_use() == resources{});
    CHECK_FALSE(core.renew_lease(lease, 1000ms, start + 9000ms));
}

TEST_CASE("the stand-in reports usage with a delay")
{
    standins::worker_core core(small_worker(), [](auto, auto const&, auto) {});
    monotonic_time const start{};
    auto const lease = core.grant_lease(60s, start);
    attempt_id const id{job_id("job"), attempt_number(1)};
    standins::worker_task_spec spec{id, lease, "r", {1000, 1, 0}, -1ms, ""};
    REQUIRE(core.start_task(spec, start) == standins::worker_start::started);
    for (auto at = start; at <= start + 1900ms; at += 100ms)
        core.advance(at);
    CHECK(core.usage(start + 1900ms).empty());
    REQUIRE(core.usage(start + 2300ms).size() == 1);
    CHECK(core.usage(start + 2300ms)[0].age >= 2000ms);
}
