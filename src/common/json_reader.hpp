/// Typed, bounds-checked access to the members of untrusted JSON objects.
#ifndef SYCAMORESPAR_COMMON_JSON_READER_HPP
#define SYCAMORESPAR_COMMON_JSON_READER_HPP

#include "common/json_text.hpp"
#include "libsycamorespar/result.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Inclusive bounds of an integer.
struct number_range
{
    /// The minimum.
    std::int64_t least = 0;
    /// The maximum.
    std::int64_t greatest = INT64_MAX;
};

/// Reads members of one object and keeps the first error, so that the caller
/// can read all members first and check fault() once.
class json_reader
{
public:
    /// The object must outlive the reader; errors state its path.
    json_reader(nlohmann::json const& object, std::string path);

    /// A string of 1 to max_bytes bytes; empty on error.
    std::string text(char const* name, std::size_t max_bytes = 256);
    /// As text(), but the member may be absent or empty.
    std::string optional_text(char const* name, std::size_t max_bytes = 256);
    /// An integer in the range; the minimum on error.
    std::int64_t number(char const* name, number_range range = {});
    /// As number(), with a default if the member is absent.
    std::int64_t number_or(
        char const* name, std::int64_t default_value, number_range range = {});
    /// An array of at most max_count strings, each of 1 to max_bytes bytes.
    std::vector<std::string>
    texts(char const* name, std::size_t max_count, std::size_t max_bytes = 256);
    /// An object or array; an empty object on error.
    nlohmann::json const& member(char const* name);

    /// The first error; its step is the path of the member.
    std::optional<error> const& fault() const { return fault_; }

private:
    nlohmann::json const* find(char const* name);
    std::string read_text(
        nlohmann::json const& from, char const* name, std::size_t min_bytes,
        std::size_t max_bytes);
    std::int64_t read_number(
        nlohmann::json const& from, char const* name, number_range range);
    void fail(char const* name, std::string reason);

    nlohmann::json const& object_;
    std::string path_;
    std::optional<error> fault_;
};

} // namespace sycamorespar

#endif
