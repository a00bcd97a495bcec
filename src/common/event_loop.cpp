/// The libevent event loop. Each registration owns its callback. Cancelling by
/// id is safe even from inside the callback that is being cancelled.
#include "common/event_loop.hpp"

#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <event2/thread.h>
#include <stdexcept>
#include <utility>

namespace sycamorespar {

namespace {

// libevent runs the events of the lowest number that are ready, then looks for
// new ones. Events that are given no priority, evhttp's among them, have the
// middle one.
constexpr int priorities = 3;
constexpr int idle_priority = priorities - 1;

timeval to_timeval(duration span)
{
    constexpr std::int64_t microseconds_per_second = 1'000'000;
    auto const micros =
        std::chrono::duration_cast<std::chrono::microseconds>(span).count();
    return {
        static_cast<time_t>(micros / microseconds_per_second),
        static_cast<suseconds_t>(micros % microseconds_per_second)};
}

} // namespace

struct event_loop::registration
{
    event_loop* loop = nullptr;
    event_id id = 0;
    event* handle = nullptr;
    /// The second of two events that run the callback; null for most.
    event* other = nullptr;
    bool once = false;
    std::function<void()> call;

    ~registration()
    {
        for (auto* each : {handle, other}) {
            if (each != nullptr)
                event_free(each);
        }
    }
};

event_loop::event_loop()
{
    evthread_use_pthreads();
    // Otherwise writing to a connection that the peer has closed would end the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    base_ = event_base_new();
    if (base_ == nullptr)
        throw std::runtime_error("event_base_new failed");
    if (event_base_priority_init(base_, priorities) != 0)
        throw std::runtime_error("event_base_priority_init failed");
}

event_loop::~event_loop()
{
    registrations_.clear();
    event_base_free(base_);
}

monotonic_time event_loop::now()
{
    return std::chrono::steady_clock::now();
}

std::chrono::nanoseconds event_loop::time_since_boot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
}

event_id event_loop::add(
    int descriptor, short flags, duration const* timeout, bool once,
    std::function<void()> call)
{
    auto entry = std::make_unique<registration>();
    entry->loop = this;
    entry->id = next_id_++;
    entry->once = once;
    entry->call = std::move(call);
    entry->handle =
        event_new(base_, descriptor, flags, &event_loop::dispatch, entry.get());
    if (timeout != nullptr) {
        timeval const delay = to_timeval(*timeout);
        event_add(entry->handle, &delay);
    } else {
        event_add(entry->handle, nullptr);
    }
    event_id const id = entry->id;
    registrations_.emplace(id, std::move(entry));
    return id;
}

void event_loop::dispatch(int, short, void* argument)
{
    auto* entry = static_cast<registration*>(argument);
    if (!entry->once) {
        // Copied because the callback may cancel its own registration.
        auto const call = entry->call;
        call();
        return;
    }
    auto const call = std::move(entry->call);
    entry->loop->registrations_.erase(entry->id);
    call();
}

event_id event_loop::after(duration delay, std::function<void()> call)
{
    return add(-1, 0, &delay, true, std::move(call));
}

event_id event_loop::when_idle(duration latest, std::function<void()> call)
{
    auto const id = after(latest, std::move(call));
    auto* const entry = registrations_.at(id).get();
    entry->other = event_new(base_, -1, 0, &event_loop::dispatch, entry);
    event_priority_set(entry->other, idle_priority);
    timeval const now = to_timeval(duration::zero());
    event_add(entry->other, &now);
    return id;
}

event_id event_loop::every(duration period, std::function<void()> call)
{
    return add(-1, EV_PERSIST, &period, false, std::move(call));
}

event_id event_loop::on_readable(int descriptor, std::function<void()> call)
{
    return add(
        descriptor, EV_READ | EV_PERSIST, nullptr, false, std::move(call));
}

event_id event_loop::on_signal(int signal_number, std::function<void()> call)
{
    return add(
        signal_number, EV_SIGNAL | EV_PERSIST, nullptr, false, std::move(call));
}

void event_loop::cancel(event_id id)
{
    registrations_.erase(id);
}

void event_loop::run()
{
    event_base_dispatch(base_);
}

void event_loop::stop()
{
    event_base_loopbreak(base_);
}

} // namespace sycamorespar
