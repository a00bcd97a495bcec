/// Measures how memory, message sizes and processor time of each role grow
/// with load, at several sizes, for docs/CAPACITY.md. Runs the same code as the
/// daemons.
#include "libsycamorespar/agent_admission.hpp"
#include "libsycamorespar/agent_directory.hpp"
#include "libsycamorespar/ledger_shard.hpp"
#include "libsycamorespar/request_router.hpp"
#include "operators/table_json.hpp"
#include "peers/codec.hpp"

#include <chrono>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>

namespace sycamorespar {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Heap memory in use, in bytes.
std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

/// Mean time of one call, in microseconds.
double micros_of(int calls, std::function<void()> const& call)
{
    auto const start = std::chrono::steady_clock::now();
    for (int count = 0; count < calls; ++count)
        call();
    std::chrono::duration<double, std::micro> const spent =
        std::chrono::steady_clock::now() - start;
    return spent.count() / calls;
}

agent_report report_of(int number, std::uint64_t epoch)
{
    agent_report made;
    made.worker = worker_id{fmt::format("worker-{:05}", number)};
    made.address =
        fmt::format("tcp://10.0.{}.{}:7001", number / 250, number % 250);
    made.domain = failure_domain_id{fmt::format("domain-{:02}", number % 12)};
    made.rack = rack_id{fmt::format("rack-{:04}", number / 3)};
    made.issued = {incarnation{1234567890123456789U}, permit_epoch{epoch}};
    made.revision = table_revision{16000};
    made.capacity = {64000, 256000, 2};
    made.ready = true;
    for (int row = 0; row < 4; ++row)
        made.running.push_back(
            {row_id{fmt::format("batch-class-{}", row)}, 6, {6000, 24000, 0}});
    made.upstreams.push_back(
        {fmt::format("upstream-{:05}", number),
         {row_id{"sheet-check"}, row_id{"sheet-submission"}},
         8,
         3});
    return made;
}

table_policy policy_of(int rows)
{
    table_policy made;
    made.revision = table_revision{1};
    for (int domain = 0; domain < 12; ++domain)
        made.domains.push_back(
            failure_domain_id{fmt::format("domain-{:02}", domain)});
    for (int row = 0; row < rows; ++row) {
        row_policy each;
        each.id = row_id{fmt::format("batch-class-{}", row)};
        each.kind = row_kind::batch;
        each.repeatable = true;
        made.rows.emplace(each.id, each);
    }
    row_policy service;
    service.id = row_id{"sheet-check"};
    service.queue_limit = 100'000;
    made.rows.emplace(service.id, service);
    return made;
}

void measure_shard(int jobs)
{
    std::size_t const before = heap_bytes();
    ledger_limits limits;
    limits.max_jobs = 100'000;
    limits.placements_per_round = 100'000;
    ledger_shard shard(
        shard_id{1}, incarnation{7}, limits,
        {[](job_record const&, monotonic_time) -> placement_result {
             return job_placement{
                 worker_id{"worker-00001"},
                 failure_domain_id{"domain-01"},
                 {incarnation{1234567890123456789U}, permit_epoch{100000}},
                 {2000, 8000, 0},
                 {}};
         },
         [] {
             return std::int64_t{1765000000000};
         }});
    monotonic_time now{seconds(1000)};
    shard.load({}, now);
    shard.adopt_table(policy_of(4));
    for (int number = 0; number < jobs; ++number) {
        job_request request;
        request.id = job_id{fmt::format("job-{:016x}", number)};
        request.row = row_id{fmt::format("batch-class-{}", number % 4)};
        request.demand = {2000, 8000, 0};
        request.run = seconds(600);
        request.repeatable = true;
        shard.submit(request, now);
    }
    shard_snapshot snapshot;
    double const placing = micros_of(1, [&] {
        for (ledger_action const& each : shard.tick(now)) {
            if (auto const* write = std::get_if<write_shard_action>(&each))
                snapshot = write->snapshot;
        }
    });
    shard.on_write_result(write_result::committed, now);
    std::size_t const starts = shard.tick(now).size();
    std::size_t const held = heap_bytes() - before;
    std::string bytes;
    int const calls = std::max(1, 20'000 / jobs);
    double const encoding =
        micros_of(calls, [&] { bytes = peers::encode_shard(snapshot); });
    double const decoding =
        micros_of(calls, [&] { (void)peers::decode_shard(bytes); });
    double const idle = micros_of(calls, [&] { (void)shard.tick(now); });
    fmt::print(
        "shard jobs={} started={} value_bytes_per_job={:.0f} "
        "heap_bytes_per_job={:.0f} place_us_per_job={:.2f} "
        "encode_us_per_job={:.3f} decode_us_per_job={:.3f} "
        "idle_tick_us={:.1f}\n",
        jobs, starts, double(bytes.size()) / jobs, double(held) / jobs,
        placing / jobs, encoding / jobs, decoding / jobs, idle);
}

void measure_directory(int agents)
{
    std::size_t const before = heap_bytes();
    agent_directory directory;
    monotonic_time const now{seconds(1000)};
    std::uint64_t epoch = 0;
    auto const round = [&] {
        ++epoch;
        for (int number = 0; number < agents; ++number)
            directory.on_heartbeat(report_of(number, epoch), now);
    };
    round();
    std::size_t const held = heap_bytes() - before;
    int const rounds = std::max(1, 20'000 / agents);
    double const building = micros_of(rounds, [&] {
        for (int number = 0; number < agents; ++number)
            (void)report_of(number, 1);
    });
    double const each = micros_of(rounds, round);
    fmt::print(
        "directory agents={} heap_bytes_per_agent={:.0f} "
        "heartbeat_us={:.2f}\n",
        agents, double(held) / agents, (each - building) / agents);
}

void measure_heartbeat()
{
    peers::envelope const sent{
        "worker-00001", incarnation{1234567890123456789U},
        "tcp://10.0.0.1:7001", peers::heartbeat{report_of(1, 100000), 100000}};
    std::string bytes;
    constexpr int calls = 20'000;
    double const encoding =
        micros_of(calls, [&] { bytes = peers::encode(sent); });
    double const decoding =
        micros_of(calls, [&] { (void)peers::decode(bytes); });
    std::string const answer = peers::encode(
        {"entry-01", incarnation{1234567890123456789U}, "tcp://10.0.0.1:7001",
         peers::heartbeat_answer{
             100000,
             table_revision{16000},
             {shard_id{1}, shard_id{200}, shard_id{300}}}});
    fmt::print(
        "heartbeat bytes={} answer_bytes={} encode_us={:.2f} "
        "decode_us={:.2f}\n",
        bytes.size(), answer.size(), encoding, decoding);
}

void measure_table(int rows)
{
    table made;
    made.revision = table_revision{1};
    for (char const* name : {"kind", "team", "weight", "repeatable"})
        made.columns.push_back({name, column_kind::attribute});
    for (int domain = 0; domain < 12; ++domain)
        made.columns.push_back(
            {fmt::format("domain-{:02}", domain), column_kind::failure_domain});
    for (int row = 0; row < rows; ++row) {
        row_id const id{fmt::format("row-{}", row)};
        made.rows.push_back(id);
        made.cells[{id, "kind"}] = {"batch", table_revision{1}};
        made.cells[{id, "team"}] = {
            fmt::format("team-{}", row % 180), table_revision{1}};
        made.cells[{id, "domain-01"}] = {"out", table_revision{1}};
    }
    auto const text = encode_table(made);
    if (!ok(text))
        return;
    int const calls = std::max(1, 2'000 / rows);
    double const reading = micros_of(calls, [&] {
        auto const parsed = decode_table(value(text));
        if (ok(parsed))
            (void)read_policy(value(parsed));
    });
    fmt::print(
        "table rows={} bytes_per_row={:.0f} adopt_us={:.0f}\n", rows,
        double(value(text).size()) / rows, reading);
}

void measure_router(int agents)
{
    std::size_t const before = heap_bytes();
    router_settings settings;
    settings.entry = incarnation{3};
    request_router router(settings);
    monotonic_time now{seconds(1000)};
    router.adopt_table(policy_of(4));
    for (int number = 0; number < agents; ++number)
        router.on_agent(report_of(number, 1), now);
    std::size_t const held = heap_bytes() - before;
    constexpr int requests = 20'000;
    double const each = micros_of(requests, [&] {
        now += std::chrono::microseconds(10);
        request_id const id = router.next_id();
        router.submit(
            {id, row_id{"sheet-check"}, "caller", false, now + seconds(5)},
            now);
        for (router_action const& action : router.tick(now)) {
            if (auto const* sent = std::get_if<send_request_action>(&action))
                router.on_answer(sent->sent_as, false, now);
        }
    });
    fmt::print(
        "router agents={} heap_bytes_per_agent={:.0f} request_us={:.2f} "
        "sent={}\n",
        agents, double(held) / agents, each, router.counts().sent);
}

void measure_admission(int requests)
{
    std::size_t const before = heap_bytes();
    agent_admission agent(incarnation{5}, failure_domain_id{"domain-01"});
    agent.adopt_table(policy_of(4));
    agent.announce_upstream({"u", {row_id{"sheet-check"}}, 8});
    monotonic_time const now{seconds(1000)};
    permit const issued = agent.renew_permit(now);
    std::uint64_t number = 0;
    double const each = micros_of(requests, [&] {
        request_id const id{incarnation{9}, ++number};
        agent.admit_request(
            {id, issued, table_revision{1}, row_id{"sheet-check"}}, now);
        agent.finish_request(id);
    });
    fmt::print(
        "admission remembered={} heap_bytes_per_request={:.0f} "
        "request_us={:.2f}\n",
        requests, double(heap_bytes() - before) / requests, each);
}

} // namespace

} // namespace sycamorespar

int main()
{
    using namespace sycamorespar;
    for (int const jobs : {100, 300, 1000, 3000})
        measure_shard(jobs);
    for (int const agents : {100, 1000, 9800})
        measure_directory(agents);
    measure_heartbeat();
    for (int const rows : {10, 100, 600})
        measure_table(rows);
    for (int const agents : {11, 100, 1000, 9800})
        measure_router(agents);
    for (int const requests : {1000, 10'000, 60'000})
        measure_admission(requests);
    return 0;
}
