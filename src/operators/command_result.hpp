/// What an operator's command ends with, and how answers of entries map to it.
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
    /// Refused; nothing was changed, and asking again does not help.
    refused = 1,
    /// The command line is wrong; nothing was asked.
    usage = 2,
    /// Not run; it may be asked again.
    not_run = 3,
    /// It may or may not have taken effect; look before asking again.
    unknown = 4
};

/// What a command ends with.
struct command_result
{
    /// The exit code.
    command_exit code = command_exit::success;
    /// For standard output.
    std::string output;
    /// For standard error; empty where all went well.
    std::string error_text;
};

/// How results are printed.
enum class output_format
{
    /// For people.
    text,
    /// The JSON of the entry's interface.
    json
};

/// Sends a request to an entry and waits for the answer.
using entry_call = std::function<result<http_response>(http_request const&)>;

/// True where the entry answered that it is done.
bool succeeded(result<http_response> const& answer);

/// The result of a command whose call did not succeed.
/// \param changes true where the call may have changed something.
command_result
failed_command(result<http_response> const& answer, bool changes);

/// A result for a command that was refused before anything was asked.
command_result refused_command(std::string error_text);

} // namespace sycamorespar

#endif
