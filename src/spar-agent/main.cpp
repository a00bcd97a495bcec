/// spar-agent: admits work to a worker and the upstreams beside it.
#include "common/log.hpp"
#include "common/program.hpp"
#include "spar-agent/agent_daemon.hpp"

namespace {

constexpr int exit_failed_to_start = 1;

} // namespace

int main(int argc, char** argv)
{
    using namespace sycamorespar;
    auto const started = start_program(
        argc, argv,
        {"spar-agent",
         "Admits requests and tasks to one upstream and its worker.",
         agent_settings_schema});
    if (auto const* ending = std::get_if<early_exit>(&started))
        return print_early_exit(*ending);
    auto const& program = std::get<started_program>(started);
    agent_daemon daemon(read_agent_settings(program.settings));
    auto const ended = daemon.run();
    if (ok(ended))
        return exit_success;
    log_error("start_failed", failure(ended));
    return exit_failed_to_start;
}
