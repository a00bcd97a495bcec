/// Records and messages are read back as written, and malformed ones are
/// refused as a whole.
#include "records/graph_json.hpp"
#include "records/record_keys.hpp"
#include "runners/runner_codec.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

accepted_job full_job()
{
    accepted_job job;
    job.accepted_in = scheduler_term{12};
    job.graph.id = job_id{"0123456789abcdef"};
    job.graph.queue = queue_id{"pricing"};
    job.graph.payload = "text with \"quotes\"";
    job.graph.steps.resize(2);
    auto& step = job.graph.steps[1];
    step.count = 20;
    step.need = {2000, 1024, 1};
    step.estimate = 7000ms;
    step.after = {0};
    step.saves_progress = true;
    step.gang = true;
    step.same_rack = true;
    step.required_label = "large";
    step.data_rack = rack_id{"r1-3"};
    step.max_per_worker = 2;
    step.speculative = true;
    step.long_running = true;
    step.fills = true;
    step.image = "abc";
    step.target = 18ms;
    step.may_miss = 1;
    job.graph.schedule = {4, 1'700'000'000'000ms, 500ms};
    return job;
}

runner_report full_report()
{
    runner_report report;
    report.worker = worker_id{"side-1"};
    report.runner = incarnation{~0ULL};
    report.sequence = 9;
    report.facts.incarnation = {"i-1", 1'700'000'000'123ms};
    report.facts.pool = pool_id{"ledger"};
    report.facts.domain = failure_domain_id{"north"};
    report.facts.capacity = {16'000, 64'000, 2};
    report.facts.labels = {"a", "r1"};
    report.facts.is_draining = true;
    report.facts.drain_remaining = 1500ms;
    report.facts.has_left = true;
    report.term = scheduler_term{12};
    report.token = 12ULL << 16U;
    report.is_listed = true;
    report.is_reachable = false;
    report.last_order = 4;
    run_id const run{{job_id{"0123456789abcdef"}, 1, 2, 3}, 4};
    report.runs = {{run, true, true, "saved", 40, 12, 55, true}};
    report.ends = {{7, run, run_end::broken, "saved"}};
    report.refusals = {{run, refusal_reason::no_answer}};
    return report;
}

runner_reply full_reply()
{
    run_id const run{{job_id{"0123456789abcdef"}, 1, 2, 3}, 4};
    task_facts const facts{true, 1500, 18ms, "abc"};
    start_order const start{1,       run,   "payload",
                            "saved", facts, {{"web", "abc", {0.5, 0.25}}}};
    return {
        scheduler_term{12},
        99,
        true,
        {"i-1", 5ms},
        3,
        {start, stop_order{2, run}, describe_order{3, run, facts}}};
}

} // namespace

TEST_CASE("a job is read back as written")
{
    auto const read = read_job(write_job(full_job()));
    REQUIRE(ok(read));
    CHECK(value(read) == full_job());
}

TEST_CASE("progress is read back as written")
{
    graph_snapshot progress;
    progress.phase = job_phase::running;
    progress.first_open = 2;
    progress.tasks = {
        {2, 1, 3, true, 4, {1}, ""}, {2, 1, 4, false, 9, {}, "s"}};
    progress.steps = {
        {2, 0, {true, false, true, true}},
        {3, 1, {false, true, false, false, true, true, true, false}}};
    auto const read = read_progress(write_progress(progress));
    REQUIRE(ok(read));
    CHECK(value(read) == progress);
}

TEST_CASE("malformed records are refused")
{
    for (auto const* text :
         {"", "{}", "[]", "null",
          R"({"phase":"lost","first_open":0,"tasks":[]})",
          R"({"phase":"queued","first_open":0,"tasks":[[1]]})",
          R"({"phase":"queued","first_open":0,"tasks":[],"done":[[0,0,"0g"]]})",
          R"({"phase":"queued","first_open":0,"tasks":[],"done":[[0,-1,"0"]]})",
          R"({"phase":"queued","first_open":0,"tasks":[],"done":[[0,0,7]]})",
          R"({"phase":"queued","first_open":"0","tasks":[]})"})
        CHECK_FALSE(ok(read_progress(text)));
    CHECK_FALSE(ok(read_job(R"({"id":"a","queue":"q","payload":"","term":1,
        "steps":[{"count":1,"after":[0]}]})")));
    CHECK_FALSE(ok(read_job("\xff\xfe")));
}

TEST_CASE("a report is read back as written")
{
    auto const read = read_report(write_report(full_report()));
    REQUIRE(ok(read));
    CHECK(value(read) == full_report());
}

TEST_CASE("a report of a runner that doesn't tell of stops is read")
{
    auto report = nlohmann::json::from_msgpack(write_report(full_report()));
    constexpr std::size_t runs = 9;
    constexpr std::size_t is_stopping = 7;
    for (auto& run : report.at(runs))
        run.erase(is_stopping);
    auto const bytes = nlohmann::json::to_msgpack(report);
    auto const read = read_report({bytes.begin(), bytes.end()});
    REQUIRE(ok(read));
    CHECK_FALSE(value(read).runs.at(0).is_stopping);
}

TEST_CASE("a reply is read back as written")
{
    auto const read = read_reply(write_reply(full_reply()));
    REQUIRE(ok(read));
    CHECK(value(read) == full_reply());
}

TEST_CASE("a truncated message is refused")
{
    auto const report = write_report(full_report());
    for (std::size_t size = 0; size < report.size(); ++size)
        CHECK_FALSE(ok(read_report(report.substr(0, size))));
    auto const reply = write_reply(full_reply());
    for (std::size_t size = 0; size < reply.size(); ++size)
        CHECK_FALSE(ok(read_reply(reply.substr(0, size))));
}

TEST_CASE("job keys and cancellation keys are told apart")
{
    job_id const job{"0123456789abcdef"};
    auto const plain = read_job_key(job_key(job));
    REQUIRE(plain);
    CHECK(plain->job == job);
    CHECK_FALSE(plain->is_cancel);
    auto const cancel = read_job_key(cancel_key(job));
    REQUIRE(cancel);
    CHECK(cancel->job == job);
    CHECK(cancel->is_cancel);
    CHECK_FALSE(read_job_key("job/"));
    CHECK_FALSE(read_job_key("job/.cancel"));
    CHECK_FALSE(read_job_key("progress/x"));
}
