/// A description of a table row's settings in plain sentences.
#ifndef SYCAMORESPAR_OPERATORS_EXPLAIN_HPP
#define SYCAMORESPAR_OPERATORS_EXPLAIN_HPP

#include "libsycamorespar/table_policy.hpp"

#include <string>

namespace sycamorespar {

/// Describes the row's settings in force, one sentence a line.
std::string explain_row(table_policy const& policy, row_policy const& row);

} // namespace sycamorespar

#endif
