/// A running task as input to decisions on throttling and moving it.
#ifndef SYCAMORESPAR_RUNNING_TASK_HPP
#define SYCAMORESPAR_RUNNING_TASK_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/resources.hpp"

#include <chrono>

namespace sycamorespar {

/// Processor work in core-seconds.
using core_seconds = std::chrono::duration<double>;

/// One task, the resources that it holds, and the cost of stopping it.
struct running_task
{
    /// The job and the attempt.
    attempt_id id;
    /// The worker on which it runs.
    worker_id where;
    /// The task's class.
    class_number task_class;
    /// The team whose quota the task counts against.
    team_id team;
    /// The resources reserved for the task.
    resources reserved;
    /// Number of cores in use now.
    double cores_used = 0.0;
    /// The allowed fraction of its normal speed, up to 1.
    double speed = 1.0;
    /// Run time since its last checkpoint, or since its start.
    duration since_checkpoint{0};
    /// The time that a checkpoint takes.
    duration checkpoint_time{0};
    /// The expected remaining run time.
    duration expected_remaining{0};
    /// False if stopping the task loses all of its work.
    bool can_checkpoint = true;
    /// True for services and watchers, which are replaced before they stop.
    bool is_long_lived = false;
};

/// The work that is lost when the task is checkpointed and moved, or stopped
/// without a checkpoint if it can't be checkpointed.
inline core_seconds work_lost_by_moving(running_task const& task)
{
    auto const time =
        task.can_checkpoint ? task.checkpoint_time : task.since_checkpoint;
    return core_seconds(time) * task.cores_used;
}

} // namespace sycamorespar

#endif
