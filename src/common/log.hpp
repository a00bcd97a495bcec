/// Structured log on standard output: one event a line, as key=value pairs.
#ifndef SYCAMORESPAR_COMMON_LOG_HPP
#define SYCAMORESPAR_COMMON_LOG_HPP

#include "libsycamorespar/result.hpp"

#include <fmt/core.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sycamorespar {

/// The severity of an event.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// One key=value pair of a log line.
struct log_field
{
    /// The key, in snake case.
    std::string_view key;
    /// The value; quoted on output if it holds spaces, quotes or line ends.
    std::string value;

    log_field(std::string_view name, std::string text)
        : key(name), value(std::move(text))
    {}
    log_field(std::string_view name, std::string_view text)
        : key(name), value(text)
    {}
    log_field(std::string_view name, char const* text) : key(name), value(text)
    {}
    template<class T>
    log_field(std::string_view name, T number)
        : key(name), value(fmt::format("{}", number))
    {}
};

/// Sets the lowest level that is written, for the whole process.
void set_log_level(log_level lowest);

/// True if events of this level are written.
bool is_logged(log_level level);

/// Sets the program's name, written on each line.
void set_log_program(std::string name);

/// Sets the machine's name, written on each line from then on.
void set_log_machine(std::string const& name);

/// Parses "debug", "info", "warning" or "error".
result<log_level> parse_log_level(std::string const& text);

/// Writes one line.
void log_event(
    log_level level, std::string_view event,
    std::initializer_list<log_field> fields = {});

/// Writes an error with its step, peer and reason.
void log_error(std::string_view event, error const& what);

/// Writes an error of a call that is retried until it succeeds, at most once a
/// second for each event, with the number of suppressed lines in between. Not
/// for answers to callers or outcomes of jobs, which must all be logged.
void log_repeated_error(std::string_view event, error const& what);

} // namespace sycamorespar

#endif
