/// The page is rendered from scratch for each scrape: the components count
/// their own events, so no value is stored twice.
#include "spar-entry/entry_metrics.hpp"

#include "libsycamorespar/counters.hpp"
#include "libsycamorespar/invariant.hpp"

#include <map>

namespace sycamorespar {

namespace {

void add_count(
    counter_set& to, char const* name, char const* help, std::uint64_t value,
    std::vector<metric_label> labels = {})
{
    to.raise_to(
        to.add_counter({name, help, metric_unit::none, std::move(labels)}),
        value);
}

void add_level(
    counter_set& to, char const* name, char const* help, double value,
    std::vector<metric_label> labels = {})
{
    to.set(
        to.add_gauge({name, help, metric_unit::none, std::move(labels)}),
        value);
}

void add_requests(counter_set& to, entry_statistics const& from)
{
    constexpr char const* answered = "spar_requests_answered";
    constexpr char const* help = "Requests by what their callers were told.";
    add_count(to, answered, help, from.outcomes.ran, {{"outcome", "ran"}});
    add_count(
        to, answered, help, from.outcomes.not_run, {{"outcome", "not_run"}});
    add_count(
        to, answered, help, from.outcomes.unknown, {{"outcome", "unknown"}});
    add_count(
        to, "spar_request_copies_sent", "Copies sent to agents.",
        from.routed.sent);
    add_count(
        to, "spar_request_copies_refused",
        "Copies that agents refused, proved not run.", from.routed.refused);
    add_count(
        to, "spar_request_resends",
        "Copies sent after proof that an earlier one was not run.",
        from.routed.resent_not_run);
    add_count(
        to, "spar_request_retries",
        "Copies of repeatable work sent after an unknown outcome.",
        from.routed.retried);
    add_count(
        to, "spar_request_hedges",
        "Copies of repeatable work sent while another was on its way.",
        from.routed.hedged);
    add_level(
        to, "spar_requests_open", "Requests not answered yet.",
        static_cast<double>(from.open_requests));
}

void add_jobs(counter_set& to, entry_statistics const& from)
{
    std::map<std::string, double> by_state;
    for (job_record const& each : from.jobs)
        ++by_state[to_string(each.state)];
    for (auto const& [state, count] : by_state)
        add_level(
            to, "spar_jobs", "Jobs in the shards held here, by state.", count,
            {{"state", state}});
    add_level(
        to, "spar_ledger_shards_held", "Ledger shards held by lease.",
        static_cast<double>(from.shards));
}

} // namespace

std::string render_entry_metrics(entry_statistics const& from)
{
    counter_set page;
    add_requests(page, from);
    add_jobs(page, from);
    add_level(
        page, "spar_agents_known", "Agents with a recent heartbeat.",
        static_cast<double>(from.agents));
    add_level(
        page, "spar_workers_quarantined", "Workers that take probes only.",
        static_cast<double>(from.quarantined));
    add_level(
        page, "spar_table_revision", "The revision of the table in force.",
        static_cast<double>(from.revision.value));
    add_level(
        page, "spar_lease_live", "1 while the store's lease is certain.",
        from.lease_live ? 1 : 0);
    add_count(
        page, "spar_invariant_checks", "Invariants checked.",
        invariant_checks());
    return page.render();
}

} // namespace sycamorespar
