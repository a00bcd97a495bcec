/// The burn report as text and JSON.
#include "operators/burn_text.hpp"

#include "operators/text_grid.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sycamorespar {

namespace {

constexpr double per_cent = 100.0;
constexpr double microseconds_per_millisecond = 1000.0;

std::string milliseconds_text(std::chrono::microseconds latency)
{
    return fmt::format(
        "{:.1f}",
        static_cast<double>(latency.count()) / microseconds_per_millisecond);
}

std::string exhaustion_text(row_burn const& row)
{
    if (!row.exhausted_in)
        return "not at this rate";
    if (row.exhausted_in->count() == 0)
        return "used up";
    return fmt::format("in {:.1f} h", row.exhausted_in->count() / 60.0);
}

std::string worst_share_text(row_burn const& row)
{
    if (row.shares.empty() || row.shares.front().counts.bad == 0)
        return "-";
    auto const& worst = row.shares.front();
    return fmt::format(
        "{} {:.0f}%",
        worst.domain.value.empty() ? "never ran" : worst.domain.value,
        worst.part * per_cent);
}

nlohmann::json row_json(row_burn const& row)
{
    nlohmann::json shares = nlohmann::json::array();
    for (auto const& share : row.shares)
        shares.push_back(
            {{"domain", share.domain.value},
             {"bad", share.counts.bad},
             {"part", share.part}});
    nlohmann::json encoded{
        {"row", row.row.value},
        {"objective_ms", row.objective.count()},
        {"objective_ratio", row.objective_ratio},
        {"good", row.total.good},
        {"bad", row.total.bad},
        {"burn_rate_5m", row.short_rate},
        {"burn_rate_1h", row.long_rate},
        {"budget_left_ratio", row.budget_left},
        {"p50_us", row.latencies.quantile(0.5).count()},
        {"p99_us", row.latencies.quantile(0.99).count()},
        {"p999_us", row.latencies.quantile(0.999).count()},
        {"greatest_us", row.latencies.greatest().count()},
        {"shares", std::move(shares)},
        {"exhausted_in_min", nullptr}};
    if (row.exhausted_in)
        encoded["exhausted_in_min"] = row.exhausted_in->count();
    return encoded;
}

} // namespace

std::string burn_as_text(burn_page const& page)
{
    text_grid grid{
        {"row", "objective", "answers", "bad", "burn 5m", "burn 1h",
         "budget left", "used up", "burnt by", "p50 ms", "p99 ms", "p99.9 ms"}};
    for (auto const& row : page.report.rows)
        grid.push_back(
            {row.row.value,
             fmt::format(
                 "{:g}% in {} ms", row.objective_ratio * per_cent,
                 row.objective.count()),
             std::to_string(row.total.good + row.total.bad),
             std::to_string(row.total.bad),
             fmt::format("{:.2f}", row.short_rate),
             fmt::format("{:.2f}", row.long_rate),
             fmt::format("{:.2f}%", row.budget_left * per_cent),
             exhaustion_text(row), worst_share_text(row),
             milliseconds_text(row.latencies.quantile(0.5)),
             milliseconds_text(row.latencies.quantile(0.99)),
             milliseconds_text(row.latencies.quantile(0.999))});
    std::string text = render_grid(grid);
    text += fmt::format(
        "counted for {:.1f} min by {} processes\n",
        std::chrono::duration<double, std::ratio<60>>(page.report.observed)
            .count(),
        page.answered);
    for (auto const& problem : page.missing)
        text += fmt::format(
            "missing: {} at {}: {}\n", problem.step, problem.peer,
            problem.reason);
    return text;
}

std::string burn_as_json(burn_page const& page)
{
    nlohmann::json document{
        {"observed_ms", page.report.observed.count()},
        {"processes", page.answered},
        {"rows", nlohmann::json::array()},
        {"missing", nlohmann::json::array()}};
    for (auto const& row : page.report.rows)
        document["rows"].push_back(row_json(row));
    for (auto const& problem : page.missing)
        document["missing"].push_back(
            {{"step", problem.step},
             {"peer", problem.peer},
             {"reason", problem.reason}});
    return document.dump(2) + "\n";
}

} // namespace sycamorespar
