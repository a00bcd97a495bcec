/// Distinguishes faulty workers from jobs that fail on every worker.
#ifndef SYCAMORESPAR_FAULT_TRACKER_HPP
#define SYCAMORESPAR_FAULT_TRACKER_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/ids.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sycamorespar {

/// How a task ended.
enum class task_end_kind
{
    /// It completed successfully.
    finished,
    /// It ended with an error, including running out of memory.
    failed,
    /// A caller cancelled it; no evidence about the job or the worker.
    cancelled,
    /// It was evicted; no evidence about the job or the worker.
    evicted
};

/// The end of a task.
struct task_end
{
    /// Job of the task.
    job_id job;
    /// Class of the task.
    class_number of;
    /// Worker that it ran on.
    worker_id where;
    /// How it ended.
    task_end_kind how = task_end_kind::finished;
};

/// Quarantine a worker: place no tasks on it except probes.
struct quarantine_worker
{
    /// The worker.
    worker_id id;
};

/// End the quarantine of a worker.
struct release_worker
{
    /// The worker.
    worker_id id;
};

/// Park a job: don't start it again until an operator has decided about it.
struct park_job
{
    /// The job.
    job_id id;
    /// Reason, one line for the operator.
    std::string reason;
};

/// An action that follows from the end of a task.
using fault_action = std::variant<quarantine_worker, release_worker, park_job>;

/// Thresholds for quarantining workers and parking jobs.
struct fault_settings
{
    /// Assumed failure rate of tasks on a faulty worker.
    double bad_worker_failures = 0.9;
    /// Natural logarithm of the odds at which a worker is quarantined.
    double quarantine_log_odds = 7.0;
    /// Highest part of the fleet in quarantine; at least one worker is allowed.
    double quarantine_cap = 0.10;
    /// Number of good workers on which a job must fail to be parked.
    unsigned job_failures = 3;
    /// Wait before the first probe; doubles with each failed probe.
    std::chrono::seconds first_probe_after{60};
    /// Longest wait between probes.
    std::chrono::seconds longest_probe_wait{3600};
    /// Consecutive successful probes before a release.
    unsigned probes_to_release = 2;
    /// Jobs with failures that are tracked; the oldest are dropped.
    std::size_t remembered_jobs = 10'000;
};

/// Tracks the odds that each worker is faulty. A failure raises the odds more,
/// the less often the same class and job fail on other workers.
class fault_tracker
{
public:
    explicit fault_tracker(fault_settings const& settings = {});

    /// Processes the end of a task and returns the actions to take.
    /// \param fleet_size  number of known workers, for the quarantine cap.
    std::vector<fault_action> on_task_end(
        task_end const& end, std::size_t fleet_size, monotonic_time now);

    /// Removes the record of a worker that was replaced or repaired.
    void forget_worker(worker_id const& id);

    /// True while the worker may only run probes.
    bool is_quarantined(worker_id const& id) const;

    /// Returns the quarantined workers that are due for a probe. Each is due
    /// again after the end of the probe, or after the same wait if no end is
    /// processed.
    std::vector<worker_id> take_due_probes(monotonic_time now);

    /// Number of workers in quarantine.
    std::size_t quarantined() const { return quarantined_; }

    /// Natural logarithm of the odds that a worker is faulty; never below 0.
    double log_odds(worker_id const& id) const;

private:
    struct worker_record
    {
        double log_odds = 0.0;
        bool is_quarantined = false;
        unsigned probes_finished = 0;
        duration probe_wait{0};
        monotonic_time next_probe;
    };

    struct class_record
    {
        double failures = 0.0;
        double ends = 0.0;
    };

    struct job_record
    {
        std::vector<worker_id> failed_on;
    };

    class_record& class_of(class_number task_class);
    job_record& job_of(job_id const& id);
    bool is_suspect(worker_id const& id) const;
    double expected_failure_rate(task_end const& end) const;
    void update_class(task_end const& end);
    bool record_job_failure(task_end const& end);
    std::size_t good_workers_failed_on(job_id const& id) const;
    std::optional<fault_action>
    evaluate_worker(worker_id const& id, std::size_t fleet, monotonic_time now);
    std::optional<fault_action>
    on_probe_end(worker_id const& id, bool has_failed, monotonic_time now);

    fault_settings settings_;
    std::size_t quarantined_ = 0;
    std::unordered_map<worker_id, worker_record> workers_;
    std::vector<class_record> classes_;
    std::unordered_map<job_id, job_record> jobs_;
    std::deque<job_id> job_order_;
};

} // namespace sycamorespar

#endif
