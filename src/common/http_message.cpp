/// Access to headers and targets of HTTP messages.
#include "common/http_message.hpp"

#include <cstdlib>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace sycamorespar {

std::string to_string(endpoint const& where)
{
    return where.address + ":" + std::to_string(where.port);
}

std::string const*
find_header(std::vector<http_header> const& headers, std::string const& name)
{
    for (auto const& header : headers) {
        if (strcasecmp(header.name.c_str(), name.c_str()) == 0)
            return &header.value;
    }
    return nullptr;
}

std::string target_path(std::string const& target)
{
    return target.substr(0, target.find('?'));
}

std::string query_parameter(std::string const& target, std::string const& name)
{
    auto const mark = target.find('?');
    if (mark == std::string::npos)
        return {};
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(target.c_str() + mark + 1, &pairs) != 0)
        return {};
    char const* found = evhttp_find_header(&pairs, name.c_str());
    std::string text = found != nullptr ? found : "";
    evhttp_clear_headers(&pairs);
    return text;
}

} // namespace sycamorespar
