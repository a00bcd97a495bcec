#include "libsycamorespar/run_keeper.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

run_id const run{{job_id{"j1"}, 0, 0, 0}, 1};

struct bench
{
    run_keeper keeper{worker_id{"m1"}, incarnation{5}};
    monotonic_time now{std::chrono::hours(1)};
    worker_facts facts;
    std::uint64_t next_order = 1;

    bench()
    {
        facts.life = {"i-1", 1000ms};
        facts.pool = pool_id{"ledger"};
        keeper.on_announcement(facts, 10'000ms, now);
    }

    runner_report report()
    {
        return keeper.make_report([](run_id const&) { return 100U; }, now);
    }

    bool reply(
        std::uint64_t sequence, std::vector<runner_order> orders = {},
        std::uint64_t token = 70, std::uint64_t term = 7)
    {
        return keeper.on_reply(
            sequence, {scheduler_term{term}, token, true, facts.life, 0,
                       std::move(orders)});
    }

    /// Gets a token and a first list.
    void join()
    {
        reply(report().sequence);
        list({}, {});
    }

    void list(
        std::vector<listed_run> running, std::vector<end_report> ended,
        worker_time at = 0ms)
    {
        auto const clock = at == 0ms ? keeper.clock_at_least(now) + 1ms : at;
        keeper.on_listing(
            {facts.life.born, clock, std::move(running), std::move(ended)},
            keeper.next_hold(), now);
    }

    void order_start()
    {
        start_order order;
        order.number = next_order++;
        order.run = run;
        reply(report().sequence, {order});
    }

    void order_stop()
    {
        reply(report().sequence, {stop_order{next_order++, run}});
    }

    listed_run row() const
    {
        listed_run made;
        made.run = run;
        return made;
    }

    bool has_run()
    {
        auto const made = report();
        return !made.runs.empty();
    }
};

} // namespace

TEST_CASE("a start is void once the time granted to the runs is over")
{
    bench b;
    b.join();
    b.order_start();
    b.now += 20s;
    auto const calls = b.keeper.take_starts(b.now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].deadline == b.keeper.granted_until());
    CHECK(calls[0].deadline < b.keeper.clock_at_least(b.now));
}

TEST_CASE("a start that was held up for long can't begin")
{
    bench b;
    b.join();
    b.order_start();
    auto const calls = b.keeper.take_starts(b.now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].deadline <= b.keeper.clock_at_least(b.now) + 1500ms);
    CHECK(b.keeper.take_starts(b.now).empty());
}

TEST_CASE("time is granted from when a report was sent, not from its answer")
{
    bench b;
    b.join();
    auto const sent = b.report();
    auto const clock = b.keeper.clock_at_least(b.now);
    b.now += 2s;
    b.reply(sent.sequence);
    CHECK(b.keeper.granted_until() == clock + 5500ms);
}

TEST_CASE("a reply that doesn't extend grants nothing")
{
    bench b;
    b.join();
    auto const before = b.keeper.granted_until();
    b.now += 1s;
    b.keeper.on_reply(
        b.report().sequence,
        {scheduler_term{7}, 70, false, b.facts.life, 0, {}});
    CHECK(b.keeper.granted_until() == before);
}

TEST_CASE("a worker's clock is taken to be slow, never fast")
{
    bench b;
    b.now += 10s;
    CHECK(b.keeper.clock_at_least(b.now) == 19'800ms);
}

TEST_CASE("an accepted start runs, and its end is reported until acknowledged")
{
    bench b;
    b.join();
    b.order_start();
    b.keeper.take_starts(b.now);
    b.keeper.on_start_result(run, call_outcome::accepted, 10'002ms, b.now);
    CHECK(b.report().runs.at(0).has_started);
    b.list({}, {{1, run, run_end::finished, "saved"}});
    CHECK(b.keeper.has_news());
    auto const told = b.report();
    REQUIRE(told.ends.size() == 1);
    CHECK(told.runs.empty());
    b.keeper.on_reply(
        told.sequence, {scheduler_term{7}, 70, true, b.facts.life, 1, {}});
    CHECK(b.report().ends.empty());
    CHECK(b.keeper.next_hold().ended_through == 1);
}

TEST_CASE("an acknowledgement is sent until the worker has confirmed it")
{
    // Found by the soak, seed 137: a look that was held up acknowledged an end
    // of the worker's next life, which nobody had heard of.
    bench b;
    b.join();
    b.list({}, {{1, run, run_end::finished, ""}});
    b.keeper.on_reply(
        b.report().sequence,
        {scheduler_term{7}, 70, true, b.facts.life, 1, {}});
    CHECK(b.keeper.next_hold().ended_through == 1);
    CHECK(b.keeper.next_hold().ended_through == 1);
    b.list({}, {});
    CHECK(b.keeper.next_hold().ended_through == 0);
}

TEST_CASE("a start without an answer is sent again, then taken back")
{
    bench b;
    b.join();
    b.order_start();
    for (int attempt = 0; attempt < 3; ++attempt) {
        REQUIRE(b.keeper.take_starts(b.now).size() == 1);
        b.keeper.on_start_result(run, call_outcome::unknown, 0ms, b.now);
    }
    CHECK(b.keeper.take_starts(b.now).empty());
    REQUIRE(b.keeper.take_stops(b.now).size() == 1);
    CHECK(b.has_run());
    b.keeper.on_stop_result(run, call_outcome::accepted, 10'500ms, b.now);
    b.list({}, {}, 10'400ms);
    CHECK(b.has_run());
    b.list({}, {}, 10'501ms);
    auto const told = b.report();
    CHECK(told.runs.empty());
    REQUIRE(told.refusals.size() == 1);
    CHECK(told.refusals[0].why == refusal_reason::no_answer);
}

TEST_CASE("a refusal after an unanswered try proves nothing")
{
    bench b;
    b.join();
    b.order_start();
    b.keeper.take_starts(b.now);
    b.keeper.on_start_result(run, call_outcome::unknown, 0ms, b.now);
    b.keeper.take_starts(b.now);
    b.keeper.on_start_result(run, call_outcome::no_room, 10'100ms, b.now);
    CHECK(b.report().refusals.empty());
    CHECK(b.keeper.take_stops(b.now).size() == 1);
}

TEST_CASE("a stop for a start that may be under way takes it back")
{
    bench b;
    b.join();
    b.order_start();
    b.keeper.take_starts(b.now);
    b.keeper.on_start_result(run, call_outcome::unknown, 0ms, b.now);
    b.order_stop();
    CHECK(b.report().refusals.empty());
    CHECK(b.keeper.take_starts(b.now).empty());
    CHECK(b.keeper.take_stops(b.now).size() == 1);
}

TEST_CASE("a stop for a start that was never sent is a refusal at once")
{
    bench b;
    b.join();
    b.order_start();
    b.order_stop();
    CHECK(b.report().refusals.size() == 1);
    CHECK(b.keeper.take_starts(b.now).empty());
}

TEST_CASE("a list made before a start was confirmed doesn't drop the run")
{
    bench b;
    b.join();
    b.order_start();
    b.keeper.take_starts(b.now);
    b.keeper.on_start_result(run, call_outcome::accepted, 10'500ms, b.now);
    b.list({}, {}, 10'400ms);
    CHECK(b.has_run());
}

TEST_CASE("a list that was overtaken by a later one is ignored")
{
    bench b;
    b.join();
    b.list({b.row()}, {}, 10'800ms);
    b.list({}, {}, 10'700ms);
    CHECK(b.has_run());
}

TEST_CASE("a refusal is told until a report with it is answered")
{
    bench b;
    b.join();
    b.order_start();
    b.keeper.take_starts(b.now);
    auto const before = b.report();
    b.keeper.on_start_result(run, call_outcome::no_room, 10'010ms, b.now);
    b.reply(before.sequence);
    auto const told = b.report();
    CHECK(told.refusals.size() == 1);
    b.reply(told.sequence);
    CHECK(b.report().refusals.empty());
}

TEST_CASE("orders of an earlier term or for another life are not taken up")
{
    bench b;
    b.join();
    start_order order;
    order.number = 1;
    order.run = run;
    CHECK_FALSE(b.reply(b.report().sequence, {order}, 60, 6));
    auto const sequence = b.report().sequence;
    worker_life const other{"i-0", 500ms};
    b.keeper.on_reply(
        sequence, {scheduler_term{7}, 70, true, other, 0, {order}});
    CHECK(b.keeper.take_starts(b.now).empty());
}

TEST_CASE("a new term's token makes the lists incomplete until the next look")
{
    bench b;
    b.join();
    CHECK(b.report().is_listed);
    b.reply(b.report().sequence, {}, 90, 9);
    CHECK_FALSE(b.report().is_listed);
    CHECK(b.keeper.next_hold().token == 90);
    b.list({b.row()}, {});
    CHECK(b.report().is_listed);
    CHECK(b.report().runs.size() == 1);
}

TEST_CASE("a new life of the worker has nothing of the one before")
{
    bench b;
    b.join();
    b.list({b.row()}, {{1, {{job_id{"j2"}, 0, 0, 0}, 1}, run_end::failed, ""}});
    b.facts.life.born = 9000ms;
    b.keeper.on_announcement(b.facts, 5ms, b.now);
    auto const told = b.report();
    CHECK(told.runs.empty());
    CHECK(told.ends.empty());
    CHECK_FALSE(told.is_listed);
    b.facts.life.born = 1000ms;
    CHECK_FALSE(b.keeper.on_announcement(b.facts, 20'000ms, b.now));
}

TEST_CASE("a list of a new life is noticed before its announcement")
{
    bench b;
    b.join();
    b.list({b.row()}, {});
    b.keeper.on_listing({7000ms, 3ms, {}, {}}, {0ms, 0, 70}, b.now);
    CHECK(b.report().runs.empty());
    CHECK(b.keeper.facts().life.born == 7000ms);
}

TEST_CASE("a silent worker's runs are dropped once its time is over")
{
    bench b;
    b.join();
    b.keeper.next_hold();
    b.list({b.row()}, {});
    for (int look = 0; look < 40; ++look) {
        b.now += 100ms;
        b.reply(b.report().sequence);
        b.keeper.on_look_failed(b.now);
        b.keeper.next_hold();
        b.keeper.drop_lapsed(b.now);
    }
    CHECK_FALSE(b.keeper.is_reachable());
    CHECK(b.keeper.next_hold().deadline == 0ms);
    CHECK(b.has_run());
    b.now += 4s;
    b.keeper.drop_lapsed(b.now);
    CHECK_FALSE(b.has_run());
}

TEST_CASE("a refused token begins a new session")
{
    bench b;
    b.join();
    b.keeper.on_token_refused(60);
    CHECK_FALSE(b.keeper.needs_new_token());
    b.keeper.on_token_refused(70);
    CHECK(b.keeper.needs_new_token());
    b.keeper.begin_session(incarnation{6});
    CHECK_FALSE(b.keeper.may_call());
    CHECK(b.report().token == 0);
}

TEST_CASE("what has left runs nothing, and late words of it change nothing")
{
    bench b;
    b.join();
    b.order_start();
    CHECK_FALSE(b.keeper.on_leave("i-other"));
    CHECK(b.keeper.on_leave("i-1"));
    CHECK(b.report().facts.has_left);
    CHECK(b.report().runs.empty());
    CHECK(b.keeper.take_starts(b.now).empty());
    b.list({b.row()}, {});
    CHECK(b.report().runs.empty());
    CHECK_FALSE(b.keeper.on_announcement(b.facts, 20'000ms, b.now));
    CHECK(b.report().facts.has_left);
    b.facts.life = {"i-2", 5000ms};
    CHECK(b.keeper.on_announcement(b.facts, 10ms, b.now));
    CHECK_FALSE(b.report().facts.has_left);
}
