/// The address must be numeric: host names are not resolved.
#include "common/endpoint_text.hpp"

#include <charconv>
#include <system_error>

namespace sycamorespar {

std::optional<endpoint> parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    endpoint read{text.substr(0, colon), 0};
    char const* const begin = text.data() + colon + 1;
    char const* const end = text.data() + text.size();
    auto const port = std::from_chars(begin, end, read.port);
    if (port.ec != std::errc{} || port.ptr != end || begin == end)
        return std::nullopt;
    return read;
}

} // namespace sycamorespar
