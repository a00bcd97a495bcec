/// The tasks that wait for a worker.
#ifndef SYCAMORESPAR_WAITING_QUEUE_HPP
#define SYCAMORESPAR_WAITING_QUEUE_HPP

#include "libsycamorespar/backfill_wait.hpp"
#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/job_graph.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace sycamorespar {

/// The place of a step among those that wait.
struct waiting_position
{
    /// Priority of its queue, lowest first.
    std::int32_t priority = 0;
    /// False for a step of long-running tasks, which goes first.
    bool is_short_lived = true;
    /// Orders steps of equal priority, lowest first.
    duration virtual_finish{0};
    /// The step; the index of the task is zero.
    task_id step;

    auto operator<=>(waiting_position const&) const = default;
};

/// The waiting tasks of one step; each needs the same.
struct waiting_step
{
    /// The indices of the tasks.
    std::set<std::uint32_t> tasks;
    /// Every worker has been tried since the last change of the configuration,
    /// and none could take a task.
    bool is_full = false;
    /// Why its tasks wait, if they are backfill tasks, when every worker was
    /// tried last.
    backfill_wait wait;
};

/// The waiting tasks by step, in the order in which they are placed.
class waiting_queue
{
public:
    using container = std::map<waiting_position, waiting_step>;

    /// Adds a task of a step; one that is already there is ignored.
    void insert(waiting_position const& position, std::uint32_t index);
    /// Removes all tasks of a job.
    /// \param position  names the job, its priority and its virtual finish.
    void erase_job(waiting_position position);
    /// Removes all tasks.
    void clear();
    /// Every worker must be tried for every step again.
    void forget_full_steps();
    /// The number of backfill tasks by the reason for which they wait.
    std::map<wait_reason, std::size_t> backfill_by_reason() const;
    /// The first step.
    container::iterator begin() { return steps_.begin(); }
    /// The end of the steps.
    container::iterator end() { return steps_.end(); }
    /// Removes a task of a step, which may have none left then.
    void erase_task(container::iterator from, std::uint32_t index);
    /// Removes a step that has no tasks left, and returns the next one.
    container::iterator erase_step(container::iterator at);
    /// The number of tasks.
    std::size_t size() const { return size_; }
    /// The number of tasks by priority.
    std::map<std::int32_t, std::size_t> size_by_priority() const;

private:
    container steps_;
    std::size_t size_ = 0;
};

} // namespace sycamorespar

#endif
