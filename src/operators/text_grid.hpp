/// Text in aligned columns, for terminals.
#ifndef SYCAMORESPAR_OPERATORS_TEXT_GRID_HPP
#define SYCAMORESPAR_OPERATORS_TEXT_GRID_HPP

#include <string>
#include <vector>

namespace sycamorespar {

/// Rows of fields; the first row is the heading.
using text_grid = std::vector<std::vector<std::string>>;

/// Formats the rows with each column as wide as its longest field.
std::string render_grid(text_grid const& grid);

} // namespace sycamorespar

#endif
