/// Maps the host and path of callers' requests to queues.
#ifndef SYCAMORESPAR_CALLERS_QUEUE_ROUTES_HPP
#define SYCAMORESPAR_CALLERS_QUEUE_ROUTES_HPP

#include "libsycamorespar/job_graph.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Assigns requests with a given host and path prefix to a queue.
struct queue_route
{
    /// The queue.
    queue_id queue;
    /// The host of the request, without a port.
    std::string host;
    /// The beginning of the request's path.
    std::string prefix;

    bool operator==(queue_route const&) const = default;
};

/// The result of matching a request with the routes.
struct routed_path
{
    /// The queue.
    queue_id queue;
    /// The rest of the path, after the prefix.
    std::string rest;
};

/// The routes of one configuration.
class queue_routes
{
public:
    queue_routes() = default;
    explicit queue_routes(std::vector<queue_route> routes);

    /// Applies the matching route with the longest prefix.
    /// \param host  as sent by the caller; a port is ignored.
    /// \return empty if no route matches.
    std::optional<routed_path>
    find(std::string const& host, std::string const& path) const;

private:
    std::vector<queue_route> routes_;
};

} // namespace sycamorespar

#endif
