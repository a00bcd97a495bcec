/// The burn report as one HTML page. Charts are inline SVG, so that the report
/// is a single file.
#include "operators/burn_text.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace sycamorespar {

namespace {

/// All lengths are in SVG user units.
constexpr double bar_width = 400;
constexpr double bar_height = 14;
constexpr double chart_width = 640;
constexpr double chart_height = 120;
/// The burn rate at which the bar is full.
constexpr double full_bar_rate = 10;
constexpr double per_cent = 100.0;

std::string escaped(std::string const& text)
{
    std::string out;
    for (char const letter : text) {
        switch (letter) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += letter;
        }
    }
    return out;
}

/// Red if the error budget would not last its period at this rate.
char const* colour_of(double rate)
{
    return rate > 1 ? "#b3261e" : "#2e7d32";
}

std::string rate_bar(double rate)
{
    double const filled = std::min(rate / full_bar_rate, 1.0) * bar_width;
    return fmt::format(
        "<svg width=\"{0}\" height=\"{1}\" role=\"img\">"
        "<rect width=\"{0}\" height=\"{1}\" fill=\"#eee\"/>"
        "<rect width=\"{2:.1f}\" height=\"{1}\" fill=\"{3}\"/>"
        "<line x1=\"{4}\" x2=\"{4}\" y2=\"{1}\" stroke=\"#000\"/></svg>",
        bar_width, bar_height, filled, colour_of(rate),
        bar_width / full_bar_rate);
}

/// The latency histogram, both axes logarithmic, with the objective as a line.
std::string latency_chart(row_burn const& row)
{
    auto const snapshot = row.latencies.snapshot();
    constexpr double column = chart_width / (latency_bucket_count + 2);
    std::uint64_t most = 1;
    for (auto const& bucket : snapshot.buckets)
        most = std::max(most, bucket.count);
    double const scale = chart_height / std::log1p(static_cast<double>(most));
    std::string svg = fmt::format(
        "<svg width=\"{}\" height=\"{}\" role=\"img\">", chart_width,
        chart_height);
    double objective_at = 0;
    for (int index = -1; index <= latency_bucket_count; ++index) {
        if (latency_histogram::upper_bound(index) <= row.objective)
            objective_at = (index + 2) * column;
    }
    for (auto const& bucket : snapshot.buckets) {
        double const height =
            std::log1p(static_cast<double>(bucket.count)) * scale;
        svg += fmt::format(
            "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
            "height=\"{:.1f}\" fill=\"#4a6fa5\"/>",
            (bucket.index + 1) * column, chart_height - height, column, height);
    }
    return svg + fmt::format(
                     "<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y2=\"{1}\" "
                     "stroke=\"#b3261e\"/></svg>",
                     objective_at, chart_height);
}

std::string shares_list(row_burn const& row)
{
    std::string list;
    for (auto const& share : row.shares) {
        if (share.counts.bad == 0)
            continue;
        auto const& domain = share.domain.value;
        list += fmt::format(
            "<li>{}: {} bad answers, {:.0f}%</li>",
            domain.empty() ? "never ran" : escaped(domain), share.counts.bad,
            share.part * per_cent);
    }
    return list.empty() ? "" : "<ul>" + list + "</ul>";
}

std::string row_section(row_burn const& row)
{
    std::string text = fmt::format(
        "<h2>{}</h2>\n<p>{:g}% within {} ms; {} answers, {} bad; {:.2f}% of "
        "the budget left.</p>\n",
        escaped(row.row.value), row.objective_ratio * per_cent,
        row.objective.count(), row.total.good + row.total.bad, row.total.bad,
        row.budget_left * per_cent);
    text += fmt::format(
        "<p>Burn rate over 1 h: {:.2f}, over 5 min: {:.2f} (the mark is at "
        "1)</p>\n",
        row.long_rate, row.short_rate);
    text += rate_bar(row.long_rate) + "<br>" + rate_bar(row.short_rate) + "\n";
    text += shares_list(row);
    return text +
           "<p>Latencies, both axes logarithmic; the line is the "
           "objective</p>\n" +
           latency_chart(row) + "\n";
}

} // namespace

std::string burn_as_html(burn_page const& page)
{
    std::string text =
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>Service-level burn</title></head>\n<body>\n"
        "<h1>Service-level burn</h1>\n";
    text += fmt::format(
        "<p>Counted for {:.1f} min by {} processes.</p>\n",
        std::chrono::duration<double, std::ratio<60>>(page.report.observed)
            .count(),
        page.answered);
    for (auto const& problem : page.missing)
        text += fmt::format(
            "<p>Missing: {}: {}</p>\n", escaped(problem.peer),
            escaped(problem.reason));
    for (auto const& row : page.report.rows)
        text += row_section(row);
    return text + "</body></html>\n";
}

} // namespace sycamorespar
