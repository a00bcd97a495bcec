/// Messages are arrays in a fixed order, without field names: both sides are
/// of the same build, and each runner sends several reports per second. They
/// are read and written without a document in between, as a leader handles
/// thousands of reports per second.
#include "runners/runner_codec.hpp"

#include <msgpack.hpp>
#include <stdexcept>
#include <utility>

namespace sycamorespar {

namespace {

using std::chrono::milliseconds;

/// A report and a reply nest four levels; later builds may nest a few more.
constexpr std::size_t max_depth = 12;

/// The most elements of an array and bytes of a text that a message may claim
/// to have; the largest message that is read is a few megabytes.
constexpr std::size_t max_elements = 1U << 20U;
constexpr std::size_t max_text_bytes = 1U << 22U;

using packer = msgpack::packer<msgpack::sbuffer>;

/// The elements of an array.
class array_reader
{
public:
    explicit array_reader(msgpack::object const& from) : from_(from)
    {
        if (from.type != msgpack::type::ARRAY)
            throw std::invalid_argument("not an array");
    }

    std::size_t size() const { return from_.via.array.size; }
    msgpack::object const* begin() const { return from_.via.array.ptr; }
    msgpack::object const* end() const { return begin() + size(); }
    msgpack::object const& at(std::size_t position) const
    {
        if (position >= size())
            throw std::invalid_argument("too few members");
        return begin()[position];
    }
    std::string text(std::size_t position) const
    {
        return at(position).as<std::string>();
    }
    bool flag(std::size_t position) const { return at(position).as<bool>(); }
    template<class T>
    T number(std::size_t position) const
    {
        return at(position).as<T>();
    }
    milliseconds time(std::size_t position) const
    {
        auto const count = number<std::int64_t>(position);
        if (count < 0 || count > max_time.count())
            throw std::invalid_argument("time out of range");
        return milliseconds(count);
    }
    template<class Enum>
    Enum choice(std::size_t position, Enum last) const
    {
        auto const read = number<unsigned>(position);
        if (read > static_cast<unsigned>(last))
            throw std::invalid_argument("enum out of range");
        return static_cast<Enum>(read);
    }

private:
    /// So that sums of times stay in range.
    static constexpr milliseconds max_time{4'000'000'000'000};

    msgpack::object const& from_;
};

void write_run(packer& to, run_id const& run)
{
    to.pack_array(2);
    to.pack(to_string(run.task));
    to.pack(run.number);
}

run_id read_run(msgpack::object const& object)
{
    array_reader const from(object);
    auto const task = parse_task(from.text(0));
    if (!task)
        throw std::invalid_argument("malformed task id");
    return {*task, from.number<std::uint32_t>(1)};
}

void write_incarnation(packer& to, worker_incarnation const& incarnation)
{
    to.pack_array(2);
    to.pack(incarnation.instance);
    to.pack(incarnation.born.count());
}

worker_incarnation read_incarnation(msgpack::object const& object)
{
    array_reader const from(object);
    return {from.text(0), from.time(1)};
}

void write_facts(packer& to, worker_facts const& facts)
{
    to.pack_array(10);
    write_incarnation(to, facts.incarnation);
    to.pack(facts.pool.value);
    to.pack(facts.domain.value);
    to.pack(facts.capacity.millicores);
    to.pack(facts.capacity.memory_mib);
    to.pack(facts.capacity.accelerators);
    to.pack(facts.labels);
    to.pack(facts.is_draining);
    to.pack(facts.drain_remaining.count());
    to.pack(facts.has_left);
}

worker_facts read_facts(msgpack::object const& object)
{
    array_reader const from(object);
    worker_facts facts;
    facts.incarnation = read_incarnation(from.at(0));
    facts.pool.value = from.text(1);
    facts.domain.value = from.text(2);
    facts.capacity = {
        from.number<std::int64_t>(3), from.number<std::int64_t>(4),
        from.number<std::int64_t>(5)};
    facts.labels = from.at(6).as<std::vector<std::string>>();
    facts.is_draining = from.flag(7);
    facts.drain_remaining = from.time(8);
    facts.has_left = from.flag(9);
    return facts;
}

void write_task_facts(packer& to, task_facts const& facts)
{
    to.pack_array(4);
    to.pack(facts.fills);
    to.pack(facts.backfill_millicores);
    to.pack(facts.target.count());
    to.pack(facts.image);
}

task_facts read_task_facts(msgpack::object const& object)
{
    array_reader const from(object);
    return {
        from.flag(0), from.number<std::int64_t>(1), from.time(2), from.text(3)};
}

void write_hints(packer& to, std::vector<contention_hint> const& hints)
{
    to.pack_array(static_cast<std::uint32_t>(hints.size()));
    for (auto const& each : hints) {
        to.pack_array(4);
        to.pack(each.serving_image);
        to.pack(each.backfill_image);
        to.pack(each.estimate.mean);
        to.pack(each.estimate.variance);
    }
}

std::vector<contention_hint> read_hints(msgpack::object const& object)
{
    std::vector<contention_hint> hints;
    for (auto const& each : array_reader(object)) {
        array_reader const from(each);
        hints.push_back(
            {from.text(0),
             from.text(1),
             {from.number<double>(2), from.number<double>(3)}});
    }
    return hints;
}

constexpr int start_kind = 0;
constexpr int stop_kind = 1;
constexpr int describe_kind = 2;

void write_order(packer& to, start_order const& start)
{
    to.pack_array(7);
    to.pack(start_kind);
    to.pack(start.number);
    write_run(to, start.run);
    to.pack(start.payload);
    to.pack(start.checkpoint);
    write_task_facts(to, start.facts);
    write_hints(to, start.hints);
}

void write_order(packer& to, stop_order const& stop)
{
    to.pack_array(3);
    to.pack(stop_kind);
    to.pack(stop.number);
    write_run(to, stop.run);
}

void write_order(packer& to, describe_order const& described)
{
    to.pack_array(4);
    to.pack(describe_kind);
    to.pack(described.number);
    write_run(to, described.run);
    write_task_facts(to, described.facts);
}

runner_order read_order(msgpack::object const& object)
{
    array_reader const from(object);
    auto const number = from.number<std::uint64_t>(1);
    auto const run = read_run(from.at(2));
    switch (from.number<int>(0)) {
    case start_kind:
        return start_order{
            number,
            run,
            from.text(3),
            from.text(4),
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

void write_run_report(packer& to, run_report const& each)
{
    to.pack_array(8);
    write_run(to, each.run);
    to.pack(each.has_started);
    to.pack(each.is_known);
    to.pack(each.checkpoint);
    to.pack(each.percent);
    to.pack(each.measurement);
    to.pack(each.pace);
    to.pack(each.is_stopping);
}

run_report read_run_report(msgpack::object const& object)
{
    array_reader const from(object);
    // Runners of an earlier build don't say whether a run is being stopped.
    constexpr std::size_t stopping = 7;
    return {
        read_run(from.at(0)),
        from.flag(1),
        from.flag(2),
        from.text(3),
        from.number<std::uint32_t>(4),
        from.number<std::int64_t>(5),
        from.number<std::uint32_t>(6),
        from.size() > stopping && from.flag(stopping)};
}

void write_end(packer& to, end_report const& end)
{
    to.pack_array(4);
    to.pack(end.number);
    write_run(to, end.run);
    to.pack(static_cast<unsigned>(end.how));
    to.pack(end.checkpoint);
}

end_report read_end(msgpack::object const& object)
{
    array_reader const from(object);
    return {
        from.number<std::uint64_t>(0), read_run(from.at(1)),
        from.choice(2, run_end::refused), from.text(3)};
}

void write_refusal(packer& to, refusal_report const& refusal)
{
    to.pack_array(2);
    write_run(to, refusal.run);
    to.pack(static_cast<unsigned>(refusal.why));
}

refusal_report read_refusal(msgpack::object const& object)
{
    array_reader const from(object);
    return {read_run(from.at(0)), from.choice(1, refusal_reason::no_answer)};
}

template<class T, class Writer>
void write_all(packer& to, std::vector<T> const& all, Writer write)
{
    to.pack_array(static_cast<std::uint32_t>(all.size()));
    for (auto const& each : all)
        write(to, each);
}

template<class T, class Reader>
std::vector<T> read_all(msgpack::object const& object, Reader read)
{
    array_reader const from(object);
    std::vector<T> all;
    all.reserve(from.size());
    for (auto const& each : from)
        all.push_back(read(each));
    return all;
}

runner_report read_report_members(array_reader const& from)
{
    runner_report report;
    report.worker.value = from.text(0);
    report.runner.value = from.number<std::uint64_t>(1);
    report.sequence = from.number<std::uint64_t>(2);
    report.facts = read_facts(from.at(3));
    report.term.value = from.number<std::uint64_t>(4);
    report.token = from.number<std::uint64_t>(5);
    report.is_listed = from.flag(6);
    report.is_reachable = from.flag(7);
    report.last_order = from.number<std::uint64_t>(8);
    report.runs = read_all<run_report>(from.at(9), &read_run_report);
    report.ends = read_all<end_report>(from.at(10), &read_end);
    report.refusals = read_all<refusal_report>(from.at(11), &read_refusal);
    return report;
}

runner_reply read_reply_members(array_reader const& from)
{
    runner_reply reply;
    reply.term.value = from.number<std::uint64_t>(0);
    reply.token = from.number<std::uint64_t>(1);
    reply.extends = from.flag(2);
    reply.incarnation = read_incarnation(from.at(3));
    reply.ended_through = from.number<std::uint64_t>(4);
    reply.orders = read_all<runner_order>(from.at(5), &read_order);
    // Schedulers of an earlier build don't say whether they are isolated.
    constexpr std::size_t isolated = 6;
    reply.is_isolated = from.size() > isolated && from.flag(isolated);
    return reply;
}

/// Runs a decoder that throws on malformed input; returns its result or error.
template<class T, class Reader>
result<T> unpack(char const* step, std::string const& bytes, Reader read)
{
    try {
        std::size_t end = 0;
        auto const unpacked = msgpack::unpack(
            bytes.data(), bytes.size(), end, nullptr, nullptr,
            msgpack::unpack_limit(
                max_elements, max_elements, max_text_bytes, max_text_bytes,
                max_text_bytes, max_depth));
        if (end != bytes.size())
            return error{step, "", "bytes after the message"};
        return read(array_reader(unpacked.get()));
    } catch (std::exception const& fault) {
        return error{step, "", fault.what()};
    }
}

std::string text_of(msgpack::sbuffer const& bytes)
{
    return {bytes.data(), bytes.size()};
}

} // namespace

std::string write_report(runner_report const& report)
{
    msgpack::sbuffer bytes;
    packer to(bytes);
    to.pack_array(12);
    to.pack(report.worker.value);
    to.pack(report.runner.value);
    to.pack(report.sequence);
    write_facts(to, report.facts);
    to.pack(report.term.value);
    to.pack(report.token);
    to.pack(report.is_listed);
    to.pack(report.is_reachable);
    to.pack(report.last_order);
    write_all(to, report.runs, &write_run_report);
    write_all(to, report.ends, &write_end);
    write_all(to, report.refusals, &write_refusal);
    return text_of(bytes);
}

result<runner_report> read_report(std::string const& bytes)
{
    return unpack<runner_report>("runner.report", bytes, &read_report_members);
}

std::string write_reply(runner_reply const& reply)
{
    msgpack::sbuffer bytes;
    packer to(bytes);
    to.pack_array(7);
    to.pack(reply.term.value);
    to.pack(reply.token);
    to.pack(reply.extends);
    write_incarnation(to, reply.incarnation);
    to.pack(reply.ended_through);
    write_all(to, reply.orders, [](packer& into, runner_order const& order) {
        std::visit([&](auto const& each) { write_order(into, each); }, order);
    });
    to.pack(reply.is_isolated);
    return text_of(bytes);
}

result<runner_reply> read_reply(std::string const& bytes)
{
    return unpack<runner_reply>("runner.reply", bytes, &read_reply_members);
}

} // namespace sycamorespar
