/// Amounts of resources that workers have and tasks need.
#ifndef SYCAMORESPAR_RESOURCES_HPP
#define SYCAMORESPAR_RESOURCES_HPP

#include <cstdint>

namespace sycamorespar {

/// Processors, memory and accelerators. A demand is never negative.
struct resources
{
    /// Thousandths of a processor core.
    std::int64_t millicores = 0;
    /// Mebibytes of memory.
    std::int64_t memory_mib = 0;
    /// Whole accelerators.
    std::int64_t accelerators = 0;

    bool operator==(resources const&) const = default;

    resources& operator+=(resources const& other)
    {
        millicores += other.millicores;
        memory_mib += other.memory_mib;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(resources const& other)
    {
        millicores -= other.millicores;
        memory_mib -= other.memory_mib;
        accelerators -= other.accelerators;
        return *this;
    }
};

inline resources operator+(resources left, resources const& right)
{
    return left += right;
}

inline resources operator-(resources left, resources const& right)
{
    return left -= right;
}

/// True if no amount of the demand exceeds the available one.
inline bool fits(resources const& demand, resources const& available)
{
    return demand.millicores <= available.millicores &&
           demand.memory_mib <= available.memory_mib &&
           demand.accelerators <= available.accelerators;
}

/// True if no amount is negative.
inline bool is_valid_demand(resources const& demand)
{
    return demand.millicores >= 0 && demand.memory_mib >= 0 &&
           demand.accelerators >= 0;
}

} // namespace sycamorespar

#endif
