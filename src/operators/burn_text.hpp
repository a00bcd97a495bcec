/// The error budget burn report as text, JSON and HTML.
#ifndef SYCAMORESPAR_OPERATORS_BURN_TEXT_HPP
#define SYCAMORESPAR_OPERATORS_BURN_TEXT_HPP

#include "libsycamorespar/burn.hpp"
#include "libsycamorespar/result.hpp"

#include <string>
#include <vector>

namespace sycamorespar {

/// A burn report and how complete it is.
struct burn_page
{
    /// The combined burn of all processes that answered.
    burn_report report;
    /// The number of processes that answered.
    std::size_t answered = 0;
    /// One error for each process that did not answer.
    std::vector<error> missing;
};

/// The report as aligned text.
std::string burn_as_text(burn_page const& page);
/// The report as JSON.
std::string burn_as_json(burn_page const& page);
/// The report as one HTML page with its charts inline.
std::string burn_as_html(burn_page const& page);

} // namespace sycamorespar

#endif
