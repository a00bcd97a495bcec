/// Members with their default value are omitted, since most steps set few.
#include "records/graph_json.hpp"

#include "common/json_number.hpp"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace sycamorespar {

namespace {

using nlohmann::json;

template<class T>
void put(json& into, char const* name, T const& value, T const& usual = {})
{
    if (value != usual)
        into[name] = value;
}

json write_step(graph_step const& step)
{
    json out = json::object();
    put(out, "count", step.count);
    put(out, "millicores", step.need.millicores);
    put(out, "memory_mib", step.need.memory_mib);
    put(out, "accelerators", step.need.accelerators);
    put(out, "estimate_ms", step.estimate.count());
    put(out, "after", step.after);
    put(out, "saves_progress", step.saves_progress);
    put(out, "gang", step.gang);
    put(out, "same_rack", step.same_rack);
    put(out, "required_label", step.required_label);
    put(out, "data_rack", step.data_rack.value);
    put(out, "max_per_worker", step.max_per_worker);
    put(out, "speculative", step.speculative);
    put(out, "long_running", step.long_running);
    put(out, "fills", step.fills);
    put(out, "image", step.image);
    put(out, "target_ms", step.target.count());
    put(out, "may_miss", step.may_miss);
    return out;
}

graph_step read_step(json const& from)
{
    graph_step step;
    step.count = read_number_or(from, "count", 0U);
    step.need = {
        read_amount_or_zero(from, "millicores"),
        read_amount_or_zero(from, "memory_mib"),
        read_amount_or_zero(from, "accelerators")};
    step.estimate = read_time_or_zero(from, "estimate_ms");
    step.after = read_numbers_or_empty<std::uint32_t>(from, "after");
    step.saves_progress = from.value("saves_progress", false);
    step.gang = from.value("gang", false);
    step.same_rack = from.value("same_rack", false);
    step.required_label = from.value("required_label", "");
    step.data_rack.value = from.value("data_rack", "");
    step.max_per_worker = read_number_or(from, "max_per_worker", 0U);
    step.speculative = from.value("speculative", false);
    step.long_running = from.value("long_running", false);
    step.fills = from.value("fills", false);
    step.image = from.value("image", "");
    step.target = read_time_or_zero(from, "target_ms");
    step.may_miss = read_number_or(from, "may_miss", 0U);
    return step;
}

constexpr unsigned bits_per_digit = 4;
constexpr char digits[] = "0123456789abcdef";

/// Hexadecimal digits, the first flag in the lowest bit of the first digit.
std::string write_flags(std::vector<bool> const& flags)
{
    std::string text((flags.size() + bits_per_digit - 1) / bits_per_digit, '0');
    for (std::size_t digit = 0; digit < text.size(); ++digit) {
        unsigned value = 0;
        for (unsigned bit = 0; bit < bits_per_digit; ++bit) {
            auto const at = digit * bits_per_digit + bit;
            if (at < flags.size() && flags[at])
                value |= 1U << bit;
        }
        text[digit] = digits[value];
    }
    return text;
}

std::vector<bool> read_flags(std::string const& text)
{
    std::vector<bool> flags;
    flags.reserve(text.size() * bits_per_digit);
    for (char const each : text) {
        auto const found = std::string_view(digits).find(each);
        if (found == std::string_view::npos)
            throw std::invalid_argument("flags that are not hexadecimal");
        for (unsigned bit = 0; bit < bits_per_digit; ++bit)
            flags.push_back((found >> bit & 1U) != 0);
    }
    return flags;
}

json write_done(std::vector<step_snapshot> const& steps)
{
    json out = json::array();
    for (auto const& step : steps)
        out.push_back(json::array(
            {step.occurrence, step.step, write_flags(step.is_done)}));
    return out;
}

std::vector<step_snapshot> read_done(json const& from)
{
    std::vector<step_snapshot> steps;
    for (auto const& step : from)
        steps.push_back(
            {read_whole<std::uint32_t>(step.at(0), "occurrence"),
             read_whole<std::uint32_t>(step.at(1), "step"),
             read_flags(step.at(2).get<std::string>())});
    return steps;
}

job_phase read_phase(std::string const& name)
{
    for (auto const phase :
         {job_phase::queued, job_phase::running, job_phase::completed,
          job_phase::failed, job_phase::cancelled}) {
        if (name == to_string(phase))
            return phase;
    }
    throw std::invalid_argument("unknown job phase: " + name);
}

/// Runs a decoder that throws on malformed input; returns its result or error.
template<class T, class Reader>
result<T> read_record(char const* step, std::string const& text, Reader read)
{
    try {
        return read(json::parse(text));
    } catch (std::exception const& fault) {
        return error{step, "", fault.what()};
    }
}

} // namespace

std::string write_job(accepted_job const& job)
{
    json steps = json::array();
    for (auto const& step : job.graph.steps)
        steps.push_back(write_step(step));
    json out = {
        {"id", job.graph.id.value},
        {"queue", job.graph.queue.value},
        {"payload", job.graph.payload},
        {"steps", std::move(steps)},
        {"term", job.accepted_in.value}};
    if (job.graph.schedule.count != 0)
        out["schedule"] = {
            {"count", job.graph.schedule.count},
            {"first_ms", job.graph.schedule.first.count()},
            {"interval_ms", job.graph.schedule.interval.count()}};
    // A payload may hold any bytes; JSON can't represent invalid UTF-8, so such
    // bytes become replacement characters.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<accepted_job> read_job(std::string const& text)
{
    return read_record<accepted_job>("record.job", text, [](json const& from) {
        accepted_job job;
        job.graph.id.value = from.at("id").get<std::string>();
        job.graph.queue.value = from.at("queue").get<std::string>();
        job.graph.payload = from.at("payload").get<std::string>();
        for (auto const& step : from.at("steps"))
            job.graph.steps.push_back(read_step(step));
        job.accepted_in.value =
            read_whole<std::uint64_t>(from.at("term"), "term");
        if (auto const found = from.find("schedule"); found != from.end())
            job.graph.schedule = {
                read_whole<std::uint32_t>(found->at("count"), "count"),
                read_time(found->at("first_ms"), "first_ms"),
                read_time(found->at("interval_ms"), "interval_ms")};
        if (auto const fault = find_fault(job.graph))
            throw std::invalid_argument(*fault);
        return job;
    });
}

std::string write_progress(graph_snapshot const& progress)
{
    json tasks = json::array();
    for (auto const& task : progress.tasks)
        tasks.push_back(json::array(
            {task.occurrence, task.step, task.index, task.is_done,
             task.last_run, task.failed_runs, task.checkpoint}));
    json out = {
        {"phase", to_string(progress.phase)},
        {"first_open", progress.first_open},
        {"tasks", std::move(tasks)}};
    put(out, "done", write_done(progress.steps), json::array());
    // As for a job: the checkpoint comes from a worker.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<graph_snapshot> read_progress(std::string const& text)
{
    return read_record<graph_snapshot>(
        "record.progress", text, [](json const& from) {
            graph_snapshot progress;
            progress.phase = read_phase(from.at("phase").get<std::string>());
            progress.first_open =
                read_whole<std::uint32_t>(from.at("first_open"), "first_open");
            for (auto const& task : from.at("tasks"))
                progress.tasks.push_back(
                    {read_whole<std::uint32_t>(task.at(0), "occurrence"),
                     read_whole<std::uint32_t>(task.at(1), "step"),
                     read_whole<std::uint32_t>(task.at(2), "index"),
                     task.at(3).get<bool>(),
                     read_whole<std::uint32_t>(task.at(4), "last_run"),
                     read_numbers<std::uint32_t>(task.at(5), "failed_runs"),
                     task.at(6).get<std::string>()});
            if (auto const steps = from.find("done"); steps != from.end())
                progress.steps = read_done(*steps);
            return progress;
        });
}

} // namespace sycamorespar
