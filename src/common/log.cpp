/// Log lines as key=value pairs, with values quoted where needed.
#include "common/log.hpp"

#include "common/event_loop.hpp"
#include "common/log_writer.hpp"
#include "libsycamorespar/repeat_filter.hpp"

#include <chrono>
#include <fmt/chrono.h>
#include <unistd.h>

namespace sycamorespar {

namespace {

log_level lowest_level = log_level::info;
std::string program_name = "spar";
std::string machine_field;

log_writer& writer()
{
    static log_writer lines(STDOUT_FILENO);
    return lines;
}

repeat_filter& repeats()
{
    static repeat_filter filter;
    return filter;
}

char const* level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::string quoted(std::string const& text)
{
    if (!text.empty() &&
        text.find_first_of(" \"\n\r\t=\\") == std::string::npos)
        return text;
    std::string out = "\"";
    for (char const each : text) {
        if (each == '"' || each == '\\')
            out += '\\';
        out += static_cast<unsigned char>(each) < 0x20 ? ' ' : each;
    }
    return out + "\"";
}

} // namespace

void set_log_level(log_level lowest)
{
    lowest_level = lowest;
}

bool is_logged(log_level level)
{
    return level >= lowest_level;
}

void set_log_program(std::string name)
{
    program_name = std::move(name);
}

void set_log_machine(std::string const& name)
{
    machine_field = " machine=" + quoted(name);
}

result<log_level> parse_log_level(std::string const& text)
{
    for (auto const level :
         {log_level::debug, log_level::info, log_level::warning,
          log_level::error}) {
        if (text == level_name(level))
            return level;
    }
    return error{"settings.log_level", "", "unknown level " + text};
}

void log_event(
    log_level level, std::string_view event,
    std::initializer_list<log_field> fields)
{
    if (!is_logged(level))
        return;
    auto const now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    std::string line = fmt::format(
        "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} program={}{} event={}",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
        now.time_since_epoch().count() % 1000, level_name(level), program_name,
        machine_field, event);
    for (auto const& field : fields)
        line += fmt::format(" {}={}", field.key, quoted(field.value));
    writer().write(line);
}

void log_error(std::string_view event, error const& what)
{
    log_event(
        log_level::error, event,
        {{"step", what.step}, {"peer", what.peer}, {"reason", what.reason}});
}

void log_repeated_error(std::string_view event, error const& what)
{
    auto const left_out = repeats().pass(std::string(event), event_loop::now());
    if (left_out)
        log_event(
            log_level::error, event,
            {{"step", what.step},
             {"peer", what.peer},
             {"reason", what.reason},
             {"left_out", *left_out}});
}

} // namespace sycamorespar
