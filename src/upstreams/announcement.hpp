/// Announcements that an upstream sends to the agent beside it.
#ifndef SYCAMORESPAR_UPSTREAMS_ANNOUNCEMENT_HPP
#define SYCAMORESPAR_UPSTREAMS_ANNOUNCEMENT_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar::upstreams {

/// An upstream's announcement.
struct announcement
{
    /// Name of the upstream; letters, digits, '.', '_' and '-'.
    std::string upstream;
    /// The endpoint that accepts requests.
    endpoint where;
    /// The table rows that it serves; at least one.
    std::vector<row_id> rows;
    /// Number of requests that it processes concurrently.
    std::uint32_t slots = 0;
    /// Number of connections that it accepts; at least `slots`.
    std::uint32_t connections = 0;
    /// The incarnation of the upstream's process.
    sycamorespar::incarnation incarnation;
};

/// Parses a JSON announcement.
/// \return the announcement, or an error whose step is the path of the first
///         invalid member.
result<announcement> parse_announcement(std::string const& body);

} // namespace sycamorespar::upstreams

#endif
