/// Simulates workers and services in virtual time. The actual task sizes and
/// the slowdowns between classes are hidden from the policies under test.
#ifndef SYCAMORESPAR_BENCH_FAKE_FLEET_HPP
#define SYCAMORESPAR_BENCH_FAKE_FLEET_HPP

#include "libsycamorespar/fleet_view.hpp"
#include "libsycamorespar/random_engine.hpp"
#include "libsycamorespar/usage_estimator.hpp"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar::bench {

/// The size of a deployment.
struct fleet_shape
{
    std::string name;
    /// Number of failure domains.
    int domains = 0;
    /// Number of workers in all failure domains together.
    int workers = 0;
    int workers_in_rack = 0;
    /// Capacity of each worker.
    resources worker_size;
};

/// A class with its actual resource use, as parts of a whole worker.
struct actual_class
{
    std::string name;
    bool is_service = false;
    double cores_part = 0.0;
    double memory_part = 0.0;
    double run_seconds = 0.0;
    /// Time to write a checkpoint.
    int checkpoint_seconds = 0;
    /// Declared size divided by actual size.
    double declared_factor = 1.0;
};

/// Actual sizes and slowdowns; only the simulation and the oracle read them.
struct ground_truth
{
    std::vector<actual_class> classes;
    /// Added slowdown, indexed by the affected class and then by the class that
    /// causes it, for a co-located task that uses a whole worker.
    std::vector<std::vector<double>> effects;
    /// Index of the batch class that slows services most.
    std::size_t noisiest = 0;
};

/// A job with a single task.
struct fake_job
{
    std::size_t number = 0;
    /// Index into the classes of the ground truth.
    std::size_t class_index = 0;
    task_declaration declared;
    /// Actual use.
    resources actual;
    /// Run time at full speed.
    double work_seconds = 0.0;
    /// Part of the run time that is done.
    double done_seconds = 0.0;
    /// Part of the run time that the last checkpoint covers.
    double saved_seconds = 0.0;
    unsigned attempts = 0;
    int queued_at = 0;
    /// True if it fails on every worker.
    bool is_bad = false;
    bool is_cancelled = false;
};

/// A task on a worker. Times are in seconds of virtual time.
struct fake_task
{
    fake_job job;
    resources reserved;
    /// Throttle; 1 is full speed.
    double speed = 1.0;
    int starts_at = 0;
    /// When the checkpoint before an eviction is complete; 0 while it runs.
    int stops_at = 0;
    /// When it fails; 0 if it does not.
    int fails_at = 0;
    /// When its last periodic checkpoint was taken.
    int saved_at = 0;
};

/// Event: a task ended.
struct task_ended
{
    std::size_t worker = 0;
    fake_job job;
    resources reserved;
    enum class kind
    {
        finished,
        failed,
        out_of_memory,
        evicted,
        lost,
        cancelled
    } how = kind::finished;
};

/// Event: a report of a service's mean slowdown from `from` to `to` arrived.
struct service_reported
{
    std::size_t worker = 0;
    std::size_t service = 0;
    double slowdown = 1.0;
    int from = 0;
    int to = 0;
};

using fleet_event = std::variant<task_ended, service_reported>;

/// A latency histogram with logarithmic bins that are 1 % wide.
class latency_counts
{
public:
    void add(double value);
    double quantile(double probability) const;

private:
    static constexpr int bins_ = 1024;
    std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(bins_);
    std::uint64_t total_ = 0;
};

/// Statistics of a run. Core-seconds are of actual use, not reserved.
struct fleet_statistics
{
    latency_counts latency;
    /// Latency of the same requests without batch tasks.
    latency_counts latency_alone;
    double useful_core_seconds = 0.0;
    double lost_core_seconds = 0.0;
    /// Useful work from the start of a drain of a failure domain until 180 s
    /// after its return to service.
    double drain_core_seconds = 0.0;
    std::uint64_t finished = 0;
    std::uint64_t evictions = 0;
    std::uint64_t out_of_memory = 0;
    std::uint64_t failures = 0;
    std::uint64_t killed_by_drain = 0;
};

/// The simulated workers, their services and their batch tasks.
class fake_fleet
{
public:
    fake_fleet(
        nlohmann::json const& settings, fleet_shape const& shape,
        ground_truth const& truth, std::uint64_t seed);

    fleet_shape const& shape() const { return shape_; }
    ground_truth const& truth() const { return truth_; }
    worker_description describe(std::size_t worker) const;
    std::size_t domain_of(std::size_t worker) const;
    std::size_t service_of(std::size_t worker) const;
    /// The reservation of the service on each worker.
    resources service_reservation() const;
    std::vector<fake_task>& tasks(std::size_t worker)
    {
        return workers_[worker].tasks;
    }
    /// The agent's admission check: the worker is up and the sum of the
    /// reservations fits it.
    bool admits(std::size_t worker, resources const& reserved) const;
    void start(
        std::size_t worker, fake_job job, resources const& reserved, int delay);
    /// Makes a task write a checkpoint and then stop.
    void evict(std::size_t worker, std::size_t job);
    /// The actual current slowdown of the service on a worker.
    double true_slowdown(std::size_t worker) const;
    /// The current load of the services; 1 is the nominal load.
    double load() const { return load_; }
    void set_load(double load) { load_ = load; }
    /// Makes every task on this worker fail soon after its start.
    void set_bad_worker(std::size_t worker) { bad_worker_ = worker; }
    void set_domain_up(std::size_t domain, bool up);
    bool is_up(std::size_t worker) const;
    void cancel(std::size_t worker, std::size_t job);
    void set_counting(bool counting, bool draining);

    /// Advances the time by one second and returns the events of that second.
    std::vector<fleet_event> advance();
    int now() const { return now_; }
    fleet_statistics const& statistics() const { return statistics_; }

private:
    struct fake_worker
    {
        std::vector<fake_task> tasks;
        double slowdown_sum = 0.0;
        bool is_up = true;
    };

    struct delayed_report
    {
        int due = 0;
        service_reported report;
    };

    /// Used processors by class, as parts of the whole worker.
    std::vector<double> shares(std::size_t worker) const;
    /// Slowdown of everything on a worker, at least 1.
    double contention(std::vector<double> const& shares) const;
    /// Added slowdown of a class by the tasks beside it.
    double
    effect_on(std::size_t victim, std::vector<double> const& shares) const;
    void run_tasks(std::size_t worker_index, std::vector<fleet_event>& events);
    void
    check_memory(std::size_t worker_index, std::vector<fleet_event>& events);
    void serve(std::size_t worker_index);
    void
    end(std::size_t worker_index, std::size_t position, task_ended::kind how,
        std::vector<fleet_event>& events);
    /// Resets a task to its last checkpoint. Returns the lost core-seconds.
    double discard_unsaved_work(fake_task& task);

    nlohmann::json const& settings_;
    fleet_shape shape_;
    ground_truth truth_;
    random_engine engine_;
    std::vector<fake_worker> workers_;
    std::vector<double> request_noise_;
    std::deque<delayed_report> delayed_reports_;
    fleet_statistics statistics_;
    std::optional<std::size_t> bad_worker_;
    double load_ = 1.0;
    int now_ = 0;
    int report_every_ = 5;
    int report_lag_ = 6;
    double report_noise_ = 0.0;
    int requests_per_second_ = 8;
    int restart_seconds_ = 5;
    int periodic_checkpoint_ = 300;
    double service_share_ = 0.0;
    double usual_failures_ = 0.0;
    bool is_counting_ = false;
    bool is_draining_ = false;
    std::vector<task_ended> lost_tasks_;
};

} // namespace sycamorespar::bench

#endif
