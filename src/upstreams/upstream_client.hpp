/// Forwards admitted requests to the upstream beside the agent.
#ifndef SYCAMORESPAR_UPSTREAMS_UPSTREAM_CLIENT_HPP
#define SYCAMORESPAR_UPSTREAMS_UPSTREAM_CLIENT_HPP

#include "common/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace sycamorespar::upstreams {

/// The headers without those that concern a single connection only.
std::vector<http_header>
end_to_end_headers(std::vector<http_header> const& headers);

/// Calls one upstream over at most as many connections as it has announced. A
/// failed request is never repeated. The effect of an error is `not_run` only
/// if the request did not reach the upstream.
class upstream_client
{
public:
    /// Called with the upstream's answer, of any status, or an error.
    using callback = std::function<void(result<http_response>)>;

    /// \param connections  maximum number of connections.
    /// \param timeout      maximum time until the answer is complete.
    upstream_client(
        event_loop& loop, endpoint where, std::uint32_t connections,
        std::chrono::milliseconds timeout);

    /// Forwards a request; fails with `not_run` if all connections are in use.
    void forward(http_request request, callback on_result);
    /// Number of requests that are not answered yet.
    std::size_t in_flight() const { return in_flight_; }
    /// The upstream's endpoint.
    endpoint const& where() const { return http_.where(); }

private:
    std::uint32_t connections_;
    std::size_t in_flight_ = 0;
    http_client http_;
};

} // namespace sycamorespar::upstreams

#endif
