/// Runs admitted tasks on the worker beside the agent.
#ifndef SYCAMORESPAR_SPAR_AGENT_TASK_SERVICE_HPP
#define SYCAMORESPAR_SPAR_AGENT_TASK_SERVICE_HPP

#include "common/event_loop.hpp"
#include "libsycamorespar/agent_admission.hpp"
#include "peers/message.hpp"
#include "workers/worker_client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Owns the connection to the worker and renews the leases of its tasks.
class task_service
{
public:
    /// Sends a message to one entry.
    using reply_hook =
        std::function<void(entry_id const&, peers::message const&)>;
    /// Sends a report to the holders of the job's shard.
    using report_hook = std::function<void(attempt_report const&)>;

    task_service(
        event_loop& loop, worker_id self, endpoint worker,
        agent_admission& admission, reply_hook reply, report_hook report);

    /// Lists the tasks on the worker; new tasks are admitted only after that.
    /// Repeats itself until the worker has answered.
    void recover();
    /// Admits and starts a task for an entry, or reports the refusal.
    void start(entry_id const& from, peers::start_task const& message);
    /// Checkpoints and stops a running task.
    void stop(peers::stop_task const& message);
    /// Drops an ended attempt here and on the worker, after the holder of the
    /// job's shard has recorded the end.
    void forget(peers::forget_task const& message);
    /// Reports the current state of an attempt, as listed by the worker.
    void query(entry_id const& from, peers::query_task const& message);
    /// Sets the reclaim time of a task that this incarnation of the agent has
    /// not started itself.
    void set_reclaim_time(peers::task_reclaim_time const& message);
    /// Extends the leases of tasks after the holder of their shards has
    /// answered a heartbeat.
    /// \param is_held  whether the shard of a job is held by that entry.
    /// \param sent_at  when the heartbeat was sent.
    void extend_leases(
        std::function<bool(job_id const&)> const& is_held,
        monotonic_time sent_at);
    /// Lists the worker's tasks, reports changes and renews leases.
    void poll();

private:
    struct task
    {
        workers::lease_id lease;
        attempt_state state = attempt_state::running;
        std::string checkpoint;
        resources peak;
        std::chrono::milliseconds progress{0};
        std::chrono::seconds reclaim_after{0};
        monotonic_time max_lease_until;
        monotonic_time lease_until;
        duration start_lease{0};
        bool starting = false;
        bool stopping = false;
        bool renewing = false;
    };

    void on_lease(
        entry_id const& from, peers::start_task const& message,
        result<workers::lease_id> const& lease);
    void on_started(
        entry_id const& from, attempt_id const& attempt,
        result<workers::start_answer> const& answer);
    void refuse(
        entry_id const& from, attempt_id const& attempt,
        std::string const& reason);
    void apply_list(
        std::vector<workers::task_status> const& listed,
        monotonic_time sent_at);
    void apply_status(workers::task_status const& status);
    void on_missing(attempt_id const& attempt, monotonic_time sent_at);
    void read_usage();
    void renew_leases();
    attempt_report make_report(
        attempt_id const& attempt, attempt_state state,
        std::string const& reason, std::uint64_t nonce) const;
    void report(attempt_id const& attempt);
    void answer_query(
        entry_id const& from, peers::query_task const& message,
        std::vector<workers::task_status> const& listed);

    event_loop& loop_;
    worker_id self_;
    agent_admission& admission_;
    reply_hook reply_;
    report_hook report_;
    workers::worker_client worker_;
    std::map<attempt_id, task> tasks_;
    bool list_pending_ = false;
    std::uint32_t polls_ = 0;
};

} // namespace sycamorespar

#endif
