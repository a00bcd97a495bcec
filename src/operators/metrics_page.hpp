/// Constants shared by all metrics pages.
#ifndef SYCAMORESPAR_OPERATORS_METRICS_PAGE_HPP
#define SYCAMORESPAR_OPERATORS_METRICS_PAGE_HPP

namespace sycamorespar {

/// The content type of a page in the text exposition format.
inline constexpr char const* metrics_content_type = "text/plain; version=0.0.4";

} // namespace sycamorespar

#endif
