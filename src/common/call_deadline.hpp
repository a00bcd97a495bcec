/// The deadline of a call, which depends on when its bytes last moved.
#ifndef SYCAMORESPAR_COMMON_CALL_DEADLINE_HPP
#define SYCAMORESPAR_COMMON_CALL_DEADLINE_HPP

#include "libsycamorespar/clock.hpp"

#include <chrono>

namespace sycamorespar {

/// Limits of a call.
struct call_deadline_limits
{
    /// The longest time without a moved byte before the answer begins.
    std::chrono::milliseconds silence{0};
    /// The longest time without a moved byte within the answer.
    std::chrono::milliseconds pause{0};
    /// The longest time in total.
    std::chrono::milliseconds total{0};
};

/// Moves the deadline of a call as its bytes move. Callers pass in the time.
class call_deadline
{
public:
    call_deadline() = default;
    call_deadline(call_deadline_limits const& limits, monotonic_time begun_at);

    /// Records that a part of the request was sent and more is left to send.
    void on_part_sent(monotonic_time now);
    /// Records that bytes of the answer were received.
    void on_received(monotonic_time now);
    /// When the call fails unless more bytes move.
    monotonic_time at() const;
    /// Why a call fails at its deadline.
    char const* reason() const;

private:
    monotonic_time silent_at() const;
    monotonic_time end() const { return begun_at_ + limits_.total; }

    call_deadline_limits limits_;
    monotonic_time begun_at_{};
    monotonic_time moved_at_{};
    bool has_answer_ = false;
};

} // namespace sycamorespar

#endif
