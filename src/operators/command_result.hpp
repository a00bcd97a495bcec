/// Results of operators' commands, and how entries' responses map to them.
#ifndef SYCAMORESPAR_OPERATORS_COMMAND_RESULT_HPP
#define SYCAMORESPAR_OPERATORS_COMMAND_RESULT_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/result.hpp"

#include <functional>
#include <string>

namespace sycamorespar {

/// Exit codes of the operators' programs.
enum class command_exit : int
{
    /// Done.
    success = 0,
    /// Rejected; nothing was changed, and retrying does not help.
    refused = 1,
    /// The command line is invalid; no request was sent.
    usage = 2,
    /// Not run; safe to retry.
    not_run = 3,
    /// It may have taken effect; check before retrying.
    unknown = 4
};

/// The result of a command.
struct command_result
{
    /// The exit code.
    command_exit code = command_exit::success;
    /// For standard output.
    std::string output;
    /// For standard error; empty on success.
    std::string error_text;
};

/// How results are printed.
enum class output_format
{
    /// Human-readable text.
    text,
    /// The JSON of the entry's API.
    json
};

/// Sends a request to an entry and waits for the response.
using entry_call = std::function<result<http_response>(http_request const&)>;

/// True if the response has a 2xx status.
bool succeeded(result<http_response> const& answer);

/// The result of a command whose call failed.
/// \param changes  true if the call may have changed state.
command_result
failed_command(result<http_response> const& answer, bool changes);

/// The result of a command that was rejected before any request was sent.
command_result refused_command(std::string error_text);

} // namespace sycamorespar

#endif
