/// A job as a graph of steps, and the ids of its tasks and runs.
#ifndef SYCAMORESPAR_JOB_GRAPH_HPP
#define SYCAMORESPAR_JOB_GRAPH_HPP

#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/resources.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// A queue that jobs are submitted to; a row of the configuration.
using queue_id = name_id<struct queue_tag>;
/// A pool of workers; it runs the tasks of one or more queues.
using pool_id = name_id<struct pool_tag>;

/// Limits of a job; a job that exceeds one is refused on submission.
struct graph_limits
{
    /// Steps of a job.
    std::size_t max_steps = 64;
    /// Tasks of one step.
    std::uint32_t max_tasks_per_step = 4096;
    /// Bytes of the payload.
    std::size_t max_payload_bytes = 4000;
    /// Occurrences of a job on a schedule.
    std::uint32_t max_occurrences = 1'000'000;
};

/// A number of equal tasks, which start once the steps that they depend on are
/// done.
struct graph_step
{
    /// The number of tasks.
    std::uint32_t count = 1;
    /// The resources that each task needs.
    resources need;
    /// A rough estimate of how long a task takes; zero for none.
    std::chrono::milliseconds estimate{0};
    /// The indices of the earlier steps whose tasks must all have finished.
    std::vector<std::uint32_t> after;
    /// A task can resume from a checkpoint of an earlier run.
    bool saves_progress = false;
    /// The tasks run only together, all under the same run number.
    bool gang = false;
    /// The tasks run slower if spread over more than one rack.
    bool same_rack = false;
    /// The worker must carry this label; empty for none.
    std::string required_label;
    /// The tasks run slower away from this rack; empty for none.
    rack_id data_rack;
    /// Tasks of the step that one worker may run; zero for no limit.
    std::uint32_t max_per_worker = 0;
    /// A copy of a task may run beside it.
    bool speculative = false;
    /// The tasks run until the job is cancelled.
    bool long_running = false;
    /// Backfill tasks: they use processors that others leave idle and reserve
    /// none.
    bool fills = false;
    /// The image that the tasks run; tasks of one image behave alike.
    std::string image;
    /// The tail latency that a task's own users accept; zero for no such users.
    std::chrono::milliseconds target{0};
    /// The number of long-running tasks that the system itself may have down at
    /// the same time.
    std::uint32_t may_miss = 0;

    bool operator==(graph_step const&) const = default;
};

/// When the occurrences of a job are due.
struct graph_schedule
{
    /// The number of occurrences; zero for a job that runs once, without delay.
    std::uint32_t count = 0;
    /// When the first is due, since 1970.
    std::chrono::milliseconds first{0};
    /// The time between two consecutive ones.
    std::chrono::milliseconds interval{0};

    bool operator==(graph_schedule const&) const = default;
};

/// A job as a caller submits it.
struct job_graph
{
    /// The id that the caller chose.
    job_id id;
    /// The queue that it was submitted to.
    queue_id queue;
    /// The input of every task; opaque.
    std::string payload;
    /// The steps; `after` refers to them by index.
    std::vector<graph_step> steps;
    /// When it is due.
    graph_schedule schedule;

    bool operator==(job_graph const&) const = default;
};

/// A one-line description of the first fault of a graph; none if it is valid.
std::optional<std::string>
find_fault(job_graph const& graph, graph_limits const& limits = {});

/// One task of one occurrence of a job.
struct task_id
{
    /// The job.
    job_id job;
    /// The occurrence, from 0.
    std::uint32_t occurrence = 0;
    /// The step, from 0.
    std::uint32_t step = 0;
    /// The task of the step, from 0.
    std::uint32_t index = 0;

    auto operator<=>(task_id const&) const = default;
};

/// One run of a task.
struct run_id
{
    /// The task.
    task_id task;
    /// The number of the run, which rises with each run of the task.
    std::uint32_t number = 0;

    auto operator<=>(run_id const&) const = default;
};

/// The id as "JOB.OCCURRENCE.STEP.INDEX", for logs and for the worker.
std::string to_string(task_id const& task);
/// Parses the format of to_string(); none if the text is malformed.
std::optional<task_id> parse_task(std::string const& text);

/// How a run ended.
enum class run_end : std::uint8_t
{
    /// The task is complete.
    finished,
    /// It failed by its own fault or the worker's.
    failed,
    /// It was stopped on our order.
    stopped,
    /// Its lease ended.
    lapsed,
    /// Another member of its gang ended.
    broken,
    /// The other members of its gang did not start in time.
    alone,
    /// It is known to be gone without a reported end: its worker restarted,
    /// left or no longer lists it, or the lease lapsed.
    lost,
    /// It never started: the worker refused it.
    refused
};

/// A name for logs and records.
char const* to_string(run_end how);

} // namespace sycamorespar

#endif
