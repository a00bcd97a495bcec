/// An answer to any call proves that the peer was reachable when it was sent.
/// So each answer restarts the silence period, also for calls that were sent
/// earlier and are still open.
#include "libsycamorespar/liveness_monitor.hpp"

namespace sycamorespar {

liveness_monitor::liveness_monitor(liveness_limits const& limits)
    : limits_(limits)
{}

void liveness_monitor::on_call(monotonic_time now)
{
    if (open_calls_ == 0)
        waiting_since_ = now;
    ++open_calls_;
}

void liveness_monitor::on_answer(monotonic_time now)
{
    if (open_calls_ > 0)
        --open_calls_;
    waiting_since_ = now;
    failing_since_.reset();
}

void liveness_monitor::on_failure(monotonic_time now)
{
    if (open_calls_ > 0)
        --open_calls_;
    if (!failing_since_)
        failing_since_ = now;
}

bool liveness_monitor::is_lost(monotonic_time now) const
{
    if (failing_since_ && now - *failing_since_ >= limits_.failing)
        return true;
    return open_calls_ > 0 && now - waiting_since_ >= limits_.silence;
}

} // namespace sycamorespar
