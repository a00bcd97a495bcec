/// The scheduler's state of one worker and its runner.
#ifndef SYCAMORESPAR_REGISTERED_WORKER_HPP
#define SYCAMORESPAR_REGISTERED_WORKER_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/placed_runs.hpp"
#include "libsycamorespar/runner_messages.hpp"
#include "libsycamorespar/stall_detector.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// The load that the serving tasks of one image on a worker can still bear.
struct serving_headroom
{
    /// Image of the serving tasks.
    std::string image;
    /// The least of them, as a part of a server's capacity.
    double left = 0.0;
};

/// The end of a run that is not acknowledged yet.
struct pending_end
{
    /// The run.
    run_id run;
    /// How it ended.
    run_end how = run_end::lost;
    /// Its latest checkpoint; empty for none.
    std::string checkpoint;
    /// When it was reported.
    monotonic_time reported_at{};
    /// Version of the job's progress that includes the end; none while the job
    /// isn't known.
    std::optional<std::uint64_t> version;
};

/// A worker and its runner.
struct registered_worker
{
    /// Identifies the worker.
    worker_id id;
    /// Capacity, labels and location as the worker announces them.
    worker_facts facts;
    /// Incarnation of its runner that reported last.
    incarnation runner;
    /// Sequence number of the last report processed from that incarnation.
    std::uint64_t last_sequence = 0;
    /// Fencing token of this runner in this term.
    std::uint64_t token = 0;
    /// The runner has sent its complete list of runs in this term.
    bool is_listed = false;
    /// The worker responds to its runner.
    bool is_reachable = true;
    /// The worker has listed its runs to this process of its runner, which
    /// extends no lease before.
    bool is_confirmed = false;
    /// The worker's record is in the store.
    bool is_recorded = false;
    /// The worker has left; its record is to be deleted.
    bool is_forgotten = false;
    /// Runs that occupy capacity, including those that are being stopped.
    placed_runs runs;
    /// Runs that belong to no job and are being stopped.
    std::set<run_id> unknown_runs;
    /// Runs whose job isn't known yet, and since when they are reported.
    std::map<run_id, monotonic_time> undecided_runs;
    /// Orders that no report has confirmed yet.
    std::vector<runner_order> orders;
    /// Number of the last order sent in a reply since the last report.
    std::uint64_t sent_through = 0;
    /// Number of the next order.
    std::uint64_t next_order = 1;
    /// Ends that were processed but not acknowledged, by number.
    std::map<std::uint64_t, pending_end> ends;
    /// Number of the last end that was processed.
    std::uint64_t last_end = 0;
    /// Ends up to this number are stored.
    std::uint64_t ended_through = 0;
    /// Ends up to this number were acknowledged in the last reply.
    std::uint64_t acknowledged_through = 0;
    /// The runner has not been sent its token yet.
    bool has_new_token = false;
    /// When the last report was processed.
    monotonic_time last_report_at{};
    /// Latest time at which its runs may still be running; each reply to a
    /// report extends it.
    monotonic_time runs_expire_at{};
    /// Consecutive failed runs.
    std::uint32_t failures_in_row = 0;
    /// Jobs of these failed runs.
    std::set<job_id> failing_jobs;
    /// Cooldowns since the last run that succeeded.
    std::uint32_t cooldowns = 0;
    /// Tracks the progress of its runs.
    stall_detector progress;
    /// The worker gets no new runs before this time.
    monotonic_time cooldown_until{};
    /// When the contention model last learned from this worker.
    monotonic_time model_updated_at{};
    /// What the contention model leaves its serving tasks; empty if a change
    /// has made it outdated.
    std::optional<std::vector<serving_headroom>> headroom;
    /// Its position in the registry's index.
    std::size_t slot = 0;
    /// The registry lists it among the changed workers.
    bool is_changed = false;

    /// True if it may take work, as far as that depends on no time and no task.
    bool is_usable() const;
    /// These millicores as a part of its processors.
    double share_of(std::int64_t millicores) const;
    /// True if the worker has this label.
    bool has_label(std::string const& label) const;
    /// Adds the run and queues its start order under the next number.
    void order_start(
        run_id const& run, std::string payload, std::string checkpoint,
        placed_run const& placed, std::vector<contention_hint> hints);
    /// Queues a stop order.
    /// \return false if the run is already being stopped.
    bool order_stop(run_id const& run);
    /// True if a stop order for the run is not confirmed yet.
    bool has_stop_order(run_id const& run) const;
    /// Resets the session for a new incarnation of the runner, which has
    /// received no orders.
    void begin_session(incarnation started, std::uint64_t new_token);
    /// The runner starts anew with this token, with no orders.
    void assign_token(std::uint64_t new_token);
    /// Removes the orders that the runner has confirmed.
    void confirm_orders(std::uint64_t through);
};

} // namespace sycamorespar

#endif
