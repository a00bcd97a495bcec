/// Serves metrics over HTTP.
#ifndef SYCAMORESPAR_COMMON_METRICS_ENDPOINT_HPP
#define SYCAMORESPAR_COMMON_METRICS_ENDPOINT_HPP

#include "common/event_loop.hpp"
#include "common/http_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace sycamorespar {

/// Answers GET /metrics with a page that is rendered for each request.
class metrics_endpoint
{
public:
    metrics_endpoint(event_loop& loop, std::function<std::string()> render);

    /// Starts to listen; does nothing if no address is given.
    result<done> listen(std::optional<endpoint> const& where);

private:
    std::function<std::string()> render_;
    http_server server_;
};

} // namespace sycamorespar

#endif
