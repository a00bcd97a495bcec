/// Reads callers' HTTP requests and builds the responses for each outcome.
#ifndef SYCAMORESPAR_CALLERS_REQUEST_HTTP_HPP
#define SYCAMORESPAR_CALLERS_REQUEST_HTTP_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/result.hpp"

#include <chrono>
#include <string>

namespace sycamorespar::callers {

/// Prefix of the path of requests: /request/ROW/PATH.
inline constexpr char const* request_path = "/request/";

/// A caller's request as read from HTTP.
struct caller_request
{
    /// The table row.
    row_id row;
    /// The caller's name, for fair sharing; from X-Spar-Caller, may be empty.
    std::string caller;
    /// How long the caller waits; from X-Spar-Deadline-Ms.
    std::chrono::milliseconds deadline{5000};
    /// Whether X-Spar-Repeat is "never".
    bool never_repeat = false;
    /// The request that is forwarded to the upstream.
    http_request forwarded;
};

/// Reads a request.
/// \return an error that names the invalid header or part of the path.
result<caller_request> read_request(http_request const& from);

/// The value of the X-Spar-Outcome header for an outcome.
char const* outcome_name(outcome what);

/// The upstream's answer with outcome "ran", without the headers that concern
/// only the connection to the upstream.
http_response ran_response(http_response from);

/// The response to a request without an answer: 503 with Retry-After if it was
/// not run, otherwise 504.
http_response failed_response(
    outcome what, std::string const& reason,
    std::chrono::milliseconds retry_after);

} // namespace sycamorespar::callers

#endif
