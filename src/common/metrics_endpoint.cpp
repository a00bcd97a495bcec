/// The page is rendered on request from state that exists anyway, so an unread
/// endpoint costs nothing.
#include "common/metrics_endpoint.hpp"

#include <utility>

namespace sycamorespar {

namespace {

constexpr char const* metrics_path = "/metrics";
constexpr char const* content_type = "text/plain; version=0.0.4";

} // namespace

metrics_endpoint::metrics_endpoint(
    event_loop& loop, std::function<std::string()> render)
    : render_(std::move(render)),
      server_(
          loop, http_server_limits{},
          [this](exchange_id exchange, http_request const& request) {
              bool const is_page = target_path(request.target) == metrics_path;
              server_.respond(
                  exchange,
                  is_page
                      ? http_response{200, {{"Content-Type", content_type}}, render_()}
                      : http_response{404, {}, {}});
          })
{}

result<done> metrics_endpoint::listen(std::optional<endpoint> const& where)
{
    if (!where)
        return done{};
    auto const listening = server_.listen(*where);
    if (!ok(listening))
        return failure(listening);
    return done{};
}

} // namespace sycamorespar
