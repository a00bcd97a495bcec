/// Loading of settings files, validated before any socket is opened.
#ifndef SYCAMORESPAR_COMMON_SETTINGS_HPP
#define SYCAMORESPAR_COMMON_SETTINGS_HPP

#include "libsycamorespar/result.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace sycamorespar {

/// The most bytes of a settings file.
inline constexpr std::size_t max_settings_bytes = 256 * 1024;

/// Reads a whole file of at most this many bytes.
/// \return the text; or an error of step "file.read" with the path as peer.
result<std::string> read_file(std::string const& path, std::size_t max_bytes);

/// Reads a settings file and validates it against a JSON Schema.
/// \return the settings; or an error whose reason starts with the key's path
/// and whose peer is the file's path.
result<nlohmann::json>
load_settings(std::string const& path, std::string_view schema_text);

} // namespace sycamorespar

#endif
