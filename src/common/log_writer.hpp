/// Writes log lines to a descriptor without ever waiting for its reader.
#ifndef SYCAMORESPAR_COMMON_LOG_WRITER_HPP
#define SYCAMORESPAR_COMMON_LOG_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace sycamorespar {

/// Keeps what a slow reader leaves waiting, up to a bound; lines beyond it are
/// left out and counted, and the count is written once there is room.
class log_writer
{
public:
    /// The bytes that may wait for the reader. A burst of a second's lines
    /// takes less than a tenth of it.
    static constexpr std::size_t default_backlog = 256 * 1024;

    /// \param descriptor  stays open and is not owned; it is made non-blocking
    /// unless it is a terminal.
    explicit log_writer(int descriptor, std::size_t backlog = default_backlog);

    /// Writes a line; the line end is added.
    void write(std::string const& line);
    /// Writes what waits, as far as the reader takes it.
    void flush();
    /// Lines left out so far.
    std::uint64_t left_out() const { return left_out_; }

private:
    void append(std::string const& line);

    int descriptor_;
    std::size_t max_backlog_;
    std::string buffer_;
    std::uint64_t left_out_ = 0;
    std::uint64_t unreported_ = 0;
};

} // namespace sycamorespar

#endif
