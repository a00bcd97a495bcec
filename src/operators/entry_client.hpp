/// Blocking calls to entries, for the operators' programs.
#ifndef SYCAMORESPAR_OPERATORS_ENTRY_CLIENT_HPP
#define SYCAMORESPAR_OPERATORS_ENTRY_CLIENT_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/result.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace sycamorespar {

/// Parses "address:port".
/// \return the endpoint; or an error of step "endpoint.read".
result<endpoint> parse_entry_endpoint(std::string const& text);

/// Sends each request to the first reachable entry.
class entry_client
{
public:
    entry_client(
        std::vector<endpoint> entries, std::chrono::milliseconds timeout);

    /// Calls the entries in order; tries the next one only if the request
    /// certainly was not run.
    result<http_response> call(http_request const& request) const;

private:
    std::vector<endpoint> entries_;
    std::chrono::milliseconds timeout_;
};

} // namespace sycamorespar

#endif
