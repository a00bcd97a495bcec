/// Entries are never removed, because event names are literals in the source
/// code and their number is small.
#include "libsycamorespar/repeat_filter.hpp"

#include <utility>

namespace sycamorespar {

std::optional<std::uint64_t>
repeat_filter::pass(std::string const& name, monotonic_time now)
{
    auto const added = seen_.try_emplace(name, seen_event{now, 0});
    auto& entry = added.first->second;
    if (!added.second && now - entry.passed_at < span_) {
        ++entry.suppressed;
        return std::nullopt;
    }
    entry.passed_at = now;
    return std::exchange(entry.suppressed, 0);
}

} // namespace sycamorespar
