/// An answer to any call shows that the peer was there when it was sent; what
/// was asked before and is still open proves nothing against it.
#include "libsycamorespar/contact_watch.hpp"

namespace sycamorespar {

contact_watch::contact_watch(contact_limits const& limits) : limits_(limits) {}

void contact_watch::on_call(monotonic_time now)
{
    if (open_calls_ == 0)
        waiting_since_ = now;
    ++open_calls_;
}

void contact_watch::on_answer(monotonic_time now)
{
    if (open_calls_ > 0)
        --open_calls_;
    waiting_since_ = now;
    failing_since_.reset();
}

void contact_watch::on_failure(monotonic_time now)
{
    if (open_calls_ > 0)
        --open_calls_;
    if (!failing_since_)
        failing_since_ = now;
}

bool contact_watch::is_lost(monotonic_time now) const
{
    if (failing_since_ && now - *failing_since_ >= limits_.failing)
        return true;
    return open_calls_ > 0 && now - waiting_since_ >= limits_.silence;
}

} // namespace sycamorespar
