/// The state of the stand-in worker, without HTTP: leases, tasks, capacity and
/// usage reports.
#ifndef SYCAMORESPAR_TESTS_STANDINS_WORKER_CORE_HPP
#define SYCAMORESPAR_TESTS_STANDINS_WORKER_CORE_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/resources.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar::standins {

/// Describes a worker.
struct worker_settings
{
    /// Its name.
    std::string name;
    /// Its failure domain.
    std::string failure_domain;
    /// Its rack.
    std::string rack;
    /// Resources that it offers to tasks.
    resources capacity;
    /// Usage reports describe the tasks that ran this long ago.
    std::chrono::milliseconds usage_lag{2000};
};

/// Parameters of a task's start.
struct worker_task_spec
{
    /// Job and attempt.
    attempt_id id;
    /// The lease under which it runs; when it expires the task is stopped.
    std::string lease;
    /// Its row of the table.
    std::string row;
    /// Resources allocated to it.
    resources demand;
    /// Run time at full speed; -1 ms means until it is stopped.
    std::chrono::milliseconds run_time{0};
    /// Progress in milliseconds from which to resume; empty for the first run.
    std::string checkpoint;
};

/// State of a task.
enum class worker_task_state
{
    running,
    finished,
    failed,
    stopped,
    lapsed
};

/// The state's text in JSON.
char const* to_text(worker_task_state state);

/// A task that the worker was given.
struct worker_task
{
    /// Parameters of its start.
    worker_task_spec spec;
    /// Its state.
    worker_task_state state = worker_task_state::running;
    /// Work done, as run time at full speed.
    std::chrono::microseconds progress{0};
    /// The checkpoint that was taken last or resumed from.
    std::string checkpoint;
    /// Speed in percent of full speed.
    int percent = 100;
};

/// Result of a start.
enum class worker_start
{
    started,
    already_seen,
    lease_lapsed,
    no_room,
    invalid
};

/// A delayed report of a task's resource usage.
struct worker_usage
{
    /// Job and attempt.
    attempt_id id;
    /// Its row.
    std::string row;
    /// Resources used.
    resources used;
    /// Age of the sample.
    std::chrono::milliseconds age{0};
};

/// A worker's state machine. The caller passes the time, and each call first
/// advances the worker to it.
class worker_core
{
public:
    /// Receives starts, checkpoints and ends; `how` qualifies the event, for
    /// example by the kind of end.
    using observer = std::function<void(
        char const* event, worker_task const& task, char const* how)>;

    worker_core(worker_settings settings, observer on_event);

    /// Advances leases, progress and usage samples to this time.
    void advance(monotonic_time now);
    /// Grants a lease and returns its id.
    std::string grant_lease(std::chrono::milliseconds ttl, monotonic_time now);
    /// Renews a lease; false if it has expired or is unknown.
    bool renew_lease(
        std::string const& lease, std::chrono::milliseconds ttl,
        monotonic_time now);
    /// Starts a task unless it is invalid, was started before, has no live
    /// lease or does not fit into the free capacity.
    worker_start start_task(worker_task_spec const& spec, monotonic_time now);
    /// Takes a checkpoint; empty if the task is not running.
    std::optional<std::string>
    checkpoint(attempt_id const& id, monotonic_time now);
    /// Sets the speed in percent; false if the task is not running.
    bool throttle(attempt_id const& id, int percent, monotonic_time now);
    /// Checkpoints a task and stops it. Returns the last checkpoint if it had
    /// already ended, and nothing if it is unknown.
    std::optional<std::string> stop(attempt_id const& id, monotonic_time now);
    /// Removes a task that has ended; false if it is running or unknown.
    bool forget(attempt_id const& id, monotonic_time now);
    /// Usage of the tasks that ran `usage_lag` ago.
    std::vector<worker_usage> usage(monotonic_time now);

    /// All tasks, including those that have ended.
    std::map<attempt_id, worker_task> const& tasks() const { return tasks_; }
    /// A task; null if it is unknown.
    worker_task const* find(attempt_id const& id) const;
    /// Resources allocated to the running tasks.
    resources const& in_use() const { return in_use_; }
    /// Number of starts refused for lack of capacity.
    std::uint64_t refused_for_room() const { return refused_for_room_; }
    /// The worker's description.
    worker_settings const& settings() const { return settings_; }

private:
    struct usage_sample
    {
        monotonic_time at;
        std::vector<worker_usage> tasks;
    };

    worker_task* find_running(attempt_id const& id);
    void run_until(monotonic_time until);
    void run_task(worker_task& task, duration span);
    void end(worker_task& task, worker_task_state state);
    void take_sample(monotonic_time now);

    worker_settings settings_;
    observer on_event_;
    std::map<std::string, monotonic_time> leases_;
    std::uint64_t next_lease_ = 1;
    std::map<attempt_id, worker_task> tasks_;
    std::deque<usage_sample> samples_;
    resources in_use_;
    std::uint64_t refused_for_room_ = 0;
    std::optional<monotonic_time> now_;
};

} // namespace sycamorespar::standins

#endif
