/// Names are few: they stand in the code.
#include "libsycamorespar/repeat_filter.hpp"

#include <utility>

namespace sycamorespar {

std::optional<std::uint64_t>
repeat_filter::pass(std::string const& name, monotonic_time now)
{
    auto const added = seen_.try_emplace(name, seen{now, 0});
    auto& of = added.first->second;
    if (!added.second && now - of.passed_at < span_) {
        ++of.left_out;
        return std::nullopt;
    }
    of.passed_at = now;
    return std::exchange(of.left_out, 0);
}

} // namespace sycamorespar
