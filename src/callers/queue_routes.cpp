/// Routes are sorted by the length of their prefix, longest first, so that the
/// first match is the longest one.
#include "callers/queue_routes.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

queue_routes::queue_routes(std::vector<queue_route> routes)
    : routes_(std::move(routes))
{
    std::stable_sort(
        routes_.begin(), routes_.end(),
        [](queue_route const& left, queue_route const& right) {
            return left.prefix.size() > right.prefix.size();
        });
}

std::optional<routed_path>
queue_routes::find(std::string const& host, std::string const& path) const
{
    auto const name = host.substr(0, host.find(':'));
    for (auto const& route : routes_) {
        if (route.host == name && path.starts_with(route.prefix))
            return routed_path{route.queue, path.substr(route.prefix.size())};
    }
    return std::nullopt;
}

} // namespace sycamorespar
