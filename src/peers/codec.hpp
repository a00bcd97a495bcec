/// Encodes and decodes messages and shard snapshots.
#ifndef SYCAMORESPAR_PEERS_CODEC_HPP
#define SYCAMORESPAR_PEERS_CODEC_HPP

#include "libsycamorespar/job.hpp"
#include "libsycamorespar/result.hpp"
#include "peers/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorespar::peers {

/// Size in bytes of the largest message that is decoded.
inline constexpr std::size_t max_message_bytes = 4 * 1024 * 1024;

/// Encodes a message.
std::string encode(envelope const& sent);

/// Decodes a message.
/// \return an error if it is truncated, too large, nested too deeply or of an
///         unknown kind.
result<envelope> decode(std::string_view bytes);

/// Encodes a shard in its stored form.
std::string encode_shard(shard_snapshot const& snapshot);

/// Decodes a shard from its stored form.
result<shard_snapshot> decode_shard(std::string_view bytes);

/// The 64-bit XXH3 hash of the bytes.
std::uint64_t checksum(std::string_view bytes);

} // namespace sycamorespar::peers

#endif
