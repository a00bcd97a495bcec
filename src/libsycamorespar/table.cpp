/// Edits of the table. Conflicts are detected by the revision of each cell, so
/// edits of different cells never conflict. Adding a row or column sets the
/// revision of all its cells: one that was removed and added again since the
/// base revision conflicts like one that was changed.
#include "libsycamorespar/table.hpp"

#include "libsycamorespar/table_policy.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamorespar {

namespace {

bool is_name(std::string const& text)
{
    auto const allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= max_table_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

bool is_printable(std::string const& text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        constexpr unsigned char first_printable = 0x20;
        constexpr unsigned char deleted = 0x7F;
        auto const code = static_cast<unsigned char>(letter);
        return code >= first_printable && code != deleted;
    });
}

/// The names of a table's rows and columns, for checking its cells.
struct name_index
{
    std::set<row_id> rows;
    std::set<std::string> columns;
};

void check_cell(
    name_index const& names, cell_address const& at, table_cell const& cell,
    std::vector<cell_fault>& faults)
{
    if (!names.rows.contains(at.row) || !names.columns.contains(at.column))
        faults.push_back({at, "no such row or column"});
    if (cell.text.size() > max_cell_bytes)
        faults.push_back({at, "longer than a cell may be"});
    if (!is_printable(cell.text))
        faults.push_back({at, "control characters"});
}

name_index check_names(table const& from, std::vector<cell_fault>& faults)
{
    name_index names;
    for (auto const& row : from.rows) {
        if (!names.rows.insert(row).second)
            faults.push_back({{row, ""}, "the row stands twice"});
        if (row.value != all_rows && !is_name(row.value))
            faults.push_back({{row, ""}, "not a valid name"});
    }
    for (auto const& column : from.columns) {
        if (!names.columns.insert(column.name).second)
            faults.push_back({{{}, column.name}, "the column stands twice"});
        if (!is_name(column.name))
            faults.push_back({{{}, column.name}, "not a valid name"});
    }
    if (!names.rows.contains(row_id{all_rows}))
        faults.push_back({{row_id{all_rows}, ""}, "the row is missing"});
    return names;
}

/// Applies one edit and collects its conflicts and faults.
class edit_application
{
public:
    edit_application(table const& current, table_edit const& edit)
        : current_(current), edit_(edit), next_(current)
    {
        next_.revision = table_revision{current.revision.value + 1};
    }

    std::variant<table, edit_refusal> apply()
    {
        if (edit_.base > current_.revision)
            refusal_.faults.push_back(
                {{}, "the base revision is higher than the table's"});
        remove_rows();
        remove_columns();
        add_columns();
        add_rows();
        change_cells();
        if (refusal_.conflicts.empty() && refusal_.faults.empty())
            check_result();
        if (!refusal_.conflicts.empty() || !refusal_.faults.empty())
            return std::move(refusal_);
        return std::move(next_);
    }

private:
    void add_fault(cell_address at, std::string reason)
    {
        refusal_.faults.push_back({std::move(at), std::move(reason)});
    }

    bool changed_since_base(table_cell const& cell) const
    {
        return cell.changed_at > edit_.base;
    }

    /// Erases the chosen cells; those changed since the base revision are
    /// conflicts.
    template<class Predicate>
    void remove_cells(Predicate chosen)
    {
        for (auto const& [at, cell] : current_.cells) {
            if (!chosen(at))
                continue;
            if (changed_since_base(cell))
                refusal_.conflicts.push_back({at, cell.text, ""});
            next_.cells.erase(at);
        }
    }

    void remove_rows()
    {
        for (auto const& row : edit_.remove_rows) {
            if (row.value == all_rows)
                add_fault({row, ""}, "this row can't be removed");
            if (std::erase(next_.rows, row) == 0)
                add_fault({row, ""}, "no such row");
            remove_cells([&](auto const& at) { return at.row == row; });
        }
    }

    void remove_columns()
    {
        for (auto const& name : edit_.remove_columns) {
            auto const same_name = [&](auto const& column) {
                return column.name == name;
            };
            if (std::erase_if(next_.columns, same_name) == 0)
                add_fault({{}, name}, "no such column");
            remove_cells([&](auto const& at) { return at.column == name; });
        }
    }

    void add_empty_cell(cell_address at)
    {
        next_.cells[std::move(at)] = table_cell{"", next_.revision};
    }

    void add_columns()
    {
        for (auto const& column : edit_.add_columns) {
            if (find_column(next_, column.name) != nullptr)
                add_fault({{}, column.name}, "the column exists already");
            next_.columns.push_back(column);
            for (auto const& row : next_.rows)
                add_empty_cell({row, column.name});
        }
    }

    void add_rows()
    {
        for (auto const& row : edit_.add_rows) {
            if (has_row(next_, row))
                add_fault({row, ""}, "the row exists already");
            next_.rows.push_back(row);
            for (auto const& column : next_.columns)
                add_empty_cell({row, column.name});
        }
    }

    void change_cells()
    {
        std::set<cell_address> seen;
        for (auto const& change : edit_.changes) {
            if (!seen.insert(change.at).second)
                add_fault(change.at, "changed twice by one edit");
            change_cell(change);
        }
    }

    void change_cell(cell_change const& change)
    {
        if (!has_row(next_, change.at.row))
            return add_fault(change.at, "no such row");
        if (find_column(next_, change.at.column) == nullptr)
            return add_fault(change.at, "no such column");
        if (cell_text(next_, change.at) == change.text)
            return;
        auto& cell = next_.cells[change.at];
        bool const added_by_this_edit = cell.changed_at == next_.revision;
        if (changed_since_base(cell) && !added_by_this_edit)
            refusal_.conflicts.push_back({change.at, cell.text, change.text});
        cell = {change.text, next_.revision};
    }

    void check_result()
    {
        auto const read = read_policy(next_);
        auto const* faults = std::get_if<std::vector<cell_fault>>(&read);
        if (faults != nullptr)
            refusal_.faults = *faults;
    }

    table const& current_;
    table_edit const& edit_;
    table next_;
    edit_refusal refusal_;
};

} // namespace

bool has_row(table const& from, row_id const& row)
{
    return std::find(from.rows.begin(), from.rows.end(), row) !=
           from.rows.end();
}

table_column const* find_column(table const& from, std::string const& name)
{
    auto const found = std::find_if(
        from.columns.begin(), from.columns.end(),
        [&](auto const& column) { return column.name == name; });
    return found == from.columns.end() ? nullptr : &*found;
}

std::string const& cell_text(table const& from, cell_address const& at)
{
    static std::string const empty;
    auto const found = from.cells.find(at);
    return found == from.cells.end() ? empty : found->second.text;
}

std::vector<cell_fault> check_shape(table const& from)
{
    std::vector<cell_fault> faults;
    if (from.rows.size() > max_table_rows)
        faults.push_back({{}, "too many rows"});
    if (from.columns.size() > max_table_columns)
        faults.push_back({{}, "too many columns"});
    if (!faults.empty())
        return faults;
    auto const names = check_names(from, faults);
    for (auto const& [at, cell] : from.cells) {
        check_cell(names, at, cell, faults);
        if (cell.changed_at > from.revision)
            faults.push_back({at, "changed after the table's revision"});
    }
    return faults;
}

std::variant<table, edit_refusal>
apply_edit(table const& current, table_edit const& edit)
{
    return edit_application(current, edit).apply();
}

} // namespace sycamorespar
