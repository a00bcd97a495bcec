/// Converts the table to its typed form. Empty cells get safe defaults: a row
/// is not repeatable unless the table says so.
#include "libsycamorespar/table_policy.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <string_view>

namespace sycamorespar {

namespace {

constexpr double max_weight = 10'000.0;
constexpr std::int64_t max_objective_ms = 86'400'000;
constexpr std::int64_t max_queue_limit = 1'000'000;
constexpr std::int64_t max_reclaim_s = 31'536'000;
constexpr std::int64_t max_tasks = 10'000'000;
constexpr std::int64_t max_accelerators = 1'000'000;
constexpr double max_cores = 10'000'000.0;
constexpr double max_memory_gib = 100'000'000.0;
constexpr double millicores_per_core = 1000.0;
constexpr double mib_per_gib = 1024.0;

/// Why a cell is invalid; empty where it is valid.
using fault_text = std::string;

template<class Number>
bool read_number(std::string const& text, Number& number)
{
    auto const* end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc{} && read.ptr == end;
}

fault_text read_integer(
    std::string const& text, std::int64_t low, std::int64_t high,
    std::int64_t& number)
{
    if (read_number(text, number) && number >= low && number <= high)
        return {};
    return "must be a whole number from " + std::to_string(low) + " to " +
           std::to_string(high);
}

fault_text read_yes_no(std::string const& text, bool& answer)
{
    if (text != "yes" && text != "no")
        return "must be yes or no";
    answer = text == "yes";
    return {};
}

fault_text read_kind(std::string const& text, row_policy& row)
{
    if (text == "service")
        row.kind = row_kind::service;
    else if (text == "batch")
        row.kind = row_kind::batch;
    else if (text == "watcher")
        row.kind = row_kind::watcher;
    else
        return "must be service, batch or watcher";
    return {};
}

fault_text read_team(std::string const& text, row_policy& row)
{
    row.team = team_id{text};
    return {};
}

fault_text read_note(std::string const& text, row_policy& row)
{
    row.note = text;
    return {};
}

fault_text read_weight(std::string const& text, row_policy& row)
{
    if (read_number(text, row.weight) && row.weight > 0 &&
        row.weight <= max_weight)
        return {};
    return "must be a number above 0, at most 10000";
}

fault_text read_urgent(std::string const& text, row_policy& row)
{
    return read_yes_no(text, row.urgent);
}

fault_text read_repeatable(std::string const& text, row_policy& row)
{
    return read_yes_no(text, row.repeatable);
}

fault_text read_objective(std::string const& text, row_policy& row)
{
    std::int64_t number = 0;
    auto fault = read_integer(text, 1, max_objective_ms, number);
    row.objective = std::chrono::milliseconds(number);
    return fault;
}

fault_text read_ratio(std::string const& text, row_policy& row)
{
    if (read_number(text, row.objective_ratio) && row.objective_ratio > 0 &&
        row.objective_ratio < 1)
        return {};
    return "must be a number above 0 and below 1";
}

fault_text read_queue_limit(std::string const& text, row_policy& row)
{
    std::int64_t number = 0;
    auto fault = read_integer(text, 0, max_queue_limit, number);
    row.queue_limit = static_cast<std::uint32_t>(number);
    return fault;
}

fault_text read_reclaim(std::string const& text, row_policy& row)
{
    std::int64_t number = 0;
    auto fault = read_integer(text, 1, max_reclaim_s, number);
    row.reclaim_after = std::chrono::seconds(number);
    return fault;
}

fault_text read_amount(
    std::string const& text, double high, double scale,
    std::optional<std::int64_t>& limit)
{
    double amount = 0;
    // The comparisons also reject "nan" and "inf", which from_chars accepts.
    if (!read_number(text, amount) || !(amount >= 0) || !(amount <= high))
        return "must be a number of 0 or more";
    limit = std::llround(amount * scale);
    return {};
}

fault_text read_processors(std::string const& text, row_policy& row)
{
    return read_amount(
        text, max_cores, millicores_per_core, row.millicores_limit);
}

fault_text read_memory(std::string const& text, row_policy& row)
{
    return read_amount(text, max_memory_gib, mib_per_gib, row.memory_mib_limit);
}

fault_text read_accelerators(std::string const& text, row_policy& row)
{
    std::int64_t number = 0;
    auto fault = read_integer(text, 0, max_accelerators, number);
    row.accelerators_limit = number;
    return fault;
}

/// A heading with a fixed meaning.
struct known_column
{
    std::string_view name;
    column_kind kind;
    bool required;
    fault_text (*read)(std::string const& text, row_policy& row);
};

constexpr std::array known_columns{
    known_column{"kind", column_kind::attribute, true, read_kind},
    known_column{"team", column_kind::attribute, true, read_team},
    known_column{"weight", column_kind::attribute, false, read_weight},
    known_column{"urgent", column_kind::attribute, false, read_urgent},
    known_column{"repeatable", column_kind::attribute, false, read_repeatable},
    known_column{"objective_ms", column_kind::attribute, false, read_objective},
    known_column{"objective_ratio", column_kind::attribute, false, read_ratio},
    known_column{
        "queue_limit", column_kind::attribute, false, read_queue_limit},
    known_column{
        "reclaim_after_s", column_kind::attribute, false, read_reclaim},
    known_column{"note", column_kind::attribute, false, read_note},
    known_column{"processors", column_kind::resource, false, read_processors},
    known_column{"memory_gib", column_kind::resource, false, read_memory},
    known_column{
        "accelerators", column_kind::resource, false, read_accelerators},
};

known_column const* find_known(std::string const& heading)
{
    auto const* found = std::find_if(
        known_columns.begin(), known_columns.end(),
        [&](auto const& column) { return column.name == heading; });
    return found == known_columns.end() ? nullptr : found;
}

fault_text read_domain_cell(
    std::string const& text, failure_domain_id const& domain, row_policy& row)
{
    if (text.empty() || text == "in")
        return {};
    if (text == "out") {
        row.out_of.insert(domain);
        return {};
    }
    std::int64_t limit = 0;
    if (!read_integer(text, 0, max_tasks, limit).empty())
        return "must be in, out or a limit on the row's tasks";
    row.domain_limits[domain] = static_cast<std::uint32_t>(limit);
    return {};
}

fault_text read_domain_for_all_rows(
    std::string const& text, failure_domain_id const& domain,
    std::set<failure_domain_id>& domains_out)
{
    if (text.empty() || text == "in")
        return {};
    if (text != "out")
        return "must be in or out";
    domains_out.insert(domain);
    return {};
}

fault_text
read_cell(std::string const& text, table_column const& column, row_policy& row)
{
    if (column.kind == column_kind::failure_domain)
        return read_domain_cell(text, failure_domain_id{column.name}, row);
    auto const* known = find_known(column.name);
    // An unknown heading is reported once, for the column.
    if (known == nullptr)
        return {};
    if (!text.empty())
        return known->read(text, row);
    return known->required ? "must not be empty" : "";
}

fault_text read_all_rows_cell(
    std::string const& text, table_column const& column, table_policy& policy)
{
    if (column.kind == column_kind::failure_domain)
        return read_domain_for_all_rows(
            text, failure_domain_id{column.name}, policy.domains_out);
    if (!text.empty() && column.name != "note")
        return "must be empty in this row";
    return {};
}

void read_columns(
    table const& from, table_policy& policy, std::vector<cell_fault>& faults)
{
    for (auto const& column : from.columns) {
        auto const known = known_column_kind(column.name);
        if (column.kind == column_kind::failure_domain)
            policy.domains.emplace_back(column.name);
        if (known.value_or(column_kind::failure_domain) != column.kind)
            faults.push_back({{{}, column.name}, "not a known column"});
    }
    for (auto const& known : known_columns) {
        std::string const name(known.name);
        if (known.required && find_column(from, name) == nullptr)
            faults.push_back({{{}, name}, "the column is missing"});
    }
}

void read_row(
    table const& from, row_id const& id, table_policy& policy,
    std::vector<cell_fault>& faults)
{
    bool const is_all_rows = id.value == all_rows;
    row_policy row;
    row.id = id;
    for (auto const& column : from.columns) {
        cell_address const at{id, column.name};
        auto const& text = cell_text(from, at);
        auto fault = is_all_rows ? read_all_rows_cell(text, column, policy)
                                 : read_cell(text, column, row);
        if (!fault.empty())
            faults.push_back({at, std::move(fault)});
    }
    if (!is_all_rows)
        policy.rows.emplace(id, std::move(row));
}

} // namespace

std::optional<column_kind> known_column_kind(std::string const& heading)
{
    auto const* known = find_known(heading);
    if (known == nullptr)
        return std::nullopt;
    return known->kind;
}

std::variant<table_policy, std::vector<cell_fault>>
read_policy(table const& from)
{
    auto faults = check_shape(from);
    if (!faults.empty())
        return faults;
    table_policy policy;
    policy.revision = from.revision;
    read_columns(from, policy, faults);
    for (auto const& row : from.rows)
        read_row(from, row, policy, faults);
    if (!faults.empty())
        return faults;
    return policy;
}

row_policy const* find_row(table_policy const& policy, row_id const& row)
{
    auto const found = policy.rows.find(row);
    return found == policy.rows.end() ? nullptr : &found->second;
}

bool may_run_in(
    table_policy const& policy, row_id const& row,
    failure_domain_id const& domain)
{
    auto const* found = find_row(policy, row);
    return found != nullptr && may_run_in(policy, *found, domain);
}

bool may_run_in(
    table_policy const& policy, row_policy const& row,
    failure_domain_id const& domain)
{
    // A domain without a column is more likely a configuration error than
    // intended.
    auto const& domains = policy.domains;
    if (std::find(domains.begin(), domains.end(), domain) == domains.end())
        return false;
    return !policy.domains_out.contains(domain) && !row.out_of.contains(domain);
}

} // namespace sycamorespar
