/// Describes a row to readers who don't know its purpose. Each sentence states
/// the value in force, including the default of an empty cell.
#include "operators/explain.hpp"

#include <fmt/format.h>

namespace sycamorespar {

namespace {

constexpr double per_cent = 100.0;
constexpr double millicores_per_core = 1000.0;
constexpr double mib_per_gib = 1024.0;

char const* kind_text(row_kind kind)
{
    switch (kind) {
    case row_kind::service:
        return "service: requests that upstreams answer";
    case row_kind::batch:
        return "batch class: tasks that run and end";
    case row_kind::watcher:
        return "watcher class: tasks that run for weeks";
    }
    return "";
}

/// Formats a time in the largest unit that divides it evenly.
std::string time_text(std::chrono::milliseconds span)
{
    constexpr std::chrono::hours hour{1};
    constexpr std::chrono::minutes minute{1};
    constexpr std::chrono::seconds second{1};
    if (span % hour == span.zero())
        return fmt::format("{} h", span / hour);
    if (span % minute == span.zero())
        return fmt::format("{} min", span / minute);
    if (span % second == span.zero())
        return fmt::format("{} s", span / second);
    return fmt::format("{} ms", span.count());
}

std::string explain_objective(row_policy const& row)
{
    return fmt::format(
        "{:g}% of its {} are to be done within {}.\n",
        row.objective_ratio * per_cent,
        row.kind == row_kind::service ? "answers" : "tasks",
        time_text(row.objective));
}

std::string explain_weight(table_policy const& policy, row_policy const& row)
{
    double sum = 0;
    for (auto const& [id, each] : policy.rows)
        sum += each.weight;
    return fmt::format(
        "Where there is not enough for all, its weight {:g} gives it {:.0f}% "
        "against all other rows.\n",
        row.weight, row.weight / sum * per_cent);
}

std::string explain_urgency(row_policy const& row)
{
    if (!row.urgent)
        return "It is not urgent: it may wait for others.\n";
    return "It is urgent: it starts within 1.6 s, other work makes room.\n";
}

std::string explain_repeats(row_policy const& row)
{
    if (row.repeatable)
        return "It is repeatable: after a failure it is tried again.\n";
    if (row.kind == row_kind::service)
        return "It is not repeatable: each request runs at most once, and an "
               "unknown outcome is reported to the caller.\n";
    return "It is not repeatable: each task runs at most once, and one with "
           "an unknown outcome waits for an operator.\n";
}

std::string explain_queue(row_policy const& row)
{
    return fmt::format(
        "At most {} {} wait at one entry; more are refused as not run.\n",
        row.queue_limit, row.kind == row_kind::service ? "requests" : "tasks");
}

std::string explain_reclaim(row_policy const& row)
{
    if (row.kind == row_kind::service)
        return "";
    return fmt::format(
        "A worker that is silent for {} has certainly stopped its task; only "
        "then is it {}.\n",
        time_text(row.reclaim_after),
        row.repeatable ? "run elsewhere" : "left to an operator");
}

std::string explain_resources(row_policy const& row)
{
    std::string limits;
    if (row.millicores_limit)
        limits += fmt::format(
            ", {:g} cores",
            static_cast<double>(*row.millicores_limit) / millicores_per_core);
    if (row.memory_mib_limit)
        limits += fmt::format(
            ", {:g} GiB of memory",
            static_cast<double>(*row.memory_mib_limit) / mib_per_gib);
    if (row.accelerators_limit)
        limits += fmt::format(", {} accelerators", *row.accelerators_limit);
    if (limits.empty())
        return "Its resources have no limit of their own.\n";
    return "All of it together takes at most " + limits.substr(2) + ".\n";
}

std::string explain_domain(
    table_policy const& policy, row_policy const& row,
    failure_domain_id const& domain)
{
    if (policy.domains_out.contains(domain))
        return fmt::format(
            "In {} nothing starts: it is out of service for all rows.\n",
            domain.value);
    if (row.out_of.contains(domain))
        return fmt::format("In {} it does not start.\n", domain.value);
    auto const limit = row.domain_limits.find(domain);
    if (limit == row.domain_limits.end())
        return fmt::format("In {} it may run.\n", domain.value);
    return fmt::format(
        "In {} it may run, at most {} tasks at a time.\n", domain.value,
        limit->second);
}

} // namespace

std::string explain_row(table_policy const& policy, row_policy const& row)
{
    std::string text = fmt::format(
        "{} is a {} (team {}, table revision {}).\n", row.id.value,
        kind_text(row.kind), row.team.value, policy.revision.value);
    if (!row.note.empty())
        text += "Note: " + row.note + "\n";
    text += explain_objective(row);
    text += explain_weight(policy, row);
    text += explain_urgency(row);
    text += explain_repeats(row);
    text += explain_queue(row);
    text += explain_reclaim(row);
    text += explain_resources(row);
    for (auto const& domain : policy.domains)
        text += explain_domain(policy, row, domain);
    return text;
}

} // namespace sycamorespar
