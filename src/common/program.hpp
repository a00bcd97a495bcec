/// Start-up shared by all daemons: command line, settings and log.
#ifndef SYCAMORESPAR_COMMON_PROGRAM_HPP
#define SYCAMORESPAR_COMMON_PROGRAM_HPP

#include "common/log.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

namespace sycamorespar {

/// The exit code for success.
inline constexpr int exit_success = 0;
/// The exit code for a wrong command line or wrong settings.
inline constexpr int exit_usage = 2;

/// Name, help text and settings schema of a daemon.
struct program_description
{
    /// Its name, as in "spar-entry".
    std::string name;
    /// One sentence on what it does, for --help.
    std::string summary;
    /// The JSON Schema of its settings.
    std::string settings_schema;
};

/// The parsed command line of a daemon.
struct command_line
{
    /// The settings file.
    std::string settings_file;
    /// Check the settings and exit.
    bool check_settings = false;
    /// The lowest level that is logged, if given.
    std::optional<log_level> lowest_level;
};

/// A text to print before the program exits without starting.
struct early_exit
{
    /// exit_success prints to standard output, others to standard error.
    int code = exit_success;
    /// The text, without the last line end.
    std::string text;
};

/// A command line with its valid settings.
struct started_program
{
    /// The parsed command line.
    command_line options;
    /// The settings, validated against the schema.
    nlohmann::json settings;
};

/// "NAME VERSION", for --version.
std::string version_text(std::string const& program_name);

/// Parses the command line of a daemon.
std::variant<command_line, early_exit> parse_command_line(
    int argc, char const* const* argv, program_description const& program);

/// Parses the command line, loads the settings and sets up the log.
std::variant<started_program, early_exit> start_program(
    int argc, char const* const* argv, program_description const& program);

/// Prints the text and returns the exit code, for use in main().
int print_early_exit(early_exit const& ending);

} // namespace sycamorespar

#endif
