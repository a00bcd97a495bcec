/// A history file of events, one JSON object a line, for the history checker.
#ifndef SYCAMORESPAR_TESTS_STANDINS_HISTORY_HPP
#define SYCAMORESPAR_TESTS_STANDINS_HISTORY_HPP

#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace sycamorespar::standins {

/// Appends events to a file and flushes each line.
class history
{
public:
    /// Opens the file; with an empty path nothing is written. Throws
    /// std::runtime_error if the file can't be opened.
    history(std::string const& path, std::string who);

    /// Writes one event with the current steady-clock time in microseconds.
    void write(char const* event, nlohmann::json fields);

private:
    struct close_file
    {
        void operator()(std::FILE* file) const { std::fclose(file); }
    };

    std::unique_ptr<std::FILE, close_file> file_;
    std::string who_;
};

} // namespace sycamorespar::standins

#endif
