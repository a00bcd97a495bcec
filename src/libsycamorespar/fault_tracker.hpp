/// Tells workers that fail everything from jobs that fail everywhere.
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
    /// It did its work.
    finished,
    /// It ended with an error, also for lack of memory.
    failed,
    /// A caller cancelled it; says nothing about job or worker.
    cancelled,
    /// It was moved away; says nothing about job or worker.
    evicted
};

/// The end of a task.
struct task_end
{
    /// Whose task it was.
    job_id job;
    /// Its class.
    class_number of;
    /// Where it ran.
    worker_id where;
    /// How it ended.
    task_end_kind how = task_end_kind::finished;
};

/// The worker is to take no tasks but probes.
struct quarantine_worker
{
    /// Which worker.
    worker_id id;
};

/// The worker may take tasks again.
struct release_worker
{
    /// Which worker.
    worker_id id;
};

/// The job is not to be started again before an operator has looked at it.
struct park_job
{
    /// Which job.
    job_id id;
    /// One line for the operator.
    std::string reason;
};

/// What follows from the ends of tasks.
using fault_action = std::variant<quarantine_worker, release_worker, park_job>;

/// How much evidence is asked for.
struct fault_settings
{
    /// The part of its tasks that a bad worker fails.
    double bad_worker_failures = 0.9;
    /// The logarithm of the odds at which a worker is quarantined.
    double quarantine_log_odds = 7.0;
    /// The largest part of the fleet in quarantine; at least one worker.
    double quarantine_cap = 0.10;
    /// Good workers on which a job must fail to be parked.
    unsigned job_failures = 3;
    /// The wait before the first probe; doubles with each failed one.
    std::chrono::seconds first_probe_after{60};
    /// The longest wait between probes.
    std::chrono::seconds longest_probe_wait{3600};
    /// Probes that must finish, one after another, before a release.
    unsigned probes_to_release = 2;
    /// Jobs with failures that are remembered; the oldest are forgotten.
    std::size_t remembered_jobs = 10'000;
};

/// Keeps the odds of each worker being bad, by how surprising its failures
/// are given how the same class and job fare elsewhere.
class fault_tracker
{
public:
    explicit fault_tracker(fault_settings const& settings = {});

    /// Learns from the end of a task.
    /// \param fleet_size  workers that are known, for the cap.
    std::vector<fault_action> on_task_end(
        task_end const& end, std::size_t fleet_size, monotonic_time now);

    /// Forgets a worker that was replaced or repaired.
    void forget_worker(worker_id const& id);

    /// True while the worker is to take no tasks but probes.
    bool is_quarantined(worker_id const& id) const;

    /// Quarantined workers that are due for a probe; each is due again only
    /// after the probe's end was seen or the same wait has passed.
    std::vector<worker_id> take_due_probes(monotonic_time now);

    /// How many workers are in quarantine.
    std::size_t quarantined() const { return quarantined_; }

    /// The logarithm of the odds that a worker is bad; never below 0.
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
