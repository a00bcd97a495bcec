/// Commands on the table. An edit is applied to a local copy first, to show
/// what it changes; a dry run stops there.
#include "operators/table_commands.hpp"

#include "common/json_text.hpp"
#include "libsycamorespar/table_policy.hpp"
#include "operators/explain.hpp"
#include "operators/table_csv.hpp"
#include "operators/table_json.hpp"
#include "operators/text_grid.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace sycamorespar {

namespace {

constexpr int status_conflict = 409;

constexpr char const* accepted_schema = R"({
  "type": "object",
  "required": ["revision"],
  "properties": {"revision": {"type": "integer", "minimum": 0}}
})";

constexpr char const* status_schema = R"({
  "type": "object",
  "required": ["processes"],
  "properties": {"processes": {"type": "array", "items": {
    "type": "object",
    "required": ["name", "kind", "revision", "age_ms"],
    "properties": {
      "name": {"type": "string"},
      "kind": {"type": "string"},
      "revision": {"type": "integer", "minimum": 0},
      "age_ms": {"type": "integer"}}}}}
})";

command_result invalid_answer(error const& problem)
{
    return {
        command_exit::unknown, "",
        "the entry's answer can't be read: " + problem.reason};
}

/// Fetches the table; or the command's result if that fails.
std::variant<table, command_result> fetch_table(entry_call const& call)
{
    auto const answer = call({"GET", "/table", {}, ""});
    if (!succeeded(answer))
        return failed_command(answer, false);
    auto read = decode_table(value(answer).body);
    if (!ok(read))
        return invalid_answer(failure(read));
    return take(std::move(read));
}

/// Parses a response's body and validates it.
result<nlohmann::json>
read_body(http_response const& answer, char const* schema)
{
    auto parsed = parse_json(answer.body);
    if (!ok(parsed))
        return parsed;
    auto const valid = validate_json(value(parsed), schema);
    if (!ok(valid))
        return failure(valid);
    return parsed;
}

std::string cell_location(cell_address const& at)
{
    if (at.column.empty())
        return at.row.value.empty() ? "table" : "row " + at.row.value;
    if (at.row.value.empty())
        return "column " + at.column;
    return at.row.value + " " + at.column;
}

std::string describe(edit_refusal const& refusal)
{
    std::string text;
    for (auto const& conflict : refusal.conflicts)
        text += fmt::format(
            "\n{}: changed by another operator to \"{}\"; you want \"{}\"",
            cell_location(conflict.at), conflict.current_text,
            conflict.wanted_text);
    for (auto const& fault : refusal.faults)
        text += "\n" + cell_location(fault.at) + ": " + fault.reason;
    return text;
}

command_result refused_edit(edit_refusal const& refusal, output_format format)
{
    command_result refused{
        command_exit::refused, "",
        "refused, nothing was changed:" + describe(refusal)};
    if (format == output_format::json)
        refused.output = encode_refusal(refusal) + "\n";
    return refused;
}

bool is_added(table_edit const& edit, row_id const& row)
{
    auto const& added = edit.add_rows;
    return std::find(added.begin(), added.end(), row) != added.end();
}

/// The cells that an edit sets in a row, in one line.
std::string cells_of(table_edit const& edit, row_id const& row)
{
    std::string text;
    for (auto const& change : edit.changes) {
        if (change.at.row == row)
            text += fmt::format(" {}=\"{}\"", change.at.column, change.text);
    }
    return text;
}

std::string describe(table const& current, table_edit const& edit)
{
    std::string text;
    for (auto const& column : edit.remove_columns)
        text += "column " + column + " removed\n";
    for (auto const& column : edit.add_columns)
        text += "column " + column.name + " added\n";
    for (auto const& row : edit.remove_rows)
        text += "row " + row.value + " removed\n";
    for (auto const& row : edit.add_rows)
        text += "row " + row.value + " added:" + cells_of(edit, row) + "\n";
    // The cells of a new row are printed with the row.
    for (auto const& change : edit.changes) {
        if (is_added(edit, change.at.row))
            continue;
        text += fmt::format(
            "{}: \"{}\" -> \"{}\"\n", cell_location(change.at),
            cell_text(current, change.at), change.text);
    }
    return text;
}

bool is_empty(table const& current, table_edit const& edit)
{
    bool const same_rows = edit.add_rows.empty() && edit.remove_rows.empty();
    bool const same_columns =
        edit.add_columns.empty() && edit.remove_columns.empty();
    bool const same_cells = std::all_of(
        edit.changes.begin(), edit.changes.end(), [&](auto const& change) {
            return cell_text(current, change.at) == change.text;
        });
    return same_rows && same_columns && same_cells;
}

command_result unchanged(table const& current, output_format format)
{
    if (format == output_format::json)
        return {
            command_exit::success,
            fmt::format("{{\"revision\":{}}}\n", current.revision.value), ""};
    return {
        command_exit::success,
        fmt::format(
            "nothing to change at revision {}\n", current.revision.value),
        ""};
}

command_result dry_run_result(
    std::string const& changes, table const& next, output_format format)
{
    if (format == output_format::json)
        return {command_exit::success, value(encode_table(next)) + "\n", ""};
    return {
        command_exit::success,
        changes +
            fmt::format("dry run: would be revision {}\n", next.revision.value),
        ""};
}

command_result send_edit(
    entry_call const& call, table_edit const& edit, std::string const& changes,
    output_format format)
{
    auto const answer = call(
        {"POST",
         "/table/edit",
         {{"Content-Type", "application/json"}},
         encode_edit(edit)});
    if (ok(answer) && value(answer).status == status_conflict) {
        auto const refusal = decode_refusal(value(answer).body);
        if (ok(refusal))
            return refused_edit(value(refusal), format);
    }
    if (!succeeded(answer))
        return failed_command(answer, true);
    auto const body = read_body(value(answer), accepted_schema);
    if (!ok(body))
        return invalid_answer(failure(body));
    auto const revision = value(body)["revision"].get<std::uint64_t>();
    if (format == output_format::json)
        return {
            command_exit::success,
            fmt::format("{{\"revision\":{}}}\n", revision), ""};
    return {
        command_exit::success, changes + fmt::format("revision {}\n", revision),
        ""};
}

command_result make_edit(
    entry_call const& call, table const& current, table_edit const& edit,
    edit_options const& options)
{
    if (is_empty(current, edit))
        return unchanged(current, options.format);
    auto const applied = apply_edit(current, edit);
    if (auto const* refusal = std::get_if<edit_refusal>(&applied))
        return refused_edit(*refusal, options.format);
    auto const changes = describe(current, edit);
    if (options.dry_run)
        return dry_run_result(
            changes, std::get<table>(applied), options.format);
    return send_edit(call, edit, changes, options.format);
}

/// Imports the first table as an edit of the empty table; an entry that already
/// has a table rejects it.
command_result import_first_table(
    entry_call const& call, table const& wanted, edit_options const& options)
{
    table const none;
    return make_edit(call, none, difference(none, wanted), options);
}

} // namespace

command_result show_table(entry_call const& call, output_format format)
{
    auto const fetched = fetch_table(call);
    if (auto const* failed = std::get_if<command_result>(&fetched))
        return *failed;
    auto const& current = std::get<table>(fetched);
    if (format == output_format::json)
        return {command_exit::success, value(encode_table(current)) + "\n", ""};
    text_grid grid{{"row"}};
    for (auto const& column : current.columns)
        grid.front().push_back(column.name);
    for (auto const& row : current.rows) {
        std::vector<std::string> line{row.value};
        for (auto const& column : current.columns)
            line.push_back(cell_text(current, {row, column.name}));
        grid.push_back(std::move(line));
    }
    return {
        command_exit::success,
        fmt::format("revision {}\n", current.revision.value) +
            render_grid(grid),
        ""};
}

command_result export_table(entry_call const& call)
{
    auto const fetched = fetch_table(call);
    if (auto const* failed = std::get_if<command_result>(&fetched))
        return *failed;
    return {
        command_exit::success, write_table_csv(std::get<table>(fetched)), ""};
}

command_result import_table(
    entry_call const& call, std::string const& csv, edit_options const& options)
{
    auto read = read_table_csv(csv);
    if (!ok(read))
        return refused_command(failure(read).reason);
    auto wanted = take(std::move(read));
    if (options.base)
        wanted.revision = *options.base;
    auto const fetched = fetch_table(call);
    bool const has_base = wanted.revision != table_revision{};
    if (auto const* failed = std::get_if<command_result>(&fetched)) {
        if (failed->code == command_exit::not_run && !has_base)
            return import_first_table(call, wanted, options);
        return *failed;
    }
    if (!has_base)
        return refused_command(
            "there is a table already, and the file names no base revision: "
            "export it first, or give --base");
    auto const& current = std::get<table>(fetched);
    return make_edit(call, current, difference(current, wanted), options);
}

command_result edit_cell(
    entry_call const& call, cell_change const& change,
    edit_options const& options)
{
    auto const fetched = fetch_table(call);
    if (auto const* failed = std::get_if<command_result>(&fetched))
        return *failed;
    auto const& current = std::get<table>(fetched);
    table_edit edit;
    edit.base = options.base.value_or(current.revision);
    edit.changes.push_back(change);
    return make_edit(call, current, edit, options);
}

command_result set_domain(
    entry_call const& call, failure_domain_id const& domain, bool in_service,
    edit_options const& options)
{
    cell_change const change{
        {row_id{all_rows}, domain.value}, in_service ? "in" : "out"};
    return edit_cell(call, change, options);
}

command_result show_table_status(entry_call const& call, output_format format)
{
    auto const answer = call({"GET", "/table/status", {}, ""});
    if (!succeeded(answer))
        return failed_command(answer, false);
    auto const body = read_body(value(answer), status_schema);
    if (!ok(body))
        return invalid_answer(failure(body));
    if (format == output_format::json)
        return {command_exit::success, value(body).dump() + "\n", ""};
    text_grid grid{{"process", "kind", "revision", "last report ms ago"}};
    std::uint64_t newest = 0;
    for (auto const& process : value(body)["processes"])
        newest = std::max(newest, process["revision"].get<std::uint64_t>());
    std::size_t behind = 0;
    for (auto const& process : value(body)["processes"]) {
        auto const revision = process["revision"].get<std::uint64_t>();
        behind += revision < newest ? 1 : 0;
        grid.push_back(
            {process["name"], process["kind"], std::to_string(revision),
             std::to_string(process["age_ms"].get<std::int64_t>())});
    }
    return {
        command_exit::success,
        render_grid(grid) + fmt::format(
                                "newest revision {}; {} of {} processes are "
                                "behind\n",
                                newest, behind, grid.size() - 1),
        ""};
}

command_result explain_row_command(entry_call const& call, row_id const& row)
{
    auto const fetched = fetch_table(call);
    if (auto const* failed = std::get_if<command_result>(&fetched))
        return *failed;
    // decode_table() has checked that the table is a valid policy.
    auto const policy =
        std::get<table_policy>(read_policy(std::get<table>(fetched)));
    auto const* found = find_row(policy, row);
    if (found == nullptr)
        return refused_command("the table has no row " + row.value);
    return {command_exit::success, explain_row(policy, *found), ""};
}

} // namespace sycamorespar
