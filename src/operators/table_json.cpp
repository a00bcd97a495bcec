/// The table as JSON. Untrusted texts are validated against a schema first, so
/// that the decoders can rely on keys and types.
#include "operators/table_json.hpp"

#include "common/json_text.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <array>
#include <utility>

namespace sycamorespar {

namespace {

using nlohmann::json;

constexpr std::size_t max_table_depth = 4;

constexpr char const* table_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["revision", "columns", "rows", "cells"],
  "properties": {
    "revision": {"type": "integer", "minimum": 0},
    "columns": {"type": "array", "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "kind"],
      "properties": {
        "name": {"type": "string"},
        "kind": {"enum": ["attribute", "resource", "failure_domain"]}}}},
    "rows": {"type": "array", "items": {"type": "string"}},
    "cells": {"type": "array", "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["row", "column", "text", "changed_at"],
      "properties": {
        "row": {"type": "string"},
        "column": {"type": "string"},
        "text": {"type": "string"},
        "changed_at": {"type": "integer", "minimum": 0}}}}
  }
})";

constexpr char const* edit_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["base"],
  "properties": {
    "base": {"type": "integer", "minimum": 0},
    "add_columns": {"type": "array", "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "kind"],
      "properties": {
        "name": {"type": "string"},
        "kind": {"enum": ["attribute", "resource", "failure_domain"]}}}},
    "remove_columns": {"type": "array", "items": {"type": "string"}},
    "add_rows": {"type": "array", "items": {"type": "string"}},
    "remove_rows": {"type": "array", "items": {"type": "string"}},
    "changes": {"type": "array", "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["row", "column", "text"],
      "properties": {
        "row": {"type": "string"},
        "column": {"type": "string"},
        "text": {"type": "string"}}}}
  }
})";

constexpr char const* refusal_schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["conflicts", "faults"],
  "properties": {
    "conflicts": {"type": "array", "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["row", "column", "current", "wanted"],
      "properties": {
        "row": {"type": "string"},
        "column": {"type": "string"},
        "current": {"type": "string"},
        "wanted": {"type": "string"}}}},
    "faults": {"type": "array", "items": {
      "type": "object",
      "additionalProperties": false,
      "required": ["row", "column", "reason"],
      "properties": {
        "row": {"type": "string"},
        "column": {"type": "string"},
        "reason": {"type": "string"}}}}
  }
})";

/// A column kind and its name in JSON.
struct kind_name
{
    column_kind kind;
    char const* name;
};

constexpr std::array kind_names{
    kind_name{column_kind::attribute, "attribute"},
    kind_name{column_kind::resource, "resource"},
    kind_name{column_kind::failure_domain, "failure_domain"}};

json encode_column(table_column const& column)
{
    for (auto const& known : kind_names) {
        if (known.kind == column.kind)
            return {{"name", column.name}, {"kind", known.name}};
    }
    return {};
}

table_column decode_column(json const& from)
{
    table_column column{from["name"], column_kind::attribute};
    for (auto const& known : kind_names) {
        if (from["kind"] == known.name)
            column.kind = known.kind;
    }
    return column;
}

cell_address decode_address(json const& from)
{
    return {row_id{from["row"]}, from["column"]};
}

json encode_address(cell_address const& at)
{
    return {{"row", at.row.value}, {"column", at.column}};
}

/// Parses a text and validates it; errors have the given step.
result<json> decode_checked(
    std::string_view text, std::size_t max_bytes, char const* schema,
    char const* step)
{
    auto document = parse_json(text, {max_bytes, max_table_depth});
    if (!ok(document))
        return error{step, "", failure(document).reason};
    auto const valid = validate_json(value(document), schema);
    if (!ok(valid))
        return error{step, "", failure(valid).reason};
    return document;
}

std::string describe(cell_fault const& fault)
{
    return "row \"" + fault.at.row.value + "\", column \"" + fault.at.column +
           "\": " + fault.reason;
}

/// The array of a key; empty if the key is absent.
json const& list_of(json const& from, char const* key)
{
    static json const none = json::array();
    auto const found = from.find(key);
    return found == from.end() ? none : *found;
}

} // namespace

result<std::string> encode_table(table const& from)
{
    json columns = json::array();
    for (auto const& column : from.columns)
        columns.push_back(encode_column(column));
    json rows = json::array();
    for (auto const& row : from.rows)
        rows.push_back(row.value);
    json cells = json::array();
    for (auto const& [at, cell] : from.cells) {
        json each = encode_address(at);
        each["text"] = cell.text;
        each["changed_at"] = cell.changed_at.value;
        cells.push_back(std::move(each));
    }
    json const document{
        {"revision", from.revision.value},
        {"columns", std::move(columns)},
        {"rows", std::move(rows)},
        {"cells", std::move(cells)}};
    auto text = document.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_table_bytes)
        return error{
            "table.encode", "",
            "the table is longer than " + std::to_string(max_table_bytes) +
                " bytes"};
    return text;
}

result<table> decode_table(std::string_view text)
{
    auto const document =
        decode_checked(text, max_table_bytes, table_schema, "table.decode");
    if (!ok(document))
        return failure(document);
    auto const& from = value(document);
    table decoded;
    decoded.revision = table_revision{from["revision"].get<std::uint64_t>()};
    for (auto const& column : from["columns"])
        decoded.columns.push_back(decode_column(column));
    for (auto const& row : from["rows"])
        decoded.rows.emplace_back(row.get<std::string>());
    for (auto const& cell : from["cells"]) {
        table_revision const changed_at{
            cell["changed_at"].get<std::uint64_t>()};
        auto const added = decoded.cells.emplace(
            decode_address(cell), table_cell{cell["text"], changed_at});
        if (!added.second)
            return error{"table.decode", "", "a cell stands twice"};
    }
    auto const read = read_policy(decoded);
    if (auto const* faults = std::get_if<std::vector<cell_fault>>(&read))
        return error{"table.decode", "", describe(faults->front())};
    return decoded;
}

std::string encode_edit(table_edit const& from)
{
    json document{
        {"base", from.base.value},
        {"add_rows", json::array()},
        {"remove_rows", json::array()},
        {"changes", json::array()}};
    for (auto const& column : from.add_columns)
        document["add_columns"].push_back(encode_column(column));
    for (auto const& name : from.remove_columns)
        document["remove_columns"].push_back(name);
    for (auto const& row : from.add_rows)
        document["add_rows"].push_back(row.value);
    for (auto const& row : from.remove_rows)
        document["remove_rows"].push_back(row.value);
    for (auto const& change : from.changes) {
        json each = encode_address(change.at);
        each["text"] = change.text;
        document["changes"].push_back(std::move(each));
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<table_edit> decode_edit(std::string_view text)
{
    auto const document =
        decode_checked(text, max_edit_bytes, edit_schema, "edit.decode");
    if (!ok(document))
        return failure(document);
    auto const& from = value(document);
    table_edit edit;
    edit.base = table_revision{from["base"].get<std::uint64_t>()};
    for (auto const& column : list_of(from, "add_columns"))
        edit.add_columns.push_back(decode_column(column));
    for (auto const& name : list_of(from, "remove_columns"))
        edit.remove_columns.push_back(name);
    for (auto const& row : list_of(from, "add_rows"))
        edit.add_rows.emplace_back(row.get<std::string>());
    for (auto const& row : list_of(from, "remove_rows"))
        edit.remove_rows.emplace_back(row.get<std::string>());
    for (auto const& change : list_of(from, "changes"))
        edit.changes.push_back({decode_address(change), change["text"]});
    return edit;
}

std::string encode_refusal(edit_refusal const& from)
{
    json document{{"conflicts", json::array()}, {"faults", json::array()}};
    for (auto const& conflict : from.conflicts) {
        json each = encode_address(conflict.at);
        each["current"] = conflict.current_text;
        each["wanted"] = conflict.wanted_text;
        document["conflicts"].push_back(std::move(each));
    }
    for (auto const& fault : from.faults) {
        json each = encode_address(fault.at);
        each["reason"] = fault.reason;
        document["faults"].push_back(std::move(each));
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<edit_refusal> decode_refusal(std::string_view text)
{
    auto const document =
        decode_checked(text, max_edit_bytes, refusal_schema, "refusal.decode");
    if (!ok(document))
        return failure(document);
    auto const& from = value(document);
    edit_refusal refusal;
    for (auto const& each : from["conflicts"])
        refusal.conflicts.push_back(
            {decode_address(each), each["current"], each["wanted"]});
    for (auto const& each : from["faults"])
        refusal.faults.push_back({decode_address(each), each["reason"]});
    return refusal;
}

} // namespace sycamorespar
