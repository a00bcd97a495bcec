/// Forwards admitted requests to the upstreams beside the agent.
#ifndef SYCAMORESPAR_SPAR_AGENT_REQUEST_SERVICE_HPP
#define SYCAMORESPAR_SPAR_AGENT_REQUEST_SERVICE_HPP

#include "common/event_loop.hpp"
#include "libsycamorespar/agent_admission.hpp"
#include "peers/message.hpp"
#include "upstreams/announcement.hpp"
#include "upstreams/upstream_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sycamorespar {

/// Owns the connections to the upstreams.
class request_service
{
public:
    /// Sends a message to the entry that started a request.
    using reply_hook =
        std::function<void(entry_id const&, peers::message const&)>;

    request_service(
        event_loop& loop, agent_admission& admission, reply_hook reply);

    /// Adds an upstream, or renews its announcement.
    void
    on_announcement(upstreams::announcement const& from, monotonic_time now);
    /// Stops admission to an upstream that leaves.
    /// \param on_drained  called once no request is in flight at the upstream;
    ///                    at once if the upstream is unknown.
    void drain(std::string const& name, std::function<void()> on_drained);
    /// Removes idle upstreams that no longer announce themselves.
    void remove_silent_upstreams(monotonic_time now);
    /// Admits and forwards a request from an entry, or refuses it.
    void start(entry_id const& from, peers::start_request const& message);
    /// Answers an entry's query for the outcome of a request.
    void query(entry_id const& from, peers::query_request const& message);

private:
    struct upstream
    {
        std::unique_ptr<upstreams::upstream_client> client;
        monotonic_time last_announced_at;
        std::function<void()> on_drained;
    };

    void forward(
        entry_id const& from, peers::start_request const& message,
        std::string const& upstream_name);
    void finish(
        entry_id const& from, request_id const& id,
        std::string const& upstream_name, result<http_response> const& answer);
    void check_drained(std::string const& upstream_name);

    event_loop& loop_;
    agent_admission& admission_;
    reply_hook reply_;
    std::map<std::string, upstream> upstreams_;
};

} // namespace sycamorespar

#endif
