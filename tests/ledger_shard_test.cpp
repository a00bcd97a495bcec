/// The ledger shard: actions are emitted only after the write that records
/// them, and an attempt counts as ended only with proof.
#include "libsycamorespar/ledger_shard.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

template<class T>
std::vector<T> actions_of(std::vector<ledger_action> const& actions)
{
    std::vector<T> found;
    for (ledger_action const& each : actions) {
        if (auto const* match = std::get_if<T>(&each))
            found.push_back(*match);
    }
    return found;
}

/// A shard with one worker, which has free capacity unless `has_capacity` is
/// cleared.
struct shard_fixture
{
    monotonic_time now{100s};
    bool has_capacity = true;
    ledger_shard shard;
    std::vector<ledger_action> last;

    shard_fixture()
        : shard(
              shard_id{1}, incarnation{7}, {},
              {[this](job_record const&, monotonic_time) -> placement_result {
                   if (!has_capacity)
                       return placement_deferred{};
                   return job_placement{
                       worker_id{"w1"},
                       failure_domain_id{"north"},
                       {incarnation{3}, permit_epoch{1}},
                       {1000, 512, 0},
                       {}};
               },
               nullptr})
    {
        shard.load({}, now);
        shard.adopt_table(policy(1));
    }

    static table_policy policy(std::uint64_t revision)
    {
        table_policy made;
        made.revision = table_revision{revision};
        for (char const* name : {"reduction", "settlement"}) {
            row_policy row;
            row.id = row_id{name};
            row.kind = row_kind::batch;
            row.repeatable = row.id.value == "reduction";
            row.reclaim_after = 60s;
            made.rows.emplace(row.id, row);
        }
        return made;
    }

    void submit(char const* job, char const* row = "reduction")
    {
        job_request request;
        request.id = job_id{job};
        request.row = row_id{row};
        request.demand = {1000, 512, 0};
        request.repeatable = row == std::string("reduction");
        REQUIRE_FALSE(shard.submit(request, now));
    }

    void tick(duration pass = 0ms)
    {
        now += pass;
        last = shard.tick(now);
    }

    void commit()
    {
        shard.on_write_result(write_result::committed, now);
        tick();
    }

    /// Submits, places and starts a job.
    void start(char const* job, char const* row = "reduction")
    {
        submit(job, row);
        tick();
        commit();
        REQUIRE(actions_of<start_task_action>(last).size() == 1);
    }

    void report(
        char const* job, attempt_state state, std::uint64_t attempt = 1,
        std::uint64_t nonce = 0, std::string checkpoint = "")
    {
        attempt_report what;
        what.attempt = {job_id{job}, attempt_number{attempt}};
        what.worker = worker_id{"w1"};
        what.state = state;
        what.checkpoint = std::move(checkpoint);
        what.nonce = nonce;
        shard.on_report(what, now);
        tick();
    }

    job_state state(char const* job) const
    {
        return shard.find(job_id{job})->state;
    }
};

} // namespace

TEST_CASE("a start is sent only after its placement is recorded")
{
    shard_fixture fixture;
    fixture.submit("a");
    fixture.tick();
    REQUIRE(actions_of<write_shard_action>(fixture.last).size() == 1);
    CHECK(
        actions_of<write_shard_action>(fixture.last)[0].table ==
        table_revision{1});
    CHECK(actions_of<start_task_action>(fixture.last).empty());
    CHECK(actions_of<recorded_action>(fixture.last).empty());
    fixture.commit();
    CHECK(actions_of<start_task_action>(fixture.last).size() == 1);
    CHECK(actions_of<recorded_action>(fixture.last).size() == 1);
}

TEST_CASE("many changes share one write")
{
    shard_fixture fixture;
    fixture.has_capacity = false;
    fixture.submit("a");
    fixture.tick();
    fixture.submit("b");
    fixture.submit("c");
    fixture.tick();
    CHECK(actions_of<write_shard_action>(fixture.last).empty());
    fixture.commit();
    auto const writes = actions_of<write_shard_action>(fixture.last);
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].snapshot.jobs.size() == 3);
}

TEST_CASE("a write of unknown outcome is resolved by reading the shard")
{
    shard_fixture fixture;
    fixture.submit("a");
    fixture.tick();
    auto const sent = actions_of<write_shard_action>(fixture.last)[0].snapshot;
    fixture.shard.on_write_result(write_result::unknown, fixture.now);
    fixture.tick();
    REQUIRE(actions_of<read_shard_action>(fixture.last).size() == 1);

    SECTION("it had taken effect")
    {
        fixture.shard.on_read(sent, fixture.now);
        fixture.tick();
        CHECK(actions_of<start_task_action>(fixture.last).size() == 1);
    }
    SECTION("it had not, and the same snapshot is sent again")
    {
        fixture.shard.on_read({}, fixture.now);
        fixture.tick();
        auto const again = actions_of<write_shard_action>(fixture.last);
        REQUIRE(again.size() == 1);
        CHECK(again[0].snapshot.write_sequence == sent.write_sequence);
        CHECK(actions_of<start_task_action>(fixture.last).empty());
    }
    SECTION("the second copy failed its compare because the first took effect")
    {
        fixture.shard.on_read({}, fixture.now);
        fixture.tick();
        fixture.shard.on_write_result(write_result::conflict, fixture.now);
        fixture.tick();
        REQUIRE(actions_of<read_shard_action>(fixture.last).size() == 1);
        fixture.shard.on_read(sent, fixture.now);
        fixture.tick();
        CHECK(actions_of<shard_lost_action>(fixture.last).empty());
        CHECK(actions_of<start_task_action>(fixture.last).size() == 1);
    }
}

TEST_CASE("a holder releases the shard after another holder has written it")
{
    shard_fixture fixture;
    fixture.submit("a");
    fixture.tick();
    fixture.shard.on_write_result(write_result::conflict, fixture.now);
    fixture.tick();
    shard_snapshot other;
    other.writer = incarnation{8};
    other.write_sequence = 1;
    fixture.shard.on_read(other, fixture.now);
    fixture.tick();
    CHECK(actions_of<shard_lost_action>(fixture.last).size() == 1);
    fixture.tick(1s);
    CHECK(fixture.last.empty());
}

TEST_CASE("a placement decided by an old table is withdrawn and never sent")
{
    shard_fixture fixture;
    fixture.submit("a");
    fixture.tick();
    auto closed = shard_fixture::policy(2);
    closed.domains_out.insert(failure_domain_id{"north"});
    fixture.shard.on_write_result(write_result::table_changed, fixture.now);
    fixture.has_capacity = false;
    fixture.shard.adopt_table(closed);
    fixture.tick();
    fixture.commit();
    CHECK(actions_of<start_task_action>(fixture.last).empty());
    CHECK(fixture.state("a") == job_state::queued);
    CHECK(fixture.shard.find(job_id{"a"})->attempt == attempt_number{0});
}

TEST_CASE("a write that is sent again compares the table of its placements")
{
    shard_fixture fixture;
    fixture.submit("a");
    fixture.tick();
    auto const first = actions_of<write_shard_action>(fixture.last);
    REQUIRE(first.size() == 1);
    REQUIRE(first.front().table == table_revision{1});

    fixture.shard.on_write_result(write_result::unknown, fixture.now);
    fixture.shard.adopt_table(shard_fixture::policy(2));
    fixture.shard.on_read({}, fixture.now);
    fixture.tick();
    auto const again = actions_of<write_shard_action>(fixture.last);
    REQUIRE(again.size() == 1);
    CHECK(again.front().table == table_revision{1});
}

TEST_CASE("an evicted job resumes once from its checkpoint")
{
    shard_fixture fixture;
    fixture.start("a");
    fixture.report("a", attempt_state::running);
    fixture.commit();
    fixture.shard.evict(job_id{"a"}, "makes room");
    fixture.tick();
    fixture.commit();
    REQUIRE(actions_of<stop_task_action>(fixture.last).size() == 1);
    fixture.report("a", attempt_state::stopped, 1, 0, "at-40");
    fixture.commit();
    auto const starts = actions_of<start_task_action>(fixture.last);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].attempt.number == attempt_number{2});
    CHECK(starts[0].checkpoint == "at-40");
    // A late copy of the report: the attempt that it names has ended.
    fixture.report("a", attempt_state::stopped, 1, 0, "at-40");
    fixture.commit();
    CHECK(actions_of<start_task_action>(fixture.last).empty());
}

TEST_CASE(
    "an attempt is taken as never run only in answer to a late enough query")
{
    shard_fixture fixture;
    fixture.start("a");
    fixture.report("a", attempt_state::never_ran, 1, 0);
    CHECK(fixture.state("a") == job_state::placed);
    fixture.tick(3500ms);
    auto const queries = actions_of<query_task_action>(fixture.last);
    REQUIRE(queries.size() == 1);
    fixture.report("a", attempt_state::never_ran, 1, queries[0].nonce + 1);
    CHECK(fixture.state("a") == job_state::placed);
    fixture.report("a", attempt_state::never_ran, 1, queries[0].nonce);
    CHECK(fixture.shard.find(job_id{"a"})->attempt == attempt_number{2});
}

TEST_CASE("a silent attempt is reclaimed only after its lease has expired")
{
    shard_fixture fixture;
    fixture.start("a");
    fixture.tick(50s);
    fixture.shard.on_acknowledged(worker_id{"w1"}, fixture.now);
    fixture.has_capacity = false;
    fixture.tick(62s);
    CHECK(fixture.state("a") == job_state::placed);
    fixture.tick(4s);
    CHECK(fixture.state("a") == job_state::queued);
}

TEST_CASE("a job that is not repeatable is parked if its outcome is unknown")
{
    shard_fixture fixture;
    fixture.start("s", "settlement");
    fixture.report("s", attempt_state::running);
    fixture.report("s", attempt_state::lapsed);
    CHECK(fixture.state("s") == job_state::parked);
    fixture.commit();
    fixture.tick(1000s);
    CHECK(fixture.state("s") == job_state::parked);
}

TEST_CASE("a refused start is placed again even if the job is not repeatable")
{
    shard_fixture fixture;
    fixture.start("s", "settlement");
    fixture.report("s", attempt_state::refused);
    CHECK(fixture.state("s") == job_state::placed);
    CHECK(fixture.shard.find(job_id{"s"})->attempt == attempt_number{2});
}

TEST_CASE("a cancelled job is stopped and not run again")
{
    shard_fixture fixture;
    fixture.start("a");
    REQUIRE(fixture.shard.cancel(job_id{"a"}, fixture.now));
    fixture.tick();
    fixture.commit();
    REQUIRE(actions_of<stop_task_action>(fixture.last).size() == 1);
    fixture.report("a", attempt_state::stopped, 1, 0, "at-10");
    CHECK(fixture.state("a") == job_state::cancelled);
}
