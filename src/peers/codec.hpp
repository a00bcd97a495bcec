/// Turns messages and shard images into bytes and back, with bounds.
#ifndef SYCAMORESPAR_PEERS_CODEC_HPP
#define SYCAMORESPAR_PEERS_CODEC_HPP

#include "libsycamorespar/job.hpp"
#include "libsycamorespar/result.hpp"
#include "peers/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorespar::peers {

/// Bytes of the largest message that is read.
inline constexpr std::size_t max_message_bytes = 4 * 1024 * 1024;

/// The bytes of a message.
std::string encode(envelope const& sent);

/// Reads a message; refuses what is cut, oversized, too deep or of no known
/// kind.
result<envelope> decode(std::string_view bytes);

/// The bytes of a shard as the store keeps them.
std::string encode_shard(shard_snapshot const& snapshot);

/// Reads a shard.
result<shard_snapshot> decode_shard(std::string_view bytes);

/// A checksum of a body.
std::uint64_t checksum(std::string_view bytes);

} // namespace sycamorespar::peers

#endif
