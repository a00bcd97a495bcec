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

/// Owns the connection to the worker, and prolongs the leases of its tasks.
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

    /// Learns what runs on the worker; tasks are admitted after that.
    void recover();
    /// An entry asks for a task to be started.
    void start(entry_id const& from, peers::start_task const& message);
    /// An entry asks for a task to be checkpointed and stopped.
    void stop(peers::stop_task const& message);
    /// The end of an attempt is recorded.
    void forget(peers::forget_task const& message);
    /// An entry asks for a fresh look at an attempt.
    void query(entry_id const& from, peers::query_task const& message);
    /// The terms of a task that ran before this agent's life.
    void set_reclaim_time(peers::task_reclaim_time const& terms);
    /// The holder of this job's shard answered a heartbeat sent at this time.
    void extend_leases(
        std::function<bool(job_id const&)> const& is_held,
        monotonic_time sent_at);
    /// Looks at the worker, reports, and renews leases.
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
