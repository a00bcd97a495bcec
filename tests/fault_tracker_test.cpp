/// Detection of faulty workers and faulty jobs, the quarantine cap, and probes.
#include "libsycamorespar/fault_tracker.hpp"
#include "libsycamorespar/random_engine.hpp"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <set>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

constexpr class_number batch{1};
constexpr monotonic_time epoch{};

worker_id worker(int number)
{
    return worker_id{"w" + std::to_string(number)};
}

job_id job(int number)
{
    return job_id{"j" + std::to_string(number)};
}

struct verdicts
{
    std::set<worker_id> quarantined;
    std::set<job_id> parked;
};

// Runs 400 jobs on random workers; each is retried, up to 30 times, until it
// succeeds or is parked.
// \param usual_rate  the failure rate of other jobs on good workers.
verdicts
run(int workers, std::set<int> const& bad_workers,
    std::set<int> const& bad_jobs, double usual_rate, std::uint64_t seed)
{
    fault_tracker tracker;
    random_engine engine{seed};
    boost::random::uniform_int_distribution<int> draw(0, workers - 1);
    boost::random::uniform_01<double> chance;
    verdicts found;
    for (int number = 0; number < 400; ++number) {
        for (int tries = 0; tries < 30; ++tries) {
            auto const at = draw(engine);
            if (tracker.is_quarantined(worker(at)))
                continue;
            auto const fails = bad_workers.contains(at) ||
                               bad_jobs.contains(number) ||
                               chance(engine) < usual_rate;
            auto const how =
                fails ? task_end_kind::failed : task_end_kind::finished;
            auto const actions = tracker.on_task_end(
                {job(number), batch, worker(at), how}, std::size_t(workers),
                epoch);
            auto is_parked = false;
            for (auto const& action : actions) {
                if (auto const* bad = std::get_if<quarantine_worker>(&action))
                    found.quarantined.insert(bad->id);
                if (auto const* stopped = std::get_if<park_job>(&action)) {
                    found.parked.insert(stopped->id);
                    is_parked = true;
                }
            }
            if (!fails || is_parked)
                break;
        }
    }
    return found;
}

} // namespace

TEST_CASE("a worker that fails every task is quarantined, and no job parked")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto const found = run(11, {4}, {}, 0.02, seed);
        CHECK(found.quarantined == std::set<worker_id>{worker(4)});
        CHECK(found.parked.empty());
    }
}

TEST_CASE("jobs that fail everywhere are parked, and no worker quarantined")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto const found = run(11, {}, {10, 50, 51, 52, 200}, 0.02, seed);
        CHECK(found.quarantined.empty());
        for (auto const number : {10, 50, 51, 52, 200})
            CHECK(found.parked.contains(job(number)));
        CHECK(found.parked.size() == 5);
    }
}

TEST_CASE("a faulty worker and faulty jobs at once are distinguished")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto const found = run(11, {7}, {10, 50, 51, 52, 200}, 0.02, seed);
        CHECK(found.quarantined == std::set<worker_id>{worker(7)});
        CHECK(found.parked.size() == 5);
    }
}

TEST_CASE("many faulty workers at once don't exceed the quarantine cap")
{
    std::set<int> bad;
    for (int i = 0; i < 60; ++i)
        bad.insert(i);
    auto const found = run(100, bad, {}, 0.02, 1);
    CHECK(found.quarantined.size() <= 10);
}

TEST_CASE("cancelled and evicted tasks don't change the odds of a worker")
{
    fault_tracker tracker;
    for (int i = 0; i < 1'000; ++i) {
        auto const how =
            i % 2 == 0 ? task_end_kind::cancelled : task_end_kind::evicted;
        CHECK(tracker.on_task_end({job(i), batch, worker(1), how}, 11, epoch)
                  .empty());
    }
    CHECK(tracker.log_odds(worker(1)) == 0.0);
}

TEST_CASE("probes are due after growing waits and release a repaired worker")
{
    fault_tracker tracker;
    auto now = epoch;
    for (int i = 0; !tracker.is_quarantined(worker(1)); ++i) {
        REQUIRE(i < 10);
        tracker.on_task_end(
            {job(i), batch, worker(1), task_end_kind::failed}, 11, now);
    }
    auto const end_probe = [&](task_end_kind how) {
        return tracker.on_task_end({job(99), batch, worker(1), how}, 11, now);
    };
    CHECK(tracker.take_due_probes(now + 59s).empty());
    now += 60s;
    CHECK(tracker.take_due_probes(now).size() == 1);
    CHECK(tracker.take_due_probes(now + 1s).empty());
    end_probe(task_end_kind::failed);
    CHECK(tracker.take_due_probes(now + 119s).empty());
    now += 120s;
    CHECK(tracker.take_due_probes(now).size() == 1);
    CHECK(end_probe(task_end_kind::finished).empty());
    CHECK(tracker.take_due_probes(now).size() == 1);
    auto const actions = end_probe(task_end_kind::finished);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<release_worker>(actions[0]).id == worker(1));
    CHECK(tracker.quarantined() == 0);
}
