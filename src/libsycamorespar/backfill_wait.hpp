/// Why a backfill task waits for a worker.
#ifndef SYCAMORESPAR_BACKFILL_WAIT_HPP
#define SYCAMORESPAR_BACKFILL_WAIT_HPP

#include <cstdint>
#include <string>

namespace sycamorespar {

/// What keeps a backfill task from a worker.
enum class wait_reason : std::uint8_t
{
    /// It hasn't been tried on all workers yet.
    untried,
    /// The worker takes no work, or lacks memory, accelerators or a label.
    no_room,
    /// Other tasks use the processors that it needs.
    no_idle_processors,
    /// It would push a serving task over its target.
    contention
};

/// A name for logs and metrics.
char const* to_string(wait_reason reason);

/// What keeps a backfill task from the worker that comes nearest to taking it.
struct backfill_wait
{
    /// The reason.
    wait_reason reason = wait_reason::untried;
    /// The image of the serving task that bears least; only for contention.
    std::string serving_image;
    /// The part of its full speed that this serving task could bear; only for
    /// contention.
    double headroom = 0.0;

    /// True if the serving task bears the backfill task at full speed.
    bool is_borne() const { return headroom >= 1.0; }
    /// Keeps the nearer of this and what another worker says.
    void merge(backfill_wait const& other);

    bool operator==(backfill_wait const&) const = default;
};

} // namespace sycamorespar

#endif
