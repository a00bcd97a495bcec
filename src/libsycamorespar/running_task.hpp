/// A running task as the decisions on throttling and moving it see it.
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

/// One task with what it holds and what stopping it would cost.
struct running_task
{
    /// Which run of which job.
    attempt_id id;
    /// Where it runs.
    worker_id where;
    /// Its class.
    class_number task_class;
    /// The team whose quota it uses.
    team_id team;
    /// What is reserved for it.
    resources reserved;
    /// The cores that it uses now.
    double cores_used = 0.0;
    /// The part of its normal speed that it is allowed, up to 1.
    double speed = 1.0;
    /// What it ran since its last checkpoint, or since its start.
    duration since_checkpoint{0};
    /// How long a checkpoint takes.
    duration checkpoint_time{0};
    /// How long it is expected to run on.
    duration expected_remaining{0};
    /// False where it can only be stopped with the loss of its work.
    bool can_checkpoint = true;
    /// True for services and watchers, which are replaced before they stop.
    bool is_long_lived = false;
};

/// The work that is lost where the task is checkpointed and moved, or is
/// stopped without a checkpoint where it can't be.
inline core_seconds work_lost_by_moving(running_task const& task)
{
    auto const time =
        task.can_checkpoint ? task.checkpoint_time : task.since_checkpoint;
    return core_seconds(time) * task.cores_used;
}

} // namespace sycamorespar

#endif
