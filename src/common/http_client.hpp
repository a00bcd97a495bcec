/// HTTP calls on evhttp with bounded, reused connections and no resends.
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

/// How long clients keep connections that they call often.
inline constexpr std::chrono::milliseconds keep_alive_time{30'000};

/// Limits of a client.
struct http_client_limits
{
    /// Connections to one endpoint at a time; more calls wait.
    std::size_t max_connections = 64;
    /// Calls that may wait for a connection.
    std::size_t max_waiting = 1024;
    /// Bytes of an answer's status line and headers.
    std::size_t max_header_bytes = 16 * 1024;
    /// Bytes of an answer's body.
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// A call fails after this without a byte from the peer, and after twice
    /// this in all, waiting included.
    std::chrono::milliseconds timeout{5000};
    /// A connection without a call is kept for this long; zero for as long as
    /// the timeout. Where it is set, a call fails after the timeout in all.
    std::chrono::milliseconds idle{0};
};

/// Calls one endpoint. A failed call is never sent again by itself; its error
/// says whether the request can't have reached the peer (not_run) or may have
/// (unknown). Callbacks never run inside call(); calls in flight when the
/// client is destroyed are not answered.
class http_client
{
public:
    /// Receives the answer or the error, exactly once.
    using callback = std::function<void(result<http_response>)>;

    http_client(
        event_loop& loop, endpoint where, http_client_limits const& limits);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Sends a request when a connection is free.
    void call(http_request request, callback on_result);
    /// The endpoint that is called.
    endpoint const& where() const { return where_; }
    /// Calls sent and not answered yet.
    std::size_t in_flight() const;

private:
    struct connection;
    struct pending;
    void fail_later(callback on_result, error why);
    void on_deadline(std::uint64_t call_number);
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
