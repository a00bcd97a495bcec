/// A typed client of a worker's HTTP interface.
#ifndef SYCAMORESPAR_WORKERS_WORKER_CLIENT_HPP
#define SYCAMORESPAR_WORKERS_WORKER_CLIENT_HPP

#include "common/http_client.hpp"
#include "workers/worker_messages.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace sycamorespar::workers {

/// Calls one worker. Each callback is called once. The effect of an error is
/// `not_run` if the worker refused the call or was not reached, `ran` if the
/// call succeeded but its answer is invalid, and `unknown` otherwise.
class worker_client
{
public:
    /// Called with the value or an error.
    template<class T>
    using callback = std::function<void(result<T>)>;

    worker_client(
        event_loop& loop, endpoint where,
        http_client_limits const& limits = {});

    /// Gets the worker's name, boot and capacity.
    void describe(callback<worker_description> on_result);
    /// Requests a lease that lapses after `ttl`.
    void
    grant_lease(std::chrono::milliseconds ttl, callback<lease_id> on_result);
    /// Renews a lease; fails with `not_run` if it has lapsed.
    void renew_lease(
        lease_id const& lease, std::chrono::milliseconds ttl,
        callback<done> on_result);
    /// Starts a task; fails with `not_run` if the worker lacks capacity or the
    /// lease has lapsed.
    void start_task(task_spec const& spec, callback<start_answer> on_result);
    /// Lists the running tasks and the ended ones that are not forgotten yet.
    void list_tasks(callback<std::vector<task_status>> on_result);
    /// Checkpoints a task, which continues to run; returns the checkpoint.
    void checkpoint(attempt_id const& id, callback<std::string> on_result);
    /// Sets the speed of a task in percent of full speed, 0 to 100.
    void throttle(attempt_id const& id, int percent, callback<done> on_result);
    /// Checkpoints and stops a task; returns the checkpoint.
    void stop(attempt_id const& id, callback<std::string> on_result);
    /// Removes an ended task from the worker's list.
    void forget(attempt_id const& id, callback<done> on_result);
    /// Gets the usage of tasks, which the worker reports with a delay.
    void usage(callback<std::vector<task_usage>> on_result);
    /// The worker's endpoint.
    endpoint const& where() const { return http_.where(); }

private:
    template<class T>
    using body_reader = std::function<result<T>(std::string const&)>;

    template<class T>
    void call(
        char const* step, http_request&& request, body_reader<T> read,
        callback<T> on_result);

    http_client http_;
};

} // namespace sycamorespar::workers

#endif
