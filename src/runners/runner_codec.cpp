/// Messages are arrays in a fixed order, without field names: both sides are
/// of the same build, and each runner sends several reports per second.
#include "runners/runner_codec.hpp"

#include "common/json_number.hpp"
#include "common/json_text.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorespar {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// A report and a reply nest four levels; later builds may nest a few more.
constexpr std::size_t max_depth = 12;

json write_run(run_id const& run)
{
    return json::array({to_string(run.task), run.number});
}

run_id read_run(json const& from)
{
    auto const task = parse_task(from.at(0).get<std::string>());
    if (!task)
        throw std::invalid_argument("malformed task id");
    return {*task, read_whole<std::uint32_t>(from.at(1), "member 1")};
}

json write_incarnation(worker_incarnation const& incarnation)
{
    return json::array({incarnation.instance, incarnation.born.count()});
}

worker_incarnation read_incarnation(json const& from)
{
    return {
        from.at(0).get<std::string>(), read_whole_time(from.at(1), "member 1")};
}

json write_facts(worker_facts const& facts)
{
    return json::array(
        {write_incarnation(facts.incarnation), facts.pool.value,
         facts.domain.value, facts.capacity.millicores,
         facts.capacity.memory_mib, facts.capacity.accelerators, facts.labels,
         facts.is_draining, facts.drain_remaining.count(), facts.has_left});
}

worker_facts read_facts(json const& from)
{
    worker_facts facts;
    facts.incarnation = read_incarnation(from.at(0));
    facts.pool.value = from.at(1).get<std::string>();
    facts.domain.value = from.at(2).get<std::string>();
    facts.capacity = {
        read_whole<std::int64_t>(from.at(3), "member 3"),
        read_whole<std::int64_t>(from.at(4), "member 4"),
        read_whole<std::int64_t>(from.at(5), "member 5")};
    facts.labels = from.at(6).get<std::vector<std::string>>();
    facts.is_draining = from.at(7).get<bool>();
    facts.drain_remaining = read_whole_time(from.at(8), "member 8");
    facts.has_left = from.at(9).get<bool>();
    return facts;
}

json write_task_facts(task_facts const& facts)
{
    return json::array(
        {facts.fills, facts.backfill_millicores, facts.target.count(),
         facts.image});
}

task_facts read_task_facts(json const& from)
{
    return {
        from.at(0).get<bool>(),
        read_whole<std::int64_t>(from.at(1), "member 1"),
        read_whole_time(from.at(2), "member 2"), from.at(3).get<std::string>()};
}

json write_hints(std::vector<contention_hint> const& hints)
{
    json out = json::array();
    for (auto const& each : hints)
        out.push_back(json::array(
            {each.serving_image, each.backfill_image, each.estimate.mean,
             each.estimate.variance}));
    return out;
}

std::vector<contention_hint> read_hints(json const& from)
{
    std::vector<contention_hint> hints;
    for (auto const& each : from)
        hints.push_back(
            {each.at(0).get<std::string>(),
             each.at(1).get<std::string>(),
             {each.at(2).get<double>(), each.at(3).get<double>()}});
    return hints;
}

template<class Enum>
Enum read_enum(json const& from, Enum last)
{
    return static_cast<Enum>(
        read_whole<unsigned>(from, "enum", {0, static_cast<unsigned>(last)}));
}

constexpr int start_kind = 0;
constexpr int stop_kind = 1;
constexpr int describe_kind = 2;

json write_order(runner_order const& order)
{
    if (auto const* start = std::get_if<start_order>(&order))
        return json::array(
            {start_kind, start->number, write_run(start->run), start->payload,
             start->checkpoint, write_task_facts(start->facts),
             write_hints(start->hints)});
    if (auto const* stop = std::get_if<stop_order>(&order))
        return json::array({stop_kind, stop->number, write_run(stop->run)});
    auto const& described = std::get<describe_order>(order);
    return json::array(
        {describe_kind, described.number, write_run(described.run),
         write_task_facts(described.facts)});
}

runner_order read_order(json const& from)
{
    auto const number = read_whole<std::uint64_t>(from.at(1), "member 1");
    auto const run = read_run(from.at(2));
    switch (read_whole<int>(from.at(0), "kind")) {
    case start_kind:
        return start_order{
            number,
            run,
            from.at(3).get<std::string>(),
            from.at(4).get<std::string>(),
            read_task_facts(from.at(5)),
            read_hints(from.at(6))};
    case stop_kind:
        return stop_order{number, run};
    case describe_kind:
        return describe_order{number, run, read_task_facts(from.at(3))};
    default:
        throw std::invalid_argument("unknown kind of order");
    }
}

/// Runners of an earlier build don't say whether a run is being stopped.
bool read_is_stopping(json const& run)
{
    constexpr std::size_t position = 7;
    return run.size() > position && run.at(position).get<bool>();
}

std::string pack(json const& message)
{
    auto const bytes = json::to_msgpack(message);
    return {bytes.begin(), bytes.end()};
}

/// Runs a decoder that throws on malformed input; returns its result or error.
template<class T, class Reader>
result<T> unpack(char const* step, std::string const& bytes, Reader read)
{
    auto const parsed = parse_msgpack(bytes, max_depth);
    if (!ok(parsed))
        return error{step, "", failure(parsed).reason};
    try {
        return read(value(parsed));
    } catch (std::exception const& fault) {
        return error{step, "", fault.what()};
    }
}

} // namespace

std::string write_report(runner_report const& report)
{
    json runs = json::array();
    for (auto const& each : report.runs)
        runs.push_back(json::array(
            {write_run(each.run), each.has_started, each.is_known,
             each.checkpoint, each.percent, each.measurement, each.pace,
             each.is_stopping}));
    json ends = json::array();
    for (auto const& each : report.ends)
        ends.push_back(json::array(
            {each.number, write_run(each.run), static_cast<unsigned>(each.how),
             each.checkpoint}));
    json refusals = json::array();
    for (auto const& each : report.refusals)
        refusals.push_back(json::array(
            {write_run(each.run), static_cast<unsigned>(each.why)}));
    return pack(json::array(
        {report.worker.value, report.runner.value, report.sequence,
         write_facts(report.facts), report.term.value, report.token,
         report.is_listed, report.is_reachable, report.last_order,
         std::move(runs), std::move(ends), std::move(refusals)}));
}

result<runner_report> read_report(std::string const& bytes)
{
    return unpack<runner_report>("runner.report", bytes, [](json const& from) {
        runner_report report;
        report.worker.value = from.at(0).get<std::string>();
        report.runner.value = read_whole<std::uint64_t>(from.at(1), "member 1");
        report.sequence = read_whole<std::uint64_t>(from.at(2), "member 2");
        report.facts = read_facts(from.at(3));
        report.term.value = read_whole<std::uint64_t>(from.at(4), "member 4");
        report.token = read_whole<std::uint64_t>(from.at(5), "member 5");
        report.is_listed = from.at(6).get<bool>();
        report.is_reachable = from.at(7).get<bool>();
        report.last_order = read_whole<std::uint64_t>(from.at(8), "member 8");
        for (auto const& each : from.at(9))
            report.runs.push_back(
                {read_run(each.at(0)), each.at(1).get<bool>(),
                 each.at(2).get<bool>(), each.at(3).get<std::string>(),
                 read_whole<std::uint32_t>(each.at(4), "member 4"),
                 read_whole<std::int64_t>(each.at(5), "member 5"),
                 read_whole<std::uint32_t>(each.at(6), "member 6"),
                 read_is_stopping(each)});
        for (auto const& each : from.at(10))
            report.ends.push_back(
                {read_whole<std::uint64_t>(each.at(0), "member 0"),
                 read_run(each.at(1)), read_enum(each.at(2), run_end::refused),
                 each.at(3).get<std::string>()});
        for (auto const& each : from.at(11))
            report.refusals.push_back(
                {read_run(each.at(0)),
                 read_enum(each.at(1), refusal_reason::no_answer)});
        return report;
    });
}

std::string write_reply(runner_reply const& reply)
{
    json orders = json::array();
    for (auto const& each : reply.orders)
        orders.push_back(write_order(each));
    return pack(json::array(
        {reply.term.value, reply.token, reply.extends,
         write_incarnation(reply.incarnation), reply.ended_through,
         std::move(orders)}));
}

result<runner_reply> read_reply(std::string const& bytes)
{
    return unpack<runner_reply>("runner.reply", bytes, [](json const& from) {
        runner_reply reply;
        reply.term.value = read_whole<std::uint64_t>(from.at(0), "member 0");
        reply.token = read_whole<std::uint64_t>(from.at(1), "member 1");
        reply.extends = from.at(2).get<bool>();
        reply.incarnation = read_incarnation(from.at(3));
        reply.ended_through = read_whole<std::uint64_t>(from.at(4), "member 4");
        for (auto const& each : from.at(5))
            reply.orders.push_back(read_order(each));
        return reply;
    });
}

} // namespace sycamorespar
