/// Non-blocking log output. If writing blocked on a slow log reader, the whole
/// process would stop serving; dropping lines is preferable.
#include "common/log_writer.hpp"

#include <cerrno>
#include <fcntl.h>
#include <fmt/core.h>
#include <unistd.h>

namespace sycamorespar {

log_writer::log_writer(int descriptor, std::size_t backlog)
    : descriptor_(descriptor), max_backlog_(backlog)
{
    // A terminal is shared with the shell, which doesn't expect O_NONBLOCK.
    if (isatty(descriptor) != 0)
        return;
    int const flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void log_writer::append(std::string const& line)
{
    buffer_ += line;
    buffer_ += '\n';
}

void log_writer::write(std::string const& line)
{
    flush();
    if (buffer_.size() + line.size() >= max_backlog_) {
        ++left_out_;
        ++unreported_;
        return;
    }
    if (unreported_ > 0) {
        append(fmt::format(
            "level=warning event=log_lines_left_out count={}", unreported_));
        unreported_ = 0;
    }
    append(line);
    flush();
}

void log_writer::flush()
{
    while (!buffer_.empty()) {
        auto const written =
            ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written > 0) {
            buffer_.erase(0, static_cast<std::size_t>(written));
            continue;
        }
        if (written < 0 && errno == EINTR)
            continue;
        // The reader is gone for good: discard the buffer.
        if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            buffer_.clear();
        return;
    }
}

} // namespace sycamorespar
