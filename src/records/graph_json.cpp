/// Members with their default value are omitted, since most steps set few.
#include "records/graph_json.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorespar {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

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
    step.count = from.value("count", 0U);
    step.need = {
        from.value("millicores", std::int64_t{0}),
        from.value("memory_mib", std::int64_t{0}),
        from.value("accelerators", std::int64_t{0})};
    step.estimate = milliseconds(from.value("estimate_ms", std::int64_t{0}));
    step.after = from.value("after", std::vector<std::uint32_t>{});
    step.saves_progress = from.value("saves_progress", false);
    step.gang = from.value("gang", false);
    step.same_rack = from.value("same_rack", false);
    step.required_label = from.value("required_label", "");
    step.data_rack.value = from.value("data_rack", "");
    step.max_per_worker = from.value("max_per_worker", 0U);
    step.speculative = from.value("speculative", false);
    step.long_running = from.value("long_running", false);
    step.fills = from.value("fills", false);
    step.image = from.value("image", "");
    step.target = milliseconds(from.value("target_ms", std::int64_t{0}));
    step.may_miss = from.value("may_miss", 0U);
    return step;
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
        job.accepted_in.value = from.at("term").get<std::uint64_t>();
        if (auto const found = from.find("schedule"); found != from.end())
            job.graph.schedule = {
                found->at("count").get<std::uint32_t>(),
                milliseconds(found->at("first_ms").get<std::int64_t>()),
                milliseconds(found->at("interval_ms").get<std::int64_t>())};
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
    json const out = {
        {"phase", to_string(progress.phase)},
        {"first_open", progress.first_open},
        {"tasks", std::move(tasks)}};
    // As for a job: the checkpoint comes from a worker.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<graph_snapshot> read_progress(std::string const& text)
{
    return read_record<graph_snapshot>(
        "record.progress", text, [](json const& from) {
            graph_snapshot progress;
            progress.phase = read_phase(from.at("phase").get<std::string>());
            progress.first_open = from.at("first_open").get<std::uint32_t>();
            for (auto const& task : from.at("tasks"))
                progress.tasks.push_back(
                    {task.at(0).get<std::uint32_t>(),
                     task.at(1).get<std::uint32_t>(),
                     task.at(2).get<std::uint32_t>(), task.at(3).get<bool>(),
                     task.at(4).get<std::uint32_t>(),
                     task.at(5).get<std::vector<std::uint32_t>>(),
                     task.at(6).get<std::string>()});
            return progress;
        });
}

} // namespace sycamorespar
