/// The page is rendered from the admission counters at each request.
#include "spar-agent/agent_metrics.hpp"

#include "libsycamorespar/counters.hpp"
#include "libsycamorespar/invariant.hpp"

namespace sycamorespar {

namespace {

void add_gauge(
    counter_set& to, char const* name, char const* help, double value)
{
    to.set(to.add_gauge({name, help, metric_unit::none, {}}), value);
}

void add_resources(
    counter_set& to, char const* millicores, char const* memory,
    char const* accelerators, resources const& from)
{
    add_gauge(
        to, millicores, "Thousandths of a core.",
        static_cast<double>(from.millicores));
    add_gauge(
        to, memory, "Mebibytes of memory.",
        static_cast<double>(from.memory_mib));
    add_gauge(
        to, accelerators, "Whole accelerators.",
        static_cast<double>(from.accelerators));
}

void add_verdicts(
    counter_set& to, char const* kind, admission_counts const& from)
{
    constexpr char const* help = "Starts by kind and verdict.";
    to.raise_to(
        to.add_counter(
            {"spar_starts",
             help,
             metric_unit::none,
             {{"kind", kind}, {"verdict", "admitted"}}}),
        from.admitted);
    for (auto const& [why, count] : from.refused)
        to.raise_to(
            to.add_counter(
                {"spar_starts",
                 help,
                 metric_unit::none,
                 {{"kind", kind}, {"verdict", to_string(why)}}}),
            count);
}

} // namespace

std::string render_agent_metrics(agent_admission const& from)
{
    counter_set page;
    add_verdicts(page, "request", from.request_counts());
    add_verdicts(page, "task", from.task_counts());
    add_resources(
        page, "spar_capacity_millicores", "spar_capacity_memory_mib",
        "spar_capacity_accelerators", from.capacity());
    add_resources(
        page, "spar_committed_millicores", "spar_committed_memory_mib",
        "spar_committed_accelerators", from.committed());
    add_gauge(
        page, "spar_requests_in_flight", "Requests at the upstreams.",
        static_cast<double>(from.requests_in_flight()));
    add_gauge(
        page, "spar_tasks_held", "Tasks on the worker.",
        static_cast<double>(from.tasks_held()));
    add_gauge(
        page, "spar_table_revision", "The revision of the table in force.",
        static_cast<double>(from.policy().revision.value));
    add_gauge(
        page, "spar_ready", "1 once the worker's tasks are known.",
        from.is_ready() ? 1 : 0);
    page.raise_to(
        page.add_counter(
            {"spar_invariant_checks",
             "Invariants checked.",
             metric_unit::none,
             {}}),
        invariant_checks());
    return page.render();
}

} // namespace sycamorespar
