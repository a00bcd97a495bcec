/// Writes log lines to a file descriptor without blocking.
#ifndef SYCAMORESPAR_COMMON_LOG_WRITER_HPP
#define SYCAMORESPAR_COMMON_LOG_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace sycamorespar {

/// Buffers lines that the reader has not consumed yet, up to a limit. Further
/// lines are dropped and counted; the count is written once there is space.
class log_writer
{
public:
    /// Default buffer size in bytes: more than ten times the log lines of a
    /// busy second.
    static constexpr std::size_t default_backlog = 256 * 1024;

    /// \param descriptor  not owned; made non-blocking unless it is a terminal.
    /// \param backlog  the buffer size in bytes.
    explicit log_writer(int descriptor, std::size_t backlog = default_backlog);

    /// Writes a line and appends the line end.
    void write(std::string const& line);
    /// Writes as much of the buffer as the descriptor accepts.
    void flush();
    /// The number of lines dropped so far.
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
