/// A process's service-level counters for the burn report, as JSON.
#ifndef SYCAMORESPAR_OPERATORS_BURN_JSON_HPP
#define SYCAMORESPAR_OPERATORS_BURN_JSON_HPP

#include "libsycamorespar/burn.hpp"
#include "libsycamorespar/result.hpp"

#include <string>
#include <string_view>

namespace sycamorespar {

/// Encodes a snapshot.
std::string encode_burn(burn_snapshot const& from);
/// Decodes a snapshot; or an error of step "burn.decode" with the key's path.
result<burn_snapshot> decode_burn(std::string_view text);

} // namespace sycamorespar

#endif
