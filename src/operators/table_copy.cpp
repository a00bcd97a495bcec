/// Applying an edit is deterministic, so a process that holds the base revision
/// needs only the edit: a few hundred bytes instead of the whole table.
#include "operators/table_copy.hpp"

#include "operators/table_csv.hpp"
#include "operators/table_json.hpp"

namespace sycamorespar {

namespace {

error first_fault(std::vector<cell_fault> const& faults)
{
    cell_fault const& first = faults.front();
    return {
        "table.policy", first.at.row.value + "/" + first.at.column,
        first.reason};
}

/// The edit between two consecutive revisions, if applying it reproduces the
/// later one exactly.
std::optional<table_edit> edit_between(table const& from, table const& to)
{
    if (from.revision.value == 0 ||
        to.revision.value != from.revision.value + 1)
        return std::nullopt;
    table_edit edit = difference(from, to);
    edit.base = from.revision;
    auto const applied = apply_edit(from, edit);
    auto const* result = std::get_if<table>(&applied);
    if (result == nullptr || *result != to)
        return std::nullopt;
    return edit;
}

} // namespace

result<bool> table_copy::adopt_text(std::string_view text)
{
    auto parsed = decode_table(text);
    if (!ok(parsed))
        return failure(parsed);
    return adopt(take(std::move(parsed)));
}

result<bool> table_copy::adopt_edit(table_edit const& edit)
{
    if (edit.base != table_.revision)
        return false;
    auto applied = apply_edit(table_, edit);
    if (auto const* refused = std::get_if<edit_refusal>(&applied)) {
        if (!refused->faults.empty())
            return first_fault(refused->faults);
        return error{"table.edit", "", "the edit does not fit its base"};
    }
    return adopt(std::get<table>(std::move(applied)));
}

result<bool> table_copy::adopt(table next)
{
    if (next.revision <= table_.revision)
        return false;
    auto policy = read_policy(next);
    if (auto const* faults = std::get_if<std::vector<cell_fault>>(&policy))
        return first_fault(*faults);
    last_edit_ = edit_between(table_, next);
    policy_ = std::get<table_policy>(std::move(policy));
    table_ = std::move(next);
    return true;
}

std::string table_copy::text() const
{
    if (table_.revision.value == 0)
        return {};
    auto encoded = encode_table(table_);
    return ok(encoded) ? take(std::move(encoded)) : std::string();
}

} // namespace sycamorespar
