/// Base64 encoding and decoding (RFC 4648).
#ifndef SYCAMORESPAR_COMMON_BASE64_HPP
#define SYCAMORESPAR_COMMON_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace sycamorespar {

/// Encodes bytes as base64 with padding.
std::string to_base64(std::string_view bytes);
/// Decodes padded base64; nullopt if the text is malformed.
std::optional<std::string> from_base64(std::string_view text);

} // namespace sycamorespar

#endif
