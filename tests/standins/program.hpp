/// Helpers that the stand-in programs share: parsing of command-line values,
/// the file that reports the port in use to scripts, and incarnation numbers.
#ifndef SYCAMORESPAR_TESTS_STANDINS_PROGRAM_HPP
#define SYCAMORESPAR_TESTS_STANDINS_PROGRAM_HPP

#include "common/http_message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamorespar::standins {

/// Parses "address:port"; throws std::invalid_argument.
endpoint parse_endpoint(std::string const& text);

/// Splits at commas and drops empty parts.
std::vector<std::string> split_list(std::string const& text);

/// Writes the port to a file atomically; does nothing if the path is empty.
/// Throws std::runtime_error if the file can't be written.
void write_port_file(std::string const& path, std::uint16_t port);

/// A random incarnation number for this process, from 1 to 2^52.
std::uint64_t draw_incarnation();

} // namespace sycamorespar::standins

#endif
