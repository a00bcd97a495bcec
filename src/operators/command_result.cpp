/// The exit code states whether the command took effect, so that a script can
/// decide whether a retry is safe.
#include "operators/command_result.hpp"

#include "common/json_text.hpp"

#include <utility>

namespace sycamorespar {

namespace {

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;

constexpr char const* error_schema = R"({
  "type": "object",
  "required": ["step", "reason"],
  "properties": {
    "step": {"type": "string"},
    "peer": {"type": "string"},
    "reason": {"type": "string"}
  }
})";

char const* describe(command_exit code)
{
    switch (code) {
    case command_exit::not_run:
        return "not run: ";
    case command_exit::unknown:
        return "outcome unknown, check before retrying: ";
    default:
        return "refused: ";
    }
}

command_exit exit_code_for(int status, bool changes)
{
    if (status >= first_client_error && status < first_server_error)
        return command_exit::refused;
    if (status == status_unavailable || !changes)
        return command_exit::not_run;
    return command_exit::unknown;
}

std::string format_error(
    std::string const& step, std::string const& peer, std::string const& reason)
{
    return step + (peer.empty() ? "" : " at " + peer) + ": " + reason;
}

/// The error in the response's body; if it has none, status and first line.
std::string error_text_from(http_response const& answer)
{
    auto const parsed = parse_json(answer.body);
    if (!ok(parsed) || !ok(validate_json(value(parsed), error_schema)))
        return "status " + std::to_string(answer.status) + ": " +
               answer.body.substr(0, answer.body.find('\n'));
    auto const& body = value(parsed);
    return format_error(
        body["step"], body.value("peer", std::string()), body["reason"]);
}

} // namespace

bool succeeded(result<http_response> const& answer)
{
    return ok(answer) && value(answer).status >= first_success &&
           value(answer).status < first_redirect;
}

command_result failed_command(result<http_response> const& answer, bool changes)
{
    if (ok(answer)) {
        auto const code = exit_code_for(value(answer).status, changes);
        return {code, "", describe(code) + error_text_from(value(answer))};
    }
    auto const& problem = failure(answer);
    bool const is_not_run = problem.effect == outcome::not_run || !changes;
    auto const code =
        is_not_run ? command_exit::not_run : command_exit::unknown;
    return {
        code, "",
        describe(code) +
            format_error(problem.step, problem.peer, problem.reason)};
}

command_result refused_command(std::string error_text)
{
    return {command_exit::refused, "", std::move(error_text)};
}

} // namespace sycamorespar
