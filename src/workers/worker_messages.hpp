/// The data types of a worker's HTTP interface.
#ifndef SYCAMORESPAR_WORKERS_WORKER_MESSAGES_HPP
#define SYCAMORESPAR_WORKERS_WORKER_MESSAGES_HPP

#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/resources.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace sycamorespar::workers {

/// Identifies an incarnation of a worker; tasks of an earlier one no longer
/// run.
using boot_id = name_id<struct boot_tag>;
/// A lease granted by a worker.
using lease_id = name_id<struct worker_lease_tag>;

/// A worker's description of itself.
struct worker_description
{
    /// The worker's name.
    worker_id worker;
    /// The current incarnation.
    boot_id boot;
    /// The total resources of the worker.
    resources capacity;
};

/// The parameters of a task's start.
struct task_spec
{
    /// Job and attempt; a worker starts each pair at most once.
    attempt_id id;
    /// The lease that the task runs under.
    lease_id lease;
    /// The task's row in the table.
    row_id row;
    /// The resources that are allocated to the task.
    resources demand;
    /// How long the task runs; if empty, until it is stopped.
    std::optional<std::chrono::milliseconds> run_time;
    /// The checkpoint to resume from; empty at the first run.
    std::string checkpoint;
};

/// The state of a task.
enum class task_state
{
    running,
    finished,
    failed,
    /// Stopped on request, with a checkpoint.
    stopped,
    /// Stopped by the worker because the lease lapsed.
    lapsed
};

/// A worker's description of a task.
struct task_status
{
    /// Job and attempt.
    attempt_id id;
    /// The task's row in the table.
    row_id row;
    /// The lease that the task was started under.
    lease_id lease;
    /// The current state.
    task_state state = task_state::running;
    /// The last checkpoint; empty if there is none.
    std::string checkpoint;
    /// Work done so far, as running time at full speed.
    std::chrono::milliseconds progress{0};
    /// The resources that are allocated to the task.
    resources demand;
};

/// The answer to a start.
struct start_answer
{
    /// Whether the worker had already started this job and attempt; if so, this
    /// call has started nothing.
    bool already_seen = false;
    /// The current status of the task.
    task_status task;
};

/// The resources that a task used at a past time.
struct task_usage
{
    /// Job and attempt.
    attempt_id id;
    /// The task's row in the table.
    row_id row;
    /// The resources used.
    resources used;
    /// Time since the measurement.
    std::chrono::milliseconds age{0};
};

} // namespace sycamorespar::workers

#endif
