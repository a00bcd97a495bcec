/// The table as comma-separated values, for spreadsheets.
#ifndef SYCAMORESPAR_OPERATORS_TABLE_CSV_HPP
#define SYCAMORESPAR_OPERATORS_TABLE_CSV_HPP

#include "libsycamorespar/result.hpp"
#include "libsycamorespar/table.hpp"

#include <string>
#include <string_view>

namespace sycamorespar {

/// Encodes the table as CSV. The first heading is "row@R" with the revision R,
/// which an import uses as its base; failure domains are "domain:NAME".
std::string write_table_csv(table const& from);

/// Parses a table. Its revision is that of the first heading, 0 if that is only
/// "row"; all its cells count as changed at that revision.
/// \return the valid table; or an error of step "csv.read" that names the line
/// or the row and column.
result<table> read_table_csv(std::string_view text);

/// The edit that turns one table into the other. Its base is the revision of
/// the wanted table, so that cells changed by others since then conflict.
table_edit difference(table const& current, table const& wanted);

/// The same table at revision 1, with all cells changed at that revision, for
/// storing as the first table.
table first_revision(table from);

} // namespace sycamorespar

#endif
