/// A libevent event loop with timers, descriptors and signals.
#ifndef SYCAMORESPAR_COMMON_EVENT_LOOP_HPP
#define SYCAMORESPAR_COMMON_EVENT_LOOP_HPP

#include "libsycamorespar/clock.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

struct event_base;

namespace sycamorespar {

/// Identifies a registration of one loop, for cancelling it.
using event_id = std::uint64_t;

/// One libevent loop; all callbacks run on the thread that calls run().
class event_loop
{
public:
    /// The libevent priority of events that are run before all others.
    static constexpr int urgent_priority = 0;

    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// The libevent handle, for evhttp.
    event_base* base() const { return base_; }
    /// The current monotonic time; not libevent's cached time.
    static monotonic_time now();
    /// The time since the machine started, including time suspended.
    static std::chrono::nanoseconds time_since_boot();
    /// Runs the callback once after the delay.
    event_id after(duration delay, std::function<void()> call);
    /// Runs the callback periodically.
    event_id every(duration period, std::function<void()> call);
    /// Runs the callback once when nothing else is ready to run, at the latest
    /// after the delay. For work that takes long and may be put off: run as a
    /// timer, it would delay each of the small steps of a large message.
    event_id when_idle(duration latest, std::function<void()> call);
    /// Runs the callback whenever the file descriptor is readable.
    event_id on_readable(int descriptor, std::function<void()> call);
    /// Runs the callback whenever the signal arrives.
    event_id on_signal(int signal_number, std::function<void()> call);
    /// Cancels a timer, descriptor or signal; unknown ids are ignored.
    void cancel(event_id id);
    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current callback.
    void stop();

private:
    struct registration;
    static void dispatch(int descriptor, short what, void* argument);
    event_id
    add(int descriptor, short flags, duration const* timeout, bool once,
        std::function<void()> call);

    event_base* base_;
    event_id next_id_ = 1;
    std::map<event_id, std::unique_ptr<registration>> registrations_;
};

} // namespace sycamorespar

#endif
