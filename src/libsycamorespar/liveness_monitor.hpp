/// Detects the loss of contact to a peer from the results of calls to it.
#ifndef SYCAMORESPAR_LIVENESS_MONITOR_HPP
#define SYCAMORESPAR_LIVENESS_MONITOR_HPP

#include "libsycamorespar/clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace sycamorespar {

/// Limits of the detection.
struct liveness_limits
{
    /// Contact is lost if calls have failed for this long without an answer in
    /// between.
    std::chrono::milliseconds failing{200};
    /// Contact is lost if calls have been open for this long without any
    /// answer. Longer than the roughly 250 ms of a slow store.
    std::chrono::milliseconds silence{450};
};

/// Monitors the calls to one peer. Callers pass in the time.
class liveness_monitor
{
public:
    explicit liveness_monitor(liveness_limits const& limits = {});

    /// Records that a call was sent.
    void on_call(monotonic_time now);
    /// Records a regular answer to a call.
    void on_answer(monotonic_time now);
    /// Records that a call had no answer, or that the peer refused to serve.
    void on_failure(monotonic_time now);
    /// True if calls have failed or gone unanswered for too long.
    bool is_lost(monotonic_time now) const;
    /// True if the last call that completed has failed.
    bool is_failing() const { return failing_since_.has_value(); }

private:
    liveness_limits limits_;
    std::size_t open_calls_ = 0;
    /// Start of the current period without an answer while calls are open.
    monotonic_time waiting_since_{};
    std::optional<monotonic_time> failing_since_;
};

} // namespace sycamorespar

#endif
