/// Jobs are validated here once, so that later code never sees a step that
/// depends on itself or a negative need.
#include "libsycamorespar/job_graph.hpp"

#include <charconv>
#include <system_error>

namespace sycamorespar {

namespace {

std::optional<std::string> find_step_fault(
    graph_step const& step, std::uint32_t place, graph_limits const& limits)
{
    if (step.count == 0 || step.count > limits.max_tasks_per_step)
        return "count is out of bounds";
    if (!is_valid_demand(step.need))
        return "a need is below zero";
    for (std::uint32_t const before : step.after) {
        if (before >= place)
            return "after names a step that is not before it";
    }
    return std::nullopt;
}

/// Parses a number that ends at a dot or at the end of the text, and moves
/// `from` past the dot.
std::optional<std::uint32_t> read_part(char const*& from, char const* end)
{
    std::uint32_t number = 0;
    auto const read = std::from_chars(from, end, number);
    if (read.ec != std::errc{} || read.ptr == from)
        return std::nullopt;
    if (read.ptr != end && *read.ptr != '.')
        return std::nullopt;
    from = read.ptr == end ? end : read.ptr + 1;
    return number;
}

} // namespace

std::optional<std::string>
find_fault(job_graph const& graph, graph_limits const& limits)
{
    if (graph.id.value.empty())
        return "the job has no id";
    if (graph.payload.size() > limits.max_payload_bytes)
        return "the payload is too large";
    if (graph.steps.empty() || graph.steps.size() > limits.max_steps)
        return "the number of steps is out of bounds";
    if (graph.schedule.count > limits.max_occurrences)
        return "too many occurrences";
    if (graph.schedule.interval < std::chrono::milliseconds::zero())
        return "the interval is below zero";
    std::uint32_t place = 0;
    for (auto const& step : graph.steps) {
        if (auto fault = find_step_fault(step, place, limits))
            return "step " + std::to_string(place) + ": " + *fault;
        ++place;
    }
    return std::nullopt;
}

std::string to_string(task_id const& task)
{
    return task.job.value + "." + std::to_string(task.occurrence) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
}

std::optional<task_id> parse_task(std::string const& text)
{
    auto const dot = text.find('.');
    if (dot == std::string::npos || dot == 0)
        return std::nullopt;
    char const* next = text.data() + dot + 1;
    char const* const end = text.data() + text.size();
    auto const occurrence = read_part(next, end);
    auto const step = read_part(next, end);
    auto const index = read_part(next, end);
    if (!occurrence || !step || !index || next != end)
        return std::nullopt;
    return task_id{job_id{text.substr(0, dot)}, *occurrence, *step, *index};
}

char const* to_string(run_end how)
{
    switch (how) {
    case run_end::finished:
        return "finished";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    case run_end::lost:
        return "lost";
    case run_end::refused:
        return "refused";
    }
    return "lost";
}

} // namespace sycamorespar
