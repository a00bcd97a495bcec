/// HTTP client on evhttp: a bounded connection pool, no automatic retries.
#ifndef SYCAMORESPAR_COMMON_HTTP_CLIENT_HPP
#define SYCAMORESPAR_COMMON_HTTP_CLIENT_HPP

#include "common/event_loop.hpp"
#include "common/http_message.hpp"
#include "libsycamorespar/result.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace sycamorespar {

/// The idle time-out of connections to endpoints that are called often.
inline constexpr std::chrono::milliseconds keep_alive_time{30'000};

/// Limits of a client.
struct http_client_limits
{
    /// The most concurrent connections; further calls are queued.
    std::size_t max_connections = 64;
    /// The most queued calls; further calls fail at once as not_run.
    std::size_t max_waiting = 1024;
    /// The most bytes of a response's status line and headers.
    std::size_t max_header_bytes = 16 * 1024;
    /// The most bytes of a response's body.
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// A call fails if the peer sends nothing for this long, or if it takes
    /// twice this in total, including the time in the queue.
    std::chrono::milliseconds timeout{5000};
    /// How long an idle connection is kept; zero means as long as the timeout.
    /// If set, the timeout limits the total time of a call instead.
    std::chrono::milliseconds idle{0};
    /// A call that needs a new connection fails as not_run if there is none
    /// after this time; zero leaves it to the timeout. A machine without power
    /// answers no attempt to connect.
    std::chrono::milliseconds connect_timeout{0};
    /// If longer than the timeout, a call whose bytes keep moving goes on, up
    /// to this time in total: over a slow link, a large message takes long. The
    /// timeout then limits the time since a byte last moved.
    std::chrono::milliseconds longest{0};
    /// With `longest`, the limit of that time once the answer has begun; zero
    /// means the timeout. The answer to a long poll may begin late, but once
    /// begun it arrives like any other.
    std::chrono::milliseconds max_pause{0};
    /// Its connections are served before those of other clients and servers.
    bool is_urgent = false;
};

/// Calls one endpoint. Failed calls are never retried automatically. The error
/// states whether the request certainly did not reach the peer (not_run) or
/// may have (unknown). Callbacks never run inside call(). Callbacks of calls
/// in flight are not run if the client is destroyed.
class http_client
{
public:
    /// Receives the response or the error, exactly once.
    using callback = std::function<void(result<http_response>)>;

    http_client(
        event_loop& loop, endpoint where, http_client_limits const& limits);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends a request as soon as a connection is available.
    void call(http_request request, callback on_result);
    /// The remote endpoint.
    endpoint const& where() const { return where_; }
    /// The number of calls sent and not answered yet.
    std::size_t in_flight() const;

private:
    struct connection;
    struct pending;
    void fail_later(callback on_result, error why);
    void on_deadline(std::uint64_t call_number);
    void start_timer(connection& of);
    void watch_connecting(connection& chosen);
    void on_connect_timeout(std::uint64_t call_number);
    void fail_sent(connection& chosen, error why);
    connection* find_call(std::uint64_t call_number);
    connection* find_connection();
    void open(connection& chosen);
    void start(connection& chosen, pending next);
    void start_waiting();

    event_loop& loop_;
    endpoint where_;
    http_client_limits limits_;
    std::vector<std::unique_ptr<connection>> connections_;
    std::vector<std::unique_ptr<pending>> waiting_;
    std::uint64_t next_call_ = 1;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
