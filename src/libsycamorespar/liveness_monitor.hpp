/// Tells from the answers to calls whether a peer can be reached.
#ifndef SYCAMORESPAR_LIVENESS_MONITOR_HPP
#define SYCAMORESPAR_LIVENESS_MONITOR_HPP

#include "libsycamorespar/clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace sycamorespar {

/// Limits of the watch.
struct liveness_limits
{
    /// Calls that only fail for this long mean that contact is lost; single
    /// failures among answers don't.
    std::chrono::milliseconds failing{200};
    /// Calls without any answer for this long mean the same. A store that is
    /// slow answers within some 250 ms.
    std::chrono::milliseconds silence{450};
};

/// Watches the calls to one peer. Knows no clock; time is handed in.
class liveness_monitor
{
public:
    explicit liveness_monitor(liveness_limits const& limits = {});

    /// A call was sent.
    void on_call(monotonic_time now);
    /// A call was answered as it should be.
    void on_answer(monotonic_time now);
    /// A call had no answer, or only a refusal to serve.
    void on_failure(monotonic_time now);
    /// True where calls have failed or waited for too long.
    bool is_lost(monotonic_time now) const;
    /// True where the last call that came back failed.
    bool is_failing() const { return failing_since_.has_value(); }

private:
    liveness_limits limits_;
    std::size_t open_calls_ = 0;
    /// Since when calls have waited without an answer to any.
    monotonic_time waiting_since_{};
    std::optional<monotonic_time> failing_since_;
};

} // namespace sycamorespar

#endif
