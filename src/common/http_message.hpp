/// HTTP requests and responses as plain data.
#ifndef SYCAMORESPAR_COMMON_HTTP_MESSAGE_HPP
#define SYCAMORESPAR_COMMON_HTTP_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar {

/// An IP address and a TCP port.
struct endpoint
{
    /// A numeric IP address, such as "127.0.0.1".
    std::string address;
    /// The TCP port.
    std::uint16_t port = 0;

    auto operator<=>(endpoint const&) const = default;
};

/// Formats an endpoint as "address:port".
std::string to_string(endpoint const& where);

/// One header line.
struct http_header
{
    /// The name; case-insensitive.
    std::string name;
    /// The value.
    std::string value;
};

/// A request as received or to be sent.
struct http_request
{
    /// GET, POST, PUT or DELETE.
    std::string method = "GET";
    /// The path and the query, if any.
    std::string target = "/";
    /// The headers.
    std::vector<http_header> headers;
    /// The body.
    std::string body;
};

/// A response as received or to be sent.
struct http_response
{
    /// The status code.
    int status = 200;
    /// The headers.
    std::vector<http_header> headers;
    /// The body.
    std::string body;
};

/// The value of a header; null if it is absent.
std::string const*
find_header(std::vector<http_header> const& headers, std::string const& name);

/// The path of a target, without its query.
std::string target_path(std::string const& target);

/// The decoded value of a query parameter; empty if it is absent.
std::string query_parameter(std::string const& target, std::string const& name);

} // namespace sycamorespar

#endif
