/// spar-runner: starts and stops the tasks of one worker on the scheduler's
/// orders.
#include "common/log.hpp"
#include "common/program.hpp"
#include "spar-runner/runner_daemon.hpp"

namespace {

constexpr int exit_failed_to_start = 1;

} // namespace

int main(int argc, char** argv)
{
    using namespace sycamorespar;
    auto const started = start_program(
        argc, argv,
        {"spar-runner", "Starts and stops the tasks of one worker.",
         runner_settings_schema});
    if (auto const* ending = std::get_if<early_exit>(&started))
        return print_early_exit(*ending);
    auto const& program = std::get<started_program>(started);
    runner_daemon daemon(read_runner_settings(program.settings));
    auto const ended = daemon.run();
    if (ok(ended))
        return exit_success;
    log_error("start_failed", failure(ended));
    return exit_failed_to_start;
}
