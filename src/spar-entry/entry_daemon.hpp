/// The entry process: accepts requests, jobs and table edits.
#ifndef SYCAMORESPAR_SPAR_ENTRY_ENTRY_DAEMON_HPP
#define SYCAMORESPAR_SPAR_ENTRY_ENTRY_DAEMON_HPP

#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/http_server.hpp"
#include "libsycamorespar/agent_directory.hpp"
#include "peers/inbox.hpp"
#include "platform/kv_client.hpp"
#include "spar-entry/agent_connections.hpp"
#include "spar-entry/entry_settings.hpp"
#include "spar-entry/operator_api.hpp"
#include "spar-entry/registration.hpp"
#include "spar-entry/request_api.hpp"
#include "spar-entry/shard_manager.hpp"
#include "spar-entry/table_replica.hpp"
#include "spar-entry/task_placer.hpp"

namespace sycamorespar {

/// Composes the entry's services and runs them on one event loop.
class entry_daemon
{
public:
    explicit entry_daemon(entry_settings settings);

    /// Listens and runs until SIGTERM or SIGINT.
    /// \return an error if a listening socket could not be opened.
    result<done> run();

private:
    result<done> start();
    void on_http(exchange_id exchange, http_request const& request);
    entry_statistics statistics() const;
    void on_message(peers::envelope const& received);
    void on_body(worker_id const& from, peers::heartbeat const& body);
    void on_body(worker_id const& from, peers::repeated_heartbeat const& body);
    void answer_heartbeat(worker_id const& from, std::uint64_t ask);
    void on_body(worker_id const& from, peers::table_request const& body);
    void on_body(worker_id const& from, peers::table_text const& body);
    void on_body(worker_id const& from, peers::request_answer const& body);
    void on_body(worker_id const& from, peers::request_refused const& body);
    void on_body(worker_id const& from, peers::request_unknown const& body);
    void on_body(worker_id const& from, peers::request_outcome const& body);
    void on_body(worker_id const& from, peers::task_report const& body);
    template<class Other>
    void on_body(worker_id const& from, Other const& body);
    void on_table(table_policy const& policy);
    void send_to_agent(ledger_action const& action);
    void on_tick();
    void begin_stop();
    void check_requests_done();
    void end_stop();

    entry_settings settings_;
    incarnation incarnation_;
    event_loop loop_;
    platform::kv_client store_client_;
    kv_store store_;
    http_server http_;
    agent_directory directory_;
    agent_connections agents_;
    task_placer placer_;
    registration registration_;
    table_replica table_;
    request_api requests_;
    shard_manager shard_manager_;
    operator_api operator_api_;
    peers::inbox inbox_;
    bool stopping_ = false;
    bool stopped_ = false;
    monotonic_time stop_deadline_;
};

} // namespace sycamorespar

#endif
