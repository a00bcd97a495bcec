/// The stand-in worker's HTTP interface.
#ifndef SYCAMORESPAR_TESTS_STANDINS_WORKER_API_HPP
#define SYCAMORESPAR_TESTS_STANDINS_WORKER_API_HPP

#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "standins/history.hpp"
#include "standins/worker/worker_core.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sycamorespar::standins {

/// Serves a worker_core over HTTP and writes its events to a history.
class worker_api
{
public:
    worker_api(
        event_loop& loop, worker_settings settings,
        std::string const& history_path);

    /// Starts to listen and returns the endpoint in use.
    result<endpoint> listen(endpoint const& where);
    /// The worker behind the interface.
    worker_core& core() { return core_; }

private:
    http_response handle(http_request const& request);
    http_response handle_task(
        http_request const& request, std::vector<std::string> const& parts);
    http_response grant(http_request const& request);
    http_response renew(http_request const& request, std::string const& lease);
    http_response start(http_request const& request);
    http_response list();
    http_response describe() const;
    http_response report_usage();
    http_response throttle(attempt_id const& id, http_request const& request);
    void
    write_event(char const* event, worker_task const& task, char const* how);

    event_loop& loop_;
    std::string boot_;
    history history_;
    worker_core core_;
    http_server server_;
};

} // namespace sycamorespar::standins

#endif
