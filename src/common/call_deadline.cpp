/// Counted from the last byte rather than checked at intervals, so that a
/// connection that goes silent is noticed equally soon at any moment.
#include "common/call_deadline.hpp"

#include <algorithm>

namespace sycamorespar {

call_deadline::call_deadline(
    call_deadline_limits const& limits, monotonic_time begun_at)
    : limits_(limits), begun_at_(begun_at), moved_at_(begun_at)
{}

// The last part may have reached only the buffers of the system, which says
// nothing about the peer.
void call_deadline::on_part_sent(monotonic_time now)
{
    moved_at_ = now;
}

void call_deadline::on_received(monotonic_time now)
{
    moved_at_ = now;
    has_answer_ = true;
}

monotonic_time call_deadline::silent_at() const
{
    return moved_at_ + (has_answer_ ? limits_.pause : limits_.silence);
}

monotonic_time call_deadline::at() const
{
    return std::min(silent_at(), end());
}

char const* call_deadline::reason() const
{
    if (!has_answer_)
        return "no answer in time";
    return silent_at() < end() ? "the answer stopped before its end"
                               : "no whole answer in time";
}

} // namespace sycamorespar
