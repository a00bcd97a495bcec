/// spar-scheduler: accepts jobs of steps and tasks; the elected leader among
/// its processes schedules them.
#include "common/log.hpp"
#include "common/program.hpp"
#include "spar-scheduler/scheduler_daemon.hpp"

namespace {

constexpr int exit_failed_to_start = 1;

} // namespace

int main(int argc, char** argv)
{
    using namespace sycamorespar;
    auto const started = start_program(
        argc, argv,
        {"spar-scheduler",
         "Accepts jobs from callers and, while it is the leader, schedules "
         "them.",
         scheduler_settings_schema});
    if (auto const* ending = std::get_if<early_exit>(&started))
        return print_early_exit(*ending);
    auto const& program = std::get<started_program>(started);
    scheduler_daemon daemon(read_scheduler_settings(program.settings));
    auto const ended = daemon.run();
    if (ok(ended))
        return exit_success;
    log_error("start_failed", failure(ended));
    return exit_failed_to_start;
}
