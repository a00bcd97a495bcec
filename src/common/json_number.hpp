/// Range-checked conversion of JSON numbers: nlohmann's get() wraps integers
/// and leaves a float that is out of range undefined.
#ifndef SYCAMORESPAR_COMMON_JSON_NUMBER_HPP
#define SYCAMORESPAR_COMMON_JSON_NUMBER_HPP

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace sycamorespar {

/// The largest time or duration read from JSON, 2096 as a time of day: the sum
/// of two still fits into a count of nanoseconds.
inline constexpr std::chrono::milliseconds max_json_time{4'000'000'000'000};

/// The largest amount of a resource read from JSON: sums over all tasks of a
/// job stay in range.
inline constexpr std::int64_t max_json_amount = 1'000'000'000'000;

/// A JSON number that is missing, of another type or out of range.
class number_error : public std::runtime_error
{
public:
    explicit number_error(std::string const& name)
        : std::runtime_error(name + ": not a number in range")
    {}
};

/// The inclusive bounds of a number; all values of the type by default.
template<std::integral T>
struct number_bounds
{
    T least = std::numeric_limits<T>::min();
    T greatest = std::numeric_limits<T>::max();
};

/// Converts a JSON number and drops its fraction.
/// \throws number_error, which states the name.
template<std::integral T>
T read_number(
    nlohmann::json const& from, std::string const& name,
    number_bounds<T> const& bounds = {})
{
    auto const checked = [&](auto number) {
        if (std::cmp_less(number, bounds.least) ||
            std::cmp_greater(number, bounds.greatest))
            throw number_error(name);
        return static_cast<T>(number);
    };
    if (from.is_number_unsigned())
        return checked(from.get<std::uint64_t>());
    if (from.is_number_integer())
        return checked(from.get<std::int64_t>());
    if (!from.is_number_float())
        throw number_error(name);
    constexpr double min_int64 = -0x1p63;
    constexpr double uint64_end = 0x1p64;
    double const whole = std::trunc(from.get<double>());
    // Not the negated comparisons, so that NaN is rejected.
    if (!(whole >= min_int64 && whole < uint64_end))
        throw number_error(name);
    return whole < 0 ? checked(static_cast<std::int64_t>(whole))
                     : checked(static_cast<std::uint64_t>(whole));
}

/// As read_number(), but a number with a fraction is an error.
template<std::integral T>
T read_whole(
    nlohmann::json const& from, std::string const& name,
    number_bounds<T> const& bounds = {})
{
    if (from.is_number_float()) {
        auto const number = from.get<double>();
        if (std::trunc(number) != number)
            throw number_error(name);
    }
    return read_number(from, name, bounds);
}

/// Reads a member of an object with read_number(); a default if it is absent.
template<std::integral T>
T read_number_or(
    nlohmann::json const& object, char const* name, T default_value,
    number_bounds<T> const& bounds = {})
{
    if (!object.is_object())
        throw number_error(name);
    auto const found = object.find(name);
    return found == object.end() ? default_value
                                 : read_number(*found, name, bounds);
}

/// Converts an array of whole numbers with read_whole().
template<std::integral T>
std::vector<T> read_numbers(nlohmann::json const& from, std::string const& name)
{
    if (!from.is_array())
        throw number_error(name);
    std::vector<T> numbers;
    for (auto const& each : from)
        numbers.push_back(read_whole<T>(each, name));
    return numbers;
}

/// Reads a member of an object with read_numbers(); empty if it is absent.
template<std::integral T>
std::vector<T>
read_numbers_or_empty(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found == object.end() ? std::vector<T>()
                                 : read_numbers<T>(*found, name);
}

/// Reads an amount of a resource with read_number_or(); zero if it is absent.
inline std::int64_t
read_amount_or_zero(nlohmann::json const& object, char const* name)
{
    return read_number_or<std::int64_t>(object, name, 0, {0, max_json_amount});
}

/// Converts a number of milliseconds, zero or above.
inline std::chrono::milliseconds
read_time(nlohmann::json const& from, std::string const& name)
{
    return std::chrono::milliseconds(
        read_number<std::int64_t>(from, name, {0, max_json_time.count()}));
}

/// As read_time(), but a fraction of a millisecond is an error.
inline std::chrono::milliseconds
read_whole_time(nlohmann::json const& from, std::string const& name)
{
    return std::chrono::milliseconds(
        read_whole<std::int64_t>(from, name, {0, max_json_time.count()}));
}

/// Reads a member of an object with read_time(); zero if it is absent.
inline std::chrono::milliseconds
read_time_or_zero(nlohmann::json const& object, char const* name)
{
    auto const found = object.find(name);
    return found == object.end() ? std::chrono::milliseconds::zero()
                                 : read_time(*found, name);
}

} // namespace sycamorespar

#endif
