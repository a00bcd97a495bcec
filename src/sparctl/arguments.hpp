/// The command line of sparctl.
#ifndef SYCAMORESPAR_SPARCTL_ARGUMENTS_HPP
#define SYCAMORESPAR_SPARCTL_ARGUMENTS_HPP

#include "common/program.hpp"
#include "libsycamorespar/job.hpp"
#include "operators/table_commands.hpp"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar {

/// The parsed command line.
struct sparctl_arguments
{
    /// The command's words, as in "table", "edit", "weigh-in", "weight", "50".
    std::vector<std::string> words;
    /// The entries to call, in this order.
    std::vector<endpoint> entries;
    /// How long to wait for each response.
    std::chrono::milliseconds timeout{0};
    /// Options of the commands that edit; the format holds for all commands.
    edit_options edit;
    /// The job of submit, except for its row, which is one of the words.
    job_request job;
    /// For a parked job: run it again.
    bool run_again = false;
};

/// Reads the command line.
std::variant<sparctl_arguments, early_exit>
parse_sparctl_arguments(int argc, char const* const* argv);

} // namespace sycamorespar

#endif
