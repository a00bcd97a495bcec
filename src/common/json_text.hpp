/// Parsing of untrusted JSON: size and depth are limited and duplicate keys
/// are rejected.
#ifndef SYCAMORESPAR_COMMON_JSON_TEXT_HPP
#define SYCAMORESPAR_COMMON_JSON_TEXT_HPP

#include "libsycamorespar/result.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace sycamorespar {

/// Limits of a JSON text.
struct json_limits
{
    /// The most bytes of text.
    std::size_t max_bytes = 1024 * 1024;
    /// The most levels of nested objects and arrays.
    std::size_t max_depth = 16;
};

/// Parses a JSON text within the limits.
/// \return the value; or an error of step "json.parse" that states the
/// position.
result<nlohmann::json>
parse_json(std::string_view text, json_limits const& limits = {});

/// Parses MessagePack with at most `max_depth` levels of nested objects and
/// arrays.
/// \return the value; or an error of step "msgpack.parse".
result<nlohmann::json>
parse_msgpack(std::string_view bytes, std::size_t max_depth);

/// Checks a value against a JSON Schema.
/// \return done; or an error of step "json.validate" whose reason starts with
/// the path of the offending key, as in "upstreams[2].port: ...".
result<done>
validate_json(nlohmann::json const& document, std::string_view schema_text);

} // namespace sycamorespar

#endif
