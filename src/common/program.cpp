/// Start-up of a daemon, with Boost.Program_options.
#include "common/program.hpp"

#include "common/settings.hpp"

#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <fmt/core.h>
#include <sstream>

#ifndef SYCAMORESPAR_VERSION
#define SYCAMORESPAR_VERSION "unknown"
#endif

namespace sycamorespar {

namespace {

namespace po = boost::program_options;

po::options_description known_options()
{
    po::options_description known("Options");
    auto add = known.add_options();
    add("settings", po::value<std::string>()->value_name("FILE"),
        "the settings, a JSON file; otherwise the one that the variable "
        "SYCAMORESPAR_CONFIG names");
    add("check-settings", "check the settings and exit");
    add("log-level", po::value<std::string>()->value_name("LEVEL"),
        "debug, info, warning or error");
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    return known;
}

std::string settings_from_environment()
{
    char const* const path = std::getenv("SYCAMORESPAR_CONFIG");
    return path == nullptr ? std::string() : path;
}

std::string
help_text(program_description const& program, po::options_description& known)
{
    std::ostringstream text;
    text << "Usage: " << program.name << " --settings FILE\n"
         << program.summary << "\n\n"
         << known;
    return text.str();
}

early_exit usage_error(program_description const& program, std::string reason)
{
    return {
        exit_usage,
        fmt::format("{}: {}; see --help", program.name, std::move(reason))};
}

std::variant<command_line, early_exit>
read_options(po::variables_map const& given, program_description const& program)
{
    command_line options;
    options.settings_file = given.count("settings") != 0
                                ? given["settings"].as<std::string>()
                                : settings_from_environment();
    if (options.settings_file.empty())
        return usage_error(program, "--settings FILE is missing");
    options.check_settings = given.count("check-settings") != 0;
    if (given.count("log-level") == 0)
        return options;
    auto const level = parse_log_level(given["log-level"].as<std::string>());
    if (!ok(level))
        return usage_error(program, "--log-level: " + failure(level).reason);
    options.lowest_level = value(level);
    return options;
}

} // namespace

std::string version_text(std::string const& program_name)
{
    return program_name + " " + SYCAMORESPAR_VERSION;
}

std::variant<command_line, early_exit> parse_command_line(
    int argc, char const* const* argv, program_description const& program)
{
    auto known = known_options();
    po::variables_map given;
    try {
        // An empty positional description rejects stray arguments.
        po::positional_options_description const no_arguments;
        po::store(
            po::command_line_parser(argc, argv)
                .options(known)
                .positional(no_arguments)
                .run(),
            given);
    } catch (po::error const& problem) {
        return usage_error(program, problem.what());
    }
    if (given.count("help") != 0)
        return early_exit{exit_success, help_text(program, known)};
    if (given.count("version") != 0)
        return early_exit{exit_success, version_text(program.name)};
    return read_options(given, program);
}

std::variant<started_program, early_exit> start_program(
    int argc, char const* const* argv, program_description const& program)
{
    auto const parsed = parse_command_line(argc, argv, program);
    if (auto const* ending = std::get_if<early_exit>(&parsed))
        return *ending;
    auto const& options = std::get<command_line>(parsed);
    set_log_program(program.name);
    if (options.lowest_level)
        set_log_level(*options.lowest_level);
    auto settings =
        load_settings(options.settings_file, program.settings_schema);
    if (!ok(settings)) {
        auto const& problem = failure(settings);
        return early_exit{
            exit_usage,
            fmt::format(
                "{}: {}: {}", program.name, problem.peer, problem.reason)};
    }
    if (options.check_settings)
        return early_exit{
            exit_success, options.settings_file + ": settings are valid"};
    return started_program{options, take(std::move(settings))};
}

int print_early_exit(early_exit const& ending)
{
    auto* stream = ending.code == exit_success ? stdout : stderr;
    fmt::print(stream, "{}\n", ending.text);
    return ending.code;
}

} // namespace sycamorespar
