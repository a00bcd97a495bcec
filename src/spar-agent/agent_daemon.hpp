/// The agent: a process that runs beside one worker and its upstreams.
#ifndef SYCAMORESPAR_SPAR_AGENT_AGENT_DAEMON_HPP
#define SYCAMORESPAR_SPAR_AGENT_AGENT_DAEMON_HPP

#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "libsycamorespar/agent_admission.hpp"
#include "operators/table_copy.hpp"
#include "peers/inbox.hpp"
#include "platform/kv_client.hpp"
#include "spar-agent/agent_settings.hpp"
#include "spar-agent/entry_connections.hpp"
#include "spar-agent/request_service.hpp"
#include "spar-agent/task_service.hpp"

namespace sycamorespar {

/// Composes the agent's services and runs them on one event loop.
class agent_daemon
{
public:
    explicit agent_daemon(agent_settings settings);

    /// Opens the listening sockets and runs until SIGTERM or SIGINT.
    /// \return an error if a socket could not be opened.
    result<done> run();

private:
    result<done> start();
    void read_entries();
    void send_heartbeats();
    agent_report make_report(permit const& issued) const;
    void on_message(peers::envelope const& received);
    void on_body(entry_id const& from, peers::heartbeat_answer const& body);
    void on_body(entry_id const& from, peers::report_request const& body);
    void on_body(entry_id const& from, peers::table_request const& body);
    void on_body(entry_id const& from, peers::table_text const& body);
    void on_body(entry_id const& from, peers::table_change const& body);
    void on_table_adopted(result<bool> const& adopted);
    void on_body(entry_id const& from, peers::start_request const& body);
    void on_body(entry_id const& from, peers::query_request const& body);
    void on_body(entry_id const& from, peers::start_task const& body);
    void on_body(entry_id const& from, peers::stop_task const& body);
    void on_body(entry_id const& from, peers::forget_task const& body);
    void on_body(entry_id const& from, peers::query_task const& body);
    void on_body(entry_id const& from, peers::task_reclaim_time const& body);
    template<class Other>
    void on_body(entry_id const& from, Other const& body);
    void on_http(exchange_id exchange, http_request const& request);
    void on_announcement(exchange_id exchange, http_request const& request);
    void report_to_holders(attempt_report const& report);
    void begin_stop();
    void check_stopped();

    agent_settings settings_;
    incarnation incarnation_;
    event_loop loop_;
    agent_admission admission_;
    platform::kv_client store_client_;
    kv_store store_;
    entry_connections connections_;
    request_service requests_;
    task_service tasks_;
    peers::inbox inbox_;
    http_server http_;
    std::string own_address_;
    table_copy table_;
    bool stopping_ = false;
    monotonic_time stop_deadline_;
    monotonic_time last_entries_read_at_;
};

} // namespace sycamorespar

#endif
