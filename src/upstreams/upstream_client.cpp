/// Requests never wait for a free connection. Admission counts requests as
/// running at the upstream, which would not be true of waiting ones.
#include "upstreams/upstream_client.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <strings.h>
#include <utility>

namespace sycamorespar::upstreams {

namespace {

/// Hop-by-hop headers, and those that the HTTP library sets for each
/// connection.
constexpr std::array<char const*, 11> per_connection_headers{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Connection",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Host",
    "Content-Length"};

bool same_name(std::string const& left, std::string const& right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

std::string trimmed(std::string_view text)
{
    auto const begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos)
        return {};
    auto const end = text.find_last_not_of(" \t");
    return std::string(text.substr(begin, end - begin + 1));
}

/// The names listed in Connection headers, which are hop-by-hop as well.
std::vector<std::string>
listed_by_connection(std::vector<http_header> const& headers)
{
    std::vector<std::string> names;
    for (auto const& header : headers) {
        if (!same_name(header.name, "Connection"))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            auto const comma = std::min(rest.find(','), rest.size());
            names.push_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

} // namespace

std::vector<http_header>
end_to_end_headers(std::vector<http_header> const& headers)
{
    auto dropped = listed_by_connection(headers);
    dropped.insert(
        dropped.end(), per_connection_headers.begin(),
        per_connection_headers.end());
    std::vector<http_header> kept;
    std::copy_if(
        headers.begin(), headers.end(), std::back_inserter(kept),
        [&dropped](http_header const& header) {
            return std::none_of(
                dropped.begin(), dropped.end(),
                [&](auto const& name) { return same_name(name, header.name); });
        });
    return kept;
}

upstream_client::upstream_client(
    event_loop& loop, endpoint where, std::uint32_t connections,
    std::chrono::milliseconds timeout)
    : connections_(connections), http_(
                                     loop, std::move(where),
                                     http_client_limits{
                                         .max_connections = connections,
                                         .max_waiting = 1,
                                         .timeout = timeout})
{}

void upstream_client::forward(http_request request, callback on_result)
{
    if (in_flight_ >= connections_) {
        on_result(error{
            "upstream.forward", to_string(where()),
            "all connections are in use", outcome::not_run});
        return;
    }
    request.headers = end_to_end_headers(request.headers);
    ++in_flight_;
    http_.call(
        std::move(request),
        [this, on_result = std::move(on_result)](result<http_response> answer) {
            --in_flight_;
            if (ok(answer)) {
                auto response = take(std::move(answer));
                response.headers = end_to_end_headers(response.headers);
                return on_result(std::move(response));
            }
            auto fault = failure(answer);
            fault.step = "upstream.forward";
            on_result(std::move(fault));
        });
}

} // namespace sycamorespar::upstreams
