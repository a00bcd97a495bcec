/// Parsing of endpoints.
#ifndef SYCAMORESPAR_COMMON_ENDPOINT_TEXT_HPP
#define SYCAMORESPAR_COMMON_ENDPOINT_TEXT_HPP

#include "common/http_message.hpp"

#include <optional>
#include <string>

namespace sycamorespar {

/// Parses "address:port"; nullopt if the text has any other form.
std::optional<endpoint> parse_endpoint(std::string const& text);

} // namespace sycamorespar

#endif
