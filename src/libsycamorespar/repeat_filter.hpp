/// Suppresses events that repeat while their cause persists.
#ifndef SYCAMORESPAR_REPEAT_FILTER_HPP
#define SYCAMORESPAR_REPEAT_FILTER_HPP

#include "libsycamorespar/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sycamorespar {

/// Passes at most one event of each name per time span and counts the others.
class repeat_filter
{
public:
    explicit repeat_filter(
        std::chrono::milliseconds span = std::chrono::seconds(1))
        : span_(span)
    {}

    /// Decides on one event.
    /// \return the number of events of this name that were suppressed since the
    /// last one that passed; none if this one is suppressed as well.
    std::optional<std::uint64_t>
    pass(std::string const& name, monotonic_time now);

private:
    struct seen_event
    {
        monotonic_time passed_at{};
        std::uint64_t suppressed = 0;
    };

    std::chrono::milliseconds span_;
    std::map<std::string, seen_event> seen_;
};

} // namespace sycamorespar

#endif
