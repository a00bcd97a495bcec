/// The reasons are ordered by how near a worker comes: one that contention
/// keeps a task from has room and idle processors for it.
#include "libsycamorespar/backfill_wait.hpp"

namespace sycamorespar {

char const* to_string(wait_reason reason)
{
    switch (reason) {
    case wait_reason::untried:
        return "untried";
    case wait_reason::no_room:
        return "no_room";
    case wait_reason::no_idle_processors:
        return "no_idle_processors";
    case wait_reason::contention:
        return "contention";
    }
    return "unknown";
}

void backfill_wait::merge(backfill_wait const& other)
{
    bool const is_nearer = other.reason > reason || (other.reason == reason &&
                                                     other.headroom > headroom);
    if (is_nearer)
        *this = other;
}

} // namespace sycamorespar
