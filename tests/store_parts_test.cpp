/// Tests of the prefix watch, leader election, record writer and job store
/// with an in-memory store that can be down, drop its history and lose answers.
#include "records/job_store.hpp"
#include "records/record_keys.hpp"
#include "records/record_writer.hpp"
#include "store/leader_election.hpp"
#include "store/prefix_watch.hpp"
#include "store/watched_store.hpp"
#include "store_rig.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

struct store_fixture : tests::store_rig
{
    /// The writes that fail without being carried out.
    std::function<bool(kv_write const&)> fail_writes_of;

    store_fixture() { store = failing_store(); }

    kv_store failing_store()
    {
        auto made = kv.store();
        made.write = [this, write = made.write](
                         kv_write const& what,
                         kv_store::callback<kv_write_result> on_result) {
            if (!fail_writes_of || !fail_writes_of(what)) {
                write(what, std::move(on_result));
                return;
            }
            loop.after(duration::zero(), [on_result = std::move(on_result)] {
                on_result(error{"kv.write", "", "fails", outcome::not_run});
            });
        };
        return made;
    }
};

struct watched_values
{
    std::map<std::string, std::string> values;
    int lists = 0;

    prefix_watch::observer observer()
    {
        return {
            [this](std::vector<kv_item> const& items) {
                ++lists;
                values.clear();
                for (auto const& item : items)
                    values[item.key] = item.value;
            },
            [this](kv_change const& change) {
                if (change.is_removal)
                    values.erase(change.item.key);
                else
                    values[change.item.key] = change.item.value;
            }};
    }
};

progress_record record_of(char const* job, job_phase phase)
{
    graph_snapshot snapshot;
    snapshot.phase = phase;
    return {job_id{job}, 5, snapshot};
}

/// A record writer to which the offered records are handed once.
struct writer_fixture : store_fixture
{
    std::vector<progress_record> offered;
    std::vector<std::string> recorded;
    std::vector<std::string> returned;
    bool is_leadership_lost = false;
    std::unique_ptr<record_writer> writer;

    writer_fixture()
    {
        kv.put(leader_key, "leader");
        record_writer::observer callbacks;
        callbacks.on_recorded = [this](job_id const& job, std::uint64_t) {
            recorded.push_back(job.value);
        };
        callbacks.on_not_recorded = [this](job_id const& job) {
            returned.push_back(job.value);
        };
        callbacks.on_worker_recorded = [](worker_id const&) {
        };
        callbacks.on_removed = [](job_id const&) {
        };
        callbacks.on_leadership_lost = [this] {
            is_leadership_lost = true;
        };
        callbacks.take_records = [this](std::size_t) {
            return std::exchange(offered, {});
        };
        writer = std::make_unique<record_writer>(
            loop, store, scheduler_term{kv.items().at(leader_key).revision},
            std::move(callbacks));
    }

    void accept(char const* job)
    {
        accepted_job accepted;
        accepted.graph.id = job_id{job};
        accepted.graph.queue = queue_id{"q"};
        accepted.graph.steps.resize(1);
        store_job(store, accepted, [this, job](stored_job const& stored) {
            writer->update_progress_revision(job_id{job}, stored.revision);
        });
        run_for(20ms);
    }
};

/// A process that takes part in the leader election.
struct candidate
{
    leader_election election;

    candidate(store_fixture& of, std::uint64_t number, std::int64_t capacity)
        : election(
              of.loop, of.store,
              {incarnation{number},
               {"127.0.0.1", static_cast<std::uint16_t>(number)},
               capacity},
              {[](scheduler_term) {},
               [] {
               }},
              quick_limits())
    {}

    static leader_election_limits quick_limits()
    {
        leader_election_limits limits;
        // Far more than a large process needs to take over on a busy host.
        limits.precedence = 700ms;
        limits.claim_delay = 20ms;
        return limits;
    }
};

} // namespace

TEST_CASE("a prefix watch lists all pages and reports later changes")
{
    store_fixture fixture;
    fixture.kv.page_size = 2;
    for (auto const* key : {"op/a", "op/b", "op/c", "x/d"})
        fixture.kv.put(key, "1");
    watched_values seen;
    prefix_watch const watch(
        fixture.loop, fixture.store, "op/", seen.observer());
    fixture.run_for(30ms);
    CHECK(seen.values.size() == 3);
    fixture.kv.put("op/c", "2");
    fixture.kv.remove("op/a");
    fixture.run_for(30ms);
    CHECK(
        seen.values ==
        std::map<std::string, std::string>{{"op/b", "1"}, {"op/c", "2"}});
}

TEST_CASE("a prefix watch lists again when the store has dropped its history")
{
    store_fixture fixture;
    watched_values seen;
    prefix_watch const watch(
        fixture.loop, fixture.store, "op/", seen.observer());
    fixture.run_for(20ms);
    fixture.kv.put("x/other", "1");
    fixture.kv.drop_history();
    fixture.run_for(30ms);
    CHECK(seen.lists == 2);
    fixture.kv.put("op/a", "1");
    fixture.run_for(30ms);
    CHECK(seen.values.contains("op/a"));
}

// A leader whose watch was late stated that no job waited.
TEST_CASE("a prefix watch tells until when its view is complete")
{
    store_fixture fixture;
    watched_values seen;
    prefix_watch_limits limits;
    limits.wait = 20ms;
    auto const begun = event_loop::now();
    prefix_watch const watch(
        fixture.loop, fixture.store, "job/", seen.observer(), limits);
    CHECK(watch.complete_until() < begun);
    REQUIRE(fixture.run_until([&] { return watch.complete_until() >= begun; }));
    fixture.kv.is_down = true;
    fixture.run_for(60ms);
    auto const lost = event_loop::now();
    fixture.kv.put("job/a", "1");
    fixture.run_for(100ms);
    CHECK(watch.complete_until() < lost);
    CHECK(seen.values.empty());
    fixture.kv.is_down = false;
    CHECK(fixture.run_until([&] { return watch.complete_until() >= lost; }));
    CHECK(seen.values.contains("job/a"));
}

TEST_CASE("loss and recovery of the store are detected without other calls")
{
    store_fixture fixture;
    watched_store_limits limits;
    limits.probe = 20ms;
    limits.liveness.failing = 1500ms;
    limits.liveness.silence = 1500ms;
    watched_store watched(fixture.loop, fixture.store, leader_key, limits);
    auto const store = watched.store();
    store.get("any", [](auto const&) {});
    fixture.run_for(10ms);
    CHECK_FALSE(watched.is_lost());
    fixture.kv.is_down = true;
    store.get("any", [](auto const&) {});
    fixture.run_for(10ms);
    CHECK_FALSE(watched.is_lost());
    CHECK(fixture.run_until([&] { return watched.is_lost(); }));
    fixture.kv.is_down = false;
    CHECK(fixture.run_until([&] { return !watched.is_lost(); }));
}

TEST_CASE("a prefix watch continues once the store is reachable again")
{
    store_fixture fixture;
    fixture.kv.is_down = true;
    watched_values seen;
    prefix_watch const watch(
        fixture.loop, fixture.store, "op/", seen.observer());
    fixture.kv.put("op/a", "1");
    fixture.run_for(100ms);
    CHECK(seen.lists == 0);
    fixture.kv.is_down = false;
    fixture.run_for(500ms);
    CHECK(seen.values.contains("op/a"));
}

TEST_CASE("one process is the leader, and the next takes over when it resigns")
{
    store_fixture fixture;
    int first_terms = 0;
    std::uint64_t second_term = 0;
    leader_election first(
        fixture.loop, fixture.store, {incarnation{1}, {"127.0.0.1", 1}},
        {[&](scheduler_term) { ++first_terms; },
         [] {
         }});
    fixture.run_for(30ms);
    REQUIRE(first.is_leader());
    auto const first_term = first.leader()->term.value;
    leader_election second(
        fixture.loop, fixture.store, {incarnation{2}, {"127.0.0.1", 2}},
        {[&](scheduler_term term) { second_term = term.value; },
         [] {
         }});
    fixture.run_for(50ms);
    CHECK(second_term == 0);
    CHECK(second.leader()->process == incarnation{1});
    bool is_done = false;
    first.resign([&] { is_done = true; });
    fixture.run_for(100ms);
    CHECK(is_done);
    CHECK(first_terms == 1);
    CHECK(second_term > first_term);
}

// Nobody led for as long as a stopping leader took to end, as it went on
// renewing the lease of its key after the store had refused to remove that.
TEST_CASE("a leader that couldn't resign doesn't keep its key")
{
    store_fixture fixture;
    candidate first(fixture, 1, 250);
    REQUIRE(fixture.run_until([&] { return first.election.is_leader(); }));
    fixture.fail_writes_of = [](kv_write const& write) {
        return !write.removals.empty();
    };
    first.election.resign([] {});
    CHECK(fixture.run_until(
        [&] { return !fixture.kv.items().contains(leader_key); }));
}

TEST_CASE("a process becomes leader although the answer to its write is lost")
{
    store_fixture fixture;
    fixture.kv.lost_answers = 1;
    bool is_gained = false;
    leader_election const only(
        fixture.loop, fixture.store, {incarnation{1}, {"127.0.0.1", 1}},
        {[&](scheduler_term) { is_gained = true; },
         [] {
         }});
    fixture.run_for(300ms);
    CHECK(is_gained);
}

TEST_CASE("a leader whose key is removed notices the loss and tries again")
{
    store_fixture fixture;
    int gained = 0;
    int lost = 0;
    leader_election const only(
        fixture.loop, fixture.store, {incarnation{1}, {"127.0.0.1", 1}},
        {[&](scheduler_term) { ++gained; },
         [&] {
             ++lost;
         }});
    fixture.run_for(30ms);
    fixture.kv.remove(leader_key);
    fixture.run_for(200ms);
    CHECK(lost == 1);
    CHECK(gained == 2);
}

TEST_CASE("a small leader hands over to a larger process")
{
    // Guards against a leader that is too small for its load: a process with
    // 0.12 cores and a 10 Mbit/s link answered runners seconds late, which
    // failed LOST and RECOVER on trouble-2 of the grown trms-sky.
    store_fixture fixture;
    candidate small(fixture, 1, 100);
    REQUIRE(fixture.run_until([&] { return small.election.is_leader(); }));
    candidate large(fixture, 2, 500);
    CHECK(fixture.run_until([&] { return large.election.is_leader(); }));
    CHECK(fixture.run_until([&] { return !small.election.is_leader(); }));
    CHECK_FALSE(fixture.kv.items().contains(leader_claim_key));
}

// A leader too small for its load stayed, as its hand-over was lost.
TEST_CASE("a small leader hands over although the store fails meanwhile")
{
    store_fixture fixture;
    candidate small(fixture, 1, 100);
    REQUIRE(fixture.run_until([&] { return small.election.is_leader(); }));
    candidate large(fixture, 2, 500);
    bool is_failing = true;
    SECTION("at the claim")
    {
        fixture.fail_writes_of = [&](kv_write const& write) {
            return !write.puts.empty() &&
                   write.puts.front().key == leader_claim_key &&
                   std::exchange(is_failing, false);
        };
    }
    SECTION("at the hand-over")
    {
        fixture.fail_writes_of = [&](kv_write const& write) {
            return write.removals.size() == 2 &&
                   std::exchange(is_failing, false);
        };
    }
    CHECK(fixture.run_until([&] { return large.election.is_leader(); }));
    CHECK_FALSE(is_failing);
}

// UNASKED: a small leader handed over, and the next small process was faster
// than the one that had claimed, for 23 s on end. No term lasted long enough to
// stop the tasks of cancelled jobs.
TEST_CASE("a leadership that is handed over waits for who claimed it")
{
    store_fixture fixture;
    candidate small(fixture, 1, 100);
    REQUIRE(fixture.run_until([&] { return small.election.is_leader(); }));
    candidate other(fixture, 2, 100);
    REQUIRE(
        fixture.run_until([&] { return other.election.leader().has_value(); }));
    candidate large(fixture, 3, 500);
    auto const is_handed_over = [&] {
        return other.election.is_leader() || large.election.is_leader();
    };
    REQUIRE(fixture.run_until(is_handed_over));
    CHECK(large.election.is_leader());
}

TEST_CASE("a process slightly larger than the leader doesn't replace it")
{
    store_fixture fixture;
    candidate first(fixture, 1, 250);
    REQUIRE(fixture.run_until([&] { return first.election.is_leader(); }));
    candidate second(fixture, 2, 300);
    fixture.run_for(200ms);
    CHECK(first.election.is_leader());
}

TEST_CASE("a large process becomes leader before a small one")
{
    store_fixture fixture;
    candidate first(fixture, 1, 500);
    REQUIRE(fixture.run_until([&] { return first.election.is_leader(); }));
    candidate small(fixture, 2, 100);
    candidate large(fixture, 3, 500);
    auto const both_know_leader = [&] {
        return small.election.leader() && large.election.leader();
    };
    REQUIRE(fixture.run_until(both_know_leader));
    auto const is_acquired = [&] {
        return small.election.is_leader() || large.election.is_leader();
    };
    first.election.resign([] {});
    CHECK(fixture.run_until(is_acquired));
    CHECK(large.election.is_leader());
    large.election.resign([] {});
    CHECK(fixture.run_until([&] { return small.election.is_leader(); }));
}

TEST_CASE("a restarted leader takes over without waiting for its old lease")
{
    // Guards against waiting for the lease of a leader that has restarted.
    // After power losses callers waited for that lease although the process
    // was already back.
    store_fixture fixture;
    auto before = std::make_unique<candidate>(fixture, 1, 250);
    REQUIRE(fixture.run_until([&] { return before->election.is_leader(); }));
    auto const first_term = before->election.leader()->term;
    before.reset();
    leader_election again(
        fixture.loop, fixture.store, {incarnation{9}, {"127.0.0.1", 1}, 250},
        {[](scheduler_term) {},
         [] {
         }});
    candidate other(fixture, 2, 250);
    REQUIRE(fixture.run_until([&] { return again.is_leader(); }));
    CHECK(again.leader()->term > first_term);
    CHECK_FALSE(other.election.is_leader());
}

TEST_CASE("a claim for an earlier term is ignored")
{
    store_fixture fixture;
    candidate small(fixture, 1, 100);
    REQUIRE(fixture.run_until([&] { return small.election.is_leader(); }));
    fixture.kv.put(leader_claim_key, R"({"from": 1, "capacity": 900})");
    fixture.kv.put(leader_claim_key, "unreadable");
    fixture.run_for(60ms);
    CHECK(small.election.is_leader());
}

TEST_CASE("the record of a removed worker is deleted unless the worker is back")
{
    writer_fixture fixture;
    fixture.writer->add_worker(worker_id{"a"});
    fixture.writer->add_worker(worker_id{"b"});
    auto const has = [&](char const* worker) {
        return fixture.kv.items().contains(worker_key(worker_id{worker}));
    };
    REQUIRE(fixture.run_until([&] { return has("a") && has("b"); }));
    // A later write is only carried out once the earlier one was answered.
    fixture.writer->add_worker(worker_id{"c"});
    REQUIRE(fixture.run_until([&] { return has("c"); }));
    fixture.writer->remove_worker(worker_id{"a"});
    fixture.writer->remove_worker(worker_id{"b"});
    fixture.writer->add_worker(worker_id{"b"});
    CHECK(fixture.run_until([&] { return !has("a"); }));
    CHECK(fixture.kv.items().contains(worker_key(worker_id{"b"})));
}

// Each later leader waited for a worker that was gone, as a write that held its
// removal and a job's progress had met a conflict.
TEST_CASE("a worker's record is deleted although another record conflicts")
{
    writer_fixture fixture;
    fixture.accept("j1");
    fixture.writer->add_worker(worker_id{"a"});
    auto const has = [&](char const* worker) {
        return fixture.kv.items().contains(worker_key(worker_id{worker}));
    };
    REQUIRE(fixture.run_until([&] { return has("a"); }));
    fixture.writer->add_worker(worker_id{"c"});
    REQUIRE(fixture.run_until([&] { return has("c"); }));
    // As a write does whose answer was lost.
    fixture.kv.put(
        progress_key(job_id{"j1"}),
        fixture.kv.items().at(progress_key(job_id{"j1"})).value);
    fixture.offered = {record_of("j1", job_phase::running)};
    fixture.writer->remove_worker(worker_id{"a"});
    REQUIRE(fixture.run_until([&] { return !fixture.returned.empty(); }));
    fixture.offered = {record_of("j1", job_phase::running)};
    fixture.writer->wake();
    REQUIRE(fixture.run_until([&] { return !fixture.recorded.empty(); }));
    CHECK_FALSE(has("a"));
}

TEST_CASE("a job that is submitted twice is stored once")
{
    store_fixture fixture;
    accepted_job job;
    job.graph.id = job_id{"0123456789abcdef"};
    job.graph.queue = queue_id{"q"};
    job.graph.steps.resize(1);
    std::vector<stored_job> stored;
    for (int turn = 0; turn < 2; ++turn)
        store_job(fixture.store, job, [&](stored_job const& each) {
            stored.push_back(each);
        });
    fixture.run_for(20ms);
    REQUIRE(stored.size() == 2);
    CHECK(stored[0].outcome == acceptance::accepted);
    CHECK(stored[0].revision != 0);
    CHECK(stored[1].outcome == acceptance::accepted);
    CHECK(stored[1].revision == 0);
}

TEST_CASE("a submission is refused only if nothing was stored")
{
    store_fixture fixture;
    accepted_job job;
    job.graph.id = job_id{"0123456789abcdef"};
    job.graph.queue = queue_id{"q"};
    job.graph.steps.resize(1);
    std::vector<acceptance> outcomes;
    auto const submit = [&] {
        store_job(fixture.store, job, [&](stored_job const& each) {
            outcomes.push_back(each.outcome);
        });
        fixture.run_for(20ms);
    };
    fixture.kv.is_down = true;
    submit();
    fixture.kv.is_down = false;
    CHECK(fixture.kv.items().empty());
    fixture.kv.lost_answers = 1;
    submit();
    CHECK_FALSE(fixture.kv.items().empty());
    submit();
    CHECK(
        outcomes ==
        std::vector{
            acceptance::refused, acceptance::unknown, acceptance::accepted});
}

TEST_CASE("a cancel request is stored for a known job only")
{
    writer_fixture fixture;
    fixture.accept("0123456789abcdef");
    std::vector<cancellation> outcomes;
    for (auto const* id : {"0123456789abcdef", "ffffffffffffffff"})
        store_cancellation(fixture.store, job_id{id}, [&](cancellation each) {
            outcomes.push_back(each);
        });
    fixture.run_for(30ms);
    CHECK(outcomes.size() == 2);
    CHECK(fixture.kv.items().contains("job/0123456789abcdef.cancel"));
    CHECK_FALSE(fixture.kv.items().contains("job/ffffffffffffffff.cancel"));
}

TEST_CASE("a job's progress record outlives the job's own record")
{
    writer_fixture fixture;
    fixture.accept("0123456789abcdef");
    fixture.offered = {record_of("0123456789abcdef", job_phase::completed)};
    fixture.writer->wake();
    fixture.run_for(30ms);
    CHECK(fixture.recorded == std::vector<std::string>{"0123456789abcdef"});
    CHECK_FALSE(fixture.kv.items().contains("job/0123456789abcdef"));
    CHECK(fixture.kv.items().contains("progress/0123456789abcdef"));
}

TEST_CASE("a write without an answer is checked before it is repeated")
{
    writer_fixture fixture;
    fixture.accept("0123456789abcdef");
    fixture.kv.lost_answers = 1;
    fixture.offered = {record_of("0123456789abcdef", job_phase::running)};
    fixture.writer->wake();
    fixture.run_for(40ms);
    REQUIRE(fixture.returned.size() == 1);
    // The record exists at a revision that the writer doesn't know.
    fixture.offered = {record_of("0123456789abcdef", job_phase::running)};
    fixture.run_for(150ms);
    CHECK(fixture.returned.size() == 2);
    fixture.offered = {record_of("0123456789abcdef", job_phase::running)};
    fixture.writer->wake();
    fixture.run_for(150ms);
    CHECK(fixture.recorded.size() == 1);
    CHECK_FALSE(fixture.is_leadership_lost);
}

TEST_CASE("a writer that lost the leadership writes nothing and reports it")
{
    writer_fixture fixture;
    fixture.accept("0123456789abcdef");
    fixture.kv.put(leader_key, "another");
    auto const before =
        fixture.kv.items().at("progress/0123456789abcdef").revision;
    fixture.offered = {record_of("0123456789abcdef", job_phase::completed)};
    fixture.writer->wake();
    fixture.run_for(40ms);
    CHECK(fixture.is_leadership_lost);
    CHECK(
        fixture.kv.items().at("progress/0123456789abcdef").revision == before);
}
