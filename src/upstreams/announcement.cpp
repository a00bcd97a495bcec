/// Parses announcements from JSON. All numbers and texts are limited, as the
/// agent allocates memory according to them.
#include "upstreams/announcement.hpp"

#include "common/json_reader.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>

namespace sycamorespar::upstreams {

namespace {

constexpr std::size_t max_body_bytes = 64 * 1024;
constexpr std::size_t max_name_bytes = 128;
constexpr std::size_t max_rows = 256;
constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_connections = 65535;

bool is_name(std::string const& text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char each) {
        return std::isalnum(each) != 0 || each == '.' || each == '_' ||
               each == '-';
    });
}

bool is_ip_number(std::string const& text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

std::uint32_t read_count(json_reader& from, char const* name, std::int64_t most)
{
    return static_cast<std::uint32_t>(from.number(name, {1, most}));
}

result<announcement> check(announcement read)
{
    if (!is_name(read.upstream))
        return error{"announcement.upstream", "", "holds other than names do"};
    if (!is_ip_number(read.where.address))
        return error{"announcement.address", "", "is not an IP number"};
    if (read.rows.empty())
        return error{"announcement.rows", "", "is empty"};
    if (read.connections < read.slots)
        return error{"announcement.connections", "", "is less than the slots"};
    return read;
}

} // namespace

result<announcement> parse_announcement(std::string const& body)
{
    json_limits limits;
    limits.max_bytes = max_body_bytes;
    auto const parsed = parse_json(body, limits);
    if (!ok(parsed))
        return failure(parsed);
    json_reader reader(value(parsed), "announcement");
    announcement read;
    read.upstream = reader.text("upstream", max_name_bytes);
    read.where.address = reader.text("address", INET6_ADDRSTRLEN);
    read.where.port =
        static_cast<std::uint16_t>(reader.number("port", {1, max_port}));
    for (auto& row : reader.texts("rows", max_rows, max_name_bytes))
        read.rows.emplace_back(std::move(row));
    read.slots = read_count(reader, "slots", max_slots);
    read.connections = read_count(reader, "connections", max_connections);
    read.incarnation = sycamorespar::incarnation(
        static_cast<std::uint64_t>(reader.number("incarnation", {1})));
    if (reader.fault())
        return *reader.fault();
    return check(std::move(read));
}

} // namespace sycamorespar::upstreams
