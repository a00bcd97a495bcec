/// The operators' commands on the table.
#ifndef SYCAMORESPAR_OPERATORS_TABLE_COMMANDS_HPP
#define SYCAMORESPAR_OPERATORS_TABLE_COMMANDS_HPP

#include "libsycamorespar/table.hpp"
#include "operators/command_result.hpp"

#include <optional>
#include <string>

namespace sycamorespar {

/// Options of the commands that edit the table.
struct edit_options
{
    /// How the result is printed.
    output_format format = output_format::text;
    /// Only show what would change.
    bool dry_run = false;
    /// The revision that the edit is based on; the current one if absent.
    std::optional<table_revision> base;
};

/// Prints the table, as aligned text or as JSON.
command_result show_table(entry_call const& call, output_format format);

/// Prints the table as CSV.
command_result export_table(entry_call const& call);

/// Replaces the table with a CSV text. The base revision is that of the
/// options, else that of the text; a text without one can only be imported as
/// the first table.
command_result import_table(
    entry_call const& call, std::string const& csv,
    edit_options const& options);

/// Changes one cell.
command_result edit_cell(
    entry_call const& call, cell_change const& change,
    edit_options const& options);

/// Takes a failure domain out of service for all rows, or brings it back.
command_result set_domain(
    entry_call const& call, failure_domain_id const& domain, bool in_service,
    edit_options const& options);

/// Prints the table revision that each process uses.
command_result show_table_status(entry_call const& call, output_format format);

/// Prints a description of a row's settings.
command_result explain_row_command(entry_call const& call, row_id const& row);

} // namespace sycamorespar

#endif
