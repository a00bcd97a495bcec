/// The operators' table: a grid of text cells with a revision for each cell.
#ifndef SYCAMORESPAR_TABLE_HPP
#define SYCAMORESPAR_TABLE_HPP

#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/result.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar {

/// The row whose domain cells open ("in") or close ("out") a whole failure
/// domain for all rows.
inline constexpr char const* all_rows = "*";

/// Meaning of a column's cells.
enum class column_kind
{
    /// A property of the row: kind, team, weight, objective and the like.
    attribute,
    /// A limit on the row's use of a resource over all workers.
    resource,
    /// "in", "out", or a limit on the row's tasks in that failure domain.
    failure_domain
};

/// A column of the table.
struct table_column
{
    /// The heading, unique in the table.
    std::string name;
    /// Meaning of its cells.
    column_kind kind = column_kind::attribute;

    bool operator==(table_column const&) const = default;
};

/// The address of a cell.
struct cell_address
{
    /// The row's name.
    row_id row;
    /// The column's heading.
    std::string column;

    auto operator<=>(cell_address const&) const = default;
};

/// Content of a cell.
struct table_cell
{
    /// The text; empty for the column's default.
    std::string text;
    /// The table revision that last changed it.
    table_revision changed_at;

    bool operator==(table_cell const&) const = default;
};

/// The whole table at one revision.
struct table
{
    /// Incremented by every accepted edit.
    table_revision revision;
    /// The headings in display order.
    std::vector<table_column> columns;
    /// The rows in display order.
    std::vector<row_id> rows;
    /// The cells; a missing one is empty and was never changed.
    std::map<cell_address, table_cell> cells;

    bool operator==(table const&) const = default;
};

/// A new text for one cell.
struct cell_change
{
    /// The cell.
    cell_address at;
    /// Its new text.
    std::string text;

    bool operator==(cell_change const&) const = default;
};

/// An operator's edit: changes relative to a base revision.
struct table_edit
{
    /// The revision that the operator edited.
    table_revision base;
    /// Columns to add; they must not exist yet.
    std::vector<table_column> add_columns;
    /// Columns to remove; they must exist and be unchanged since the base.
    std::vector<std::string> remove_columns;
    /// Rows to add; they must not exist yet.
    std::vector<row_id> add_rows;
    /// Rows to remove; they must exist and be unchanged since the base.
    std::vector<row_id> remove_rows;
    /// Cells to change.
    std::vector<cell_change> changes;

    bool operator==(table_edit const&) const = default;
};

/// An edit of a cell that was changed since the edit's base revision.
struct cell_conflict
{
    /// The cell.
    cell_address at;
    /// The current text.
    std::string current_text;
    /// The text that the edit asks for; empty for a removal.
    std::string wanted_text;

    bool operator==(cell_conflict const&) const = default;
};

/// An invalid cell, row or column.
struct cell_fault
{
    /// Its address; the column is empty where the whole row is invalid, the row
    /// is empty where the whole column is, and both are empty for the table.
    cell_address at;
    /// The reason, in one line.
    std::string reason;

    bool operator==(cell_fault const&) const = default;
};

/// Why an edit was not accepted.
struct edit_refusal
{
    /// Cells that were changed since the base revision.
    std::vector<cell_conflict> conflicts;
    /// Invalid cells, rows and columns.
    std::vector<cell_fault> faults;
};

/// Maximum number of rows in a table.
inline constexpr std::size_t max_table_rows = 1000;
/// Maximum number of columns in a table.
inline constexpr std::size_t max_table_columns = 64;
/// Maximum length of a row's or column's name, in bytes.
inline constexpr std::size_t max_table_name_bytes = 64;
/// Maximum length of a cell's text, in bytes.
inline constexpr std::size_t max_cell_bytes = 256;

/// Checks names, sizes and that every cell belongs to a row and a column.
/// \return the faults; empty where the shape is valid.
std::vector<cell_fault> check_shape(table const& from);

/// Applies an edit. The result is a valid table with the next revision.
/// Deterministic: the same table and edit give the same result.
/// \return the new table, or why the edit was refused.
std::variant<table, edit_refusal>
apply_edit(table const& current, table_edit const& edit);

/// The text of a cell; empty where it was never set.
std::string const& cell_text(table const& from, cell_address const& at);

/// True where the table has the row.
bool has_row(table const& from, row_id const& row);

/// The column with this heading; null where there is none.
table_column const* find_column(table const& from, std::string const& name);

} // namespace sycamorespar

#endif
