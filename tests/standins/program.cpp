/// Command-line helpers of the stand-ins. The port file is created by a rename,
/// because scripts wait for it and read it as soon as it exists.
#include "standins/program.hpp"

#include <cstdio>
#include <fstream>
#include <random>
#include <stdexcept>

namespace sycamorespar::standins {

endpoint parse_endpoint(std::string const& text)
{
    constexpr int max_port = 65535;
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("expected ADDRESS:PORT, got " + text);
    int const port = std::stoi(text.substr(colon + 1));
    if (port < 0 || port > max_port)
        throw std::invalid_argument("port out of range in " + text);
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        auto const end = std::min(text.find(',', begin), text.size());
        if (end > begin)
            parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

void write_port_file(std::string const& path, std::uint16_t port)
{
    if (path.empty())
        return;
    auto const temporary = path + ".new";
    std::ofstream(temporary) << port << "\n";
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        throw std::runtime_error("can't write the port file " + path);
}

std::uint64_t draw_incarnation()
{
    constexpr int kept_bits = 52;
    std::random_device source;
    std::uint64_t const high = source();
    std::uint64_t const drawn = (high << 32U) | source();
    return (drawn >> (64 - kept_bits)) + 1;
}

} // namespace sycamorespar::standins
