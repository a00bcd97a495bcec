/// The entry's HTTP interface for operators and job submitters.
#ifndef SYCAMORESPAR_SPAR_ENTRY_OPERATOR_API_HPP
#define SYCAMORESPAR_SPAR_ENTRY_OPERATOR_API_HPP

#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/http_server.hpp"
#include "libsycamorespar/agent_directory.hpp"
#include "spar-entry/registration.hpp"
#include "spar-entry/shard_manager.hpp"
#include "spar-entry/table_replica.hpp"

#include <map>
#include <memory>
#include <string>

namespace sycamorespar {

/// Serves /table, /jobs and /healthz.
class operator_api
{
public:
    operator_api(
        event_loop& loop, http_server& http, table_replica& replica,
        shard_manager& shards, registration& own_registration,
        agent_directory const& directory, entry_id self);

    /// Handles one exchange; the answer may come after the call returns.
    void handle(exchange_id exchange, http_request const& request);

private:
    void show_table(exchange_id exchange);
    void edit_table(exchange_id exchange, http_request const& request);
    void show_status(exchange_id exchange);
    void submit_job(exchange_id exchange, http_request const& request);
    void list_jobs(exchange_id exchange);
    void on_job(exchange_id exchange, http_request const& request);
    void show_job(exchange_id exchange, job_id const& job);
    void cancel_job(exchange_id exchange, job_id const& job);
    void resolve_job(
        exchange_id exchange, job_id const& job, http_request const& request);
    /// Forwards a call to the entry that holds the job's shard; answers with
    /// an error if no other holder is known.
    /// \return false if the shard is held here, so nothing was done.
    bool forward(
        exchange_id exchange, job_id const& job, http_request const& request);
    http_client& client_of(endpoint const& where);
    void answer_error(exchange_id exchange, error const& what);

    event_loop& loop_;
    http_server& http_;
    table_replica& table_;
    shard_manager& shard_manager_;
    registration& registration_;
    agent_directory const& directory_;
    entry_id self_;
    std::map<endpoint, std::unique_ptr<http_client>> clients_;
};

} // namespace sycamorespar

#endif
