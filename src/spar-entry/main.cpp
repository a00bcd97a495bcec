/// spar-entry: accepts requests, jobs and table edits.
#include "common/log.hpp"
#include "common/program.hpp"
#include "spar-entry/entry_daemon.hpp"

namespace {

constexpr int exit_failed_to_start = 1;

} // namespace

int main(int argc, char** argv)
{
    using namespace sycamorespar;
    auto const started = start_program(
        argc, argv,
        {"spar-entry", "Accepts requests, batch jobs and edits to the table.",
         entry_settings_schema});
    if (auto const* ending = std::get_if<early_exit>(&started))
        return print_early_exit(*ending);
    auto const& program = std::get<started_program>(started);
    entry_daemon daemon(read_entry_settings(program.settings));
    auto const ended = daemon.run();
    if (ok(ended))
        return exit_success;
    log_error("start_failed", failure(ended));
    return exit_failed_to_start;
}
