/// The workers as the scheduler knows them, and the choice among them.
#ifndef SYCAMORESPAR_WORKER_REGISTRY_HPP
#define SYCAMORESPAR_WORKER_REGISTRY_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/runner_messages.hpp"
#include "libsycamorespar/stall_detector.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// A run that holds room on a worker.
struct placed_run
{
    /// What it holds.
    resources need;
    /// What kind of task it is.
    task_facts facts;
    /// The order that starts it; zero where it was found running.
    std::uint64_t order = 0;
    /// A stop was ordered.
    bool is_stopping = false;
    /// Its runner was told what kind of task it is.
    bool is_described = false;
    /// The last figure of its progress.
    std::uint32_t percent = 0;
    /// The tail latency in milliseconds of a serving task, else the processors
    /// in use in thousandths.
    std::int64_t figure = 0;
    /// When a report first named it; none before.
    std::optional<monotonic_time> reported_at;
    /// Since when its runner has held it back; none where it hasn't.
    std::optional<monotonic_time> slowed_since;
};

/// An end that waits for its record.
struct pending_end
{
    /// The job of the run.
    job_id job;
    /// The version of the job's progress that holds the end.
    std::uint64_t version = 0;
};

/// A worker and its runner.
struct registered_worker
{
    /// The machine.
    worker_id id;
    /// What it says of itself.
    worker_facts facts;
    /// The life of its runner that reported last.
    incarnation runner;
    /// The last report of that life that was taken in.
    std::uint64_t last_sequence = 0;
    /// The token of this runner in this term.
    std::uint64_t token = 0;
    /// The runner has listed all runs under this term.
    bool is_listed = false;
    /// The worker answers its runner.
    bool is_reachable = true;
    /// The store knows of this worker.
    bool is_recorded = false;
    /// Its record is to go: it has left.
    bool is_forgotten = false;
    /// The runs that hold room.
    std::map<run_id, placed_run> runs;
    /// Runs that belong to no job and are being stopped.
    std::set<run_id> unknown_runs;
    /// Orders that no report has confirmed.
    std::vector<runner_order> orders;
    /// The last order that a reply has carried since the last report.
    std::uint64_t sent_through = 0;
    /// The number of the next order.
    std::uint64_t next_order = 1;
    /// Ends that were taken in and aren't acknowledged, by number.
    std::map<std::uint64_t, pending_end> ends;
    /// The last end that was taken in.
    std::uint64_t last_end = 0;
    /// Ends up to this one are recorded.
    std::uint64_t ended_through = 0;
    /// What was acknowledged in the last reply.
    std::uint64_t acknowledged_through = 0;
    /// A reply would tell a new token.
    bool has_new_token = false;
    /// When a report was taken in last.
    monotonic_time last_report_at{};
    /// No run goes on after this unless another report is answered.
    monotonic_time runs_expire_at{};
    /// Failed runs in a row.
    std::uint32_t failures_in_row = 0;
    /// The jobs of these runs.
    std::set<job_id> failing_jobs;
    /// How often it has been rested without a success since.
    std::uint32_t cooldowns = 0;
    /// The progress of its runs.
    stall_detector progress;
    /// Gets no work until then.
    monotonic_time cooldown_until{};

    /// What its runs reserve.
    resources reserved() const;
    /// The processors that filling tasks would like, in thousandths.
    std::int64_t backfill_millicores() const;
    /// Figures were learned from last.
    monotonic_time model_updated_at{};
    /// True where one of its labels is this one.
    bool has_label(std::string const& label) const;
    /// Adds an order under the next number.
    void order_start(
        run_id const& run, std::string payload, std::string checkpoint,
        placed_run const& placed, std::vector<contention_hint> hints);
    /// Orders a stop, once for each run.
    void order_stop(run_id const& run);
    /// Begins anew with a runner's new life, which knows of no orders.
    void begin_session(incarnation started, std::uint64_t new_token);
    /// Forgets the orders that the runner has taken up.
    void confirm_orders(std::uint64_t through);
};

/// What a task asks of a worker.
struct placement_query
{
    /// The pool.
    pool_id pool;
    /// What the task needs.
    resources need;
    /// It uses idle processors only.
    bool fills = false;
    /// What it would use of them, in thousandths.
    std::int64_t backfill_millicores = 0;
    /// What it runs.
    std::string image;
    /// A filler may be placed even where it harms.
    bool allows_contention = false;
    /// It has users of its own.
    bool serves = false;
    /// A label that the worker must carry; empty for none.
    std::string required_label;
    /// The rack that suits it; empty for none.
    rack_id preferred_rack;
    /// The step, for the limit below; its index doesn't matter.
    task_id step;
    /// Tasks of the step that the worker may run; zero for no limit.
    std::uint32_t max_per_worker = 0;
    /// Workers that must not be chosen.
    std::set<worker_id> excluded;
};

/// All workers, by machine.
class worker_registry
{
public:
    /// The worker; created where it isn't known.
    registered_worker& at(worker_id const& id) { return workers_[id]; }
    /// The worker; null where it isn't known.
    registered_worker* find(worker_id const& id);
    /// The worker; null where it isn't known.
    registered_worker const* find(worker_id const& id) const;
    /// All of them.
    std::map<worker_id, registered_worker>& all() { return workers_; }
    /// All of them.
    std::map<worker_id, registered_worker> const& all() const
    {
        return workers_;
    }

    /// The worker that suits a task best; null where none can take it now.
    registered_worker* choose(
        placement_query const& query,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);
    /// The same among all workers but one, only where a filler would do well.
    registered_worker* choose_alternative(
        placement_query query, worker_id const& current,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);
    /// Learns from the figures of a worker.
    void update_contention(registered_worker& worker, monotonic_time now);
    /// What is known of the harm of an image to the tasks of a worker.
    std::vector<contention_hint>
    hints_for(registered_worker const& worker, std::string const& image) const;

private:
    double contention_headroom(
        registered_worker const& worker, placement_query const& query,
        monotonic_time now) const;
    double score(
        registered_worker const& worker, placement_query const& query,
        monotonic_time now) const;

    std::map<worker_id, registered_worker> workers_;
    contention_model contention_;
};

} // namespace sycamorespar

#endif
