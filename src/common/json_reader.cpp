/// Checks type and bounds of each member; keeps the first error.
#include "common/json_reader.hpp"

#include <utility>

namespace sycamorespar {

namespace {

nlohmann::json const empty_value = nlohmann::json::object();

} // namespace

json_reader::json_reader(nlohmann::json const& object, std::string path)
    : object_(object), path_(std::move(path))
{
    if (!object_.is_object())
        fault_ = error{path_, "", "is not an object"};
}

void json_reader::fail(char const* name, std::string reason)
{
    if (!fault_)
        fault_ = error{path_ + "." + name, "", std::move(reason)};
}

nlohmann::json const* json_reader::find(char const* name)
{
    if (!object_.is_object())
        return nullptr;
    auto const found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

std::string json_reader::read_text(
    nlohmann::json const& from, char const* name, std::size_t min_bytes,
    std::size_t max_bytes)
{
    if (!from.is_string()) {
        fail(name, "is not a text");
        return {};
    }
    auto const& text = from.get_ref<std::string const&>();
    if (text.size() < min_bytes || text.size() > max_bytes) {
        fail(name, "has a length that is not allowed");
        return {};
    }
    return text;
}

std::int64_t json_reader::read_number(
    nlohmann::json const& from, char const* name, number_range range)
{
    if (!from.is_number_integer()) {
        fail(name, "is not a whole number");
        return range.least;
    }
    bool const too_large =
        from.is_number_unsigned() && from.get<std::uint64_t>() > INT64_MAX;
    auto const number = too_large ? INT64_MAX : from.get<std::int64_t>();
    if (too_large || number < range.least || number > range.greatest) {
        fail(name, "is out of range");
        return range.least;
    }
    return number;
}

std::string json_reader::text(char const* name, std::size_t max_bytes)
{
    auto const* found = find(name);
    if (found != nullptr)
        return read_text(*found, name, 1, max_bytes);
    fail(name, "is missing");
    return {};
}

std::string json_reader::optional_text(char const* name, std::size_t max_bytes)
{
    auto const* found = find(name);
    if (found == nullptr)
        return {};
    return read_text(*found, name, 0, max_bytes);
}

std::int64_t json_reader::number(char const* name, number_range range)
{
    auto const* found = find(name);
    if (found != nullptr)
        return read_number(*found, name, range);
    fail(name, "is missing");
    return range.least;
}

std::int64_t json_reader::number_or(
    char const* name, std::int64_t default_value, number_range range)
{
    auto const* found = find(name);
    if (found == nullptr)
        return default_value;
    return read_number(*found, name, range);
}

std::vector<std::string> json_reader::texts(
    char const* name, std::size_t max_count, std::size_t max_bytes)
{
    auto const& array = member(name);
    if (!array.is_array() || array.size() > max_count) {
        fail(name, "is not an array of an allowed length");
        return {};
    }
    std::vector<std::string> all;
    for (auto const& each : array)
        all.push_back(read_text(each, name, 1, max_bytes));
    return all;
}

nlohmann::json const& json_reader::member(char const* name)
{
    auto const* found = find(name);
    if (found != nullptr && found->is_structured())
        return *found;
    fail(name, "is not an object or array");
    return empty_value;
}

} // namespace sycamorespar
