/// The table, its edits and refusals as JSON texts of limited size.
#ifndef SYCAMORESPAR_OPERATORS_TABLE_JSON_HPP
#define SYCAMORESPAR_OPERATORS_TABLE_JSON_HPP

#include "libsycamorespar/result.hpp"
#include "libsycamorespar/table.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace sycamorespar {

/// The most bytes of an encoded table: the store's limit for one value, less a
/// reserve for the data stored with it.
inline constexpr std::size_t max_table_bytes = 900'000;
/// The most bytes of an encoded edit or refusal.
inline constexpr std::size_t max_edit_bytes = 900'000;

/// Encodes a table; or an error of step "table.encode" if it is too long.
result<std::string> encode_table(table const& from);
/// Decodes a valid table; or an error of step "table.decode".
result<table> decode_table(std::string_view text);

/// Encodes an edit.
std::string encode_edit(table_edit const& from);
/// Decodes an edit; or an error of step "edit.decode" with the key's path.
result<table_edit> decode_edit(std::string_view text);

/// Encodes a refusal.
std::string encode_refusal(edit_refusal const& from);
/// Decodes a refusal; or an error of step "refusal.decode".
result<edit_refusal> decode_refusal(std::string_view text);

} // namespace sycamorespar

#endif
