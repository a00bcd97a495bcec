/// An HTTP server on evhttp with limits on size and time.
#ifndef SYCAMORESPAR_COMMON_HTTP_SERVER_HPP
#define SYCAMORESPAR_COMMON_HTTP_SERVER_HPP

#include "common/event_loop.hpp"
#include "common/http_message.hpp"
#include "libsycamorespar/result.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct evhttp_bound_socket;

namespace sycamorespar {

/// Identifies a request of one server that awaits its response.
using exchange_id = std::uint64_t;

/// Limits of a server.
struct http_server_limits
{
    /// The most bytes of the request line and headers.
    std::size_t max_header_bytes = 16 * 1024;
    /// The most bytes of the body.
    std::size_t max_body_bytes = 1024 * 1024;
    /// Idle or stalled connections are closed after this.
    std::chrono::seconds timeout{60};
};

/// Serves HTTP; requests may be answered asynchronously, by exchange id.
class http_server
{
public:
    /// Called for each complete request.
    using handler = std::function<void(exchange_id, http_request const&)>;

    http_server(
        event_loop& loop, http_server_limits const& limits, handler on_request);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Starts to listen. Port 0 picks a free port.
    /// \return the endpoint listened on; or an error of step "http.listen".
    result<endpoint> listen(endpoint const& where);
    /// Sends a response; ignored if the client has disconnected.
    void respond(exchange_id exchange, http_response const& response);
    /// Closes the connection of an exchange without a response.
    void close_unanswered(exchange_id exchange);
    /// The number of exchanges not answered yet.
    std::size_t open_exchanges() const { return exchanges_.size(); }
    /// Stops accepting connections; open exchanges can still be answered.
    void stop_accepting();

private:
    static void on_raw_request(evhttp_request* raw, void* argument);
    static void on_closed(evhttp_connection* raw, void* argument);
    void handle(evhttp_request* raw);
    void remove_exchanges(evhttp_connection* connection);

    event_loop& loop_;
    http_server_limits limits_;
    handler on_request_;
    evhttp* server_;
    evhttp_bound_socket* listener_ = nullptr;
    exchange_id next_id_ = 1;
    std::map<exchange_id, evhttp_request*> exchanges_;
    bool accepting_ = true;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
