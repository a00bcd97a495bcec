/// Metric names include their units; labels distinguish reasons, priorities
/// and states.
#include "spar-scheduler/scheduler_metrics.hpp"

#include "libsycamorespar/invariant.hpp"
#include "libsycamorespar/metrics_page.hpp"

#include <chrono>

namespace sycamorespar {

namespace {

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

void add_callers(metrics_page& to, scheduler_metrics_source const& from)
{
    constexpr char const* name = "spar_jobs_answered";
    constexpr char const* help = "Jobs handed in, by what the caller was told.";
    auto const& counts = *from.callers;
    to.add_counter(name, help, counts.accepted, {{"answer", "accepted"}});
    to.add_counter(name, help, counts.unknown, {{"answer", "unknown"}});
    to.add_counter(name, help, counts.invalid, {{"answer", "unsound"}});
    for (auto const& [reason, count] : counts.refused)
        to.add_counter(
            "spar_callers_turned_away", "Calls refused, by reason.", count,
            {{"reason", reason}});
    to.add_counter(
        "spar_job_states_asked", "Calls for a job's state.", counts.states);
    to.add_counter(
        "spar_job_cancels", "Calls to cancel a job.", counts.cancels);
    to.add_latencies(
        "spar_job_acceptance", "Time the store took to accept a job.",
        *from.submissions);
}

void add_store(metrics_page& to, scheduler_metrics_source const& from)
{
    to.add_gauge(
        "spar_office_held", "1 where this process schedules.",
        from.is_leader ? 1 : 0);
    to.add_counter(
        "spar_terms", "Times that this process gained the office.", from.terms);
    to.add_gauge(
        "spar_store_lost", "1 while the store can't be reached.",
        from.is_store_lost ? 1 : 0);
    to.add_counter("spar_store_calls", "Calls to the store.", from.store_calls);
    to.add_gauge(
        "spar_configuration_version", "The configuration in force.",
        static_cast<double>(from.configuration_version));
    to.add_gauge(
        "spar_configuration_age_seconds",
        "Since the watch of the configuration was answered.",
        seconds(from.configuration_age));
}

void add_work(metrics_page& to, graph_scheduler const& from)
{
    to.add_gauge(
        "spar_jobs_open", "Jobs that have not ended.",
        static_cast<double>(from.open_jobs()));
    for (auto const& [priority, count] : from.waiting_by_priority())
        to.add_gauge(
            "spar_tasks_waiting", "Tasks without a place, by priority.",
            static_cast<double>(count),
            {{"priority", std::to_string(priority)}});
    for (auto const& [reason, count] : from.waiting_by_reason())
        to.add_gauge(
            "spar_backfill_waiting", "Backfill tasks without a place, by why.",
            static_cast<double>(count), {{"reason", to_string(reason)}});
    auto const& counts = from.counts();
    to.add_counter(
        "spar_contention_accepted",
        "Backfill runs ordered where they harm serving tasks.",
        counts.accepted_contention);
    to.add_counter("spar_runs_ordered", "Runs ordered.", counts.ordered);
    to.add_counter("spar_stops_ordered", "Stops ordered.", counts.stops);
    to.add_gauge(
        "spar_runs_of_ended_jobs",
        "Live runs of jobs that have ended or are unknown.",
        static_cast<double>(from.runs_of_ended_jobs()));
    for (auto const& [how, count] : counts.ended)
        to.add_counter(
            "spar_runs_ended", "Runs ended, by how.", count,
            {{"how", to_string(how)}});
    for (auto const& [phase, count] : counts.jobs_ended)
        to.add_counter(
            "spar_jobs_ended", "Jobs ended, by how.", count,
            {{"phase", to_string(phase)}});
    to.add_gauge(
        "spar_settled", "1 once all recorded workers are accounted for.",
        from.is_settled() ? 1 : 0);
}

/// Counts the estimates by what a backfill task on a tenth of a worker's
/// processors adds to the load of a serving task.
void add_contention(metrics_page& to, contention_model const& from)
{
    constexpr double tenth = 0.1;
    constexpr double harmless_load = 0.015;
    std::size_t harmless = 0;
    std::size_t harmful = 0;
    for (auto const& [serving, backfills] : from.pairs()) {
        for (auto const& [backfill, estimate] : backfills)
            ++(estimate.mean * tenth < harmless_load ? harmless : harmful);
    }
    constexpr char const* name = "spar_contention_pairs";
    constexpr char const* help = "Estimated pairs of images, by contention.";
    to.add_gauge(
        name, help, static_cast<double>(harmless), {{"kind", "harmless"}});
    to.add_gauge(
        name, help, static_cast<double>(harmful), {{"kind", "harmful"}});
}

void add_workers(
    metrics_page& to, graph_scheduler const& from, monotonic_time now)
{
    std::size_t usable = 0;
    std::size_t silent = 0;
    std::size_t draining = 0;
    std::size_t resting = 0;
    for (auto const& [id, worker] : from.workers().all()) {
        if (!worker.is_listed || !worker.is_reachable)
            ++silent;
        else if (worker.facts.is_draining)
            ++draining;
        else if (now < worker.cooldown_until)
            ++resting;
        else
            ++usable;
    }
    constexpr char const* name = "spar_workers";
    constexpr char const* help = "Workers by state.";
    auto const add = [&](char const* state, std::size_t count) {
        to.add_gauge(
            name, help, static_cast<double>(count), {{"state", state}});
    };
    add("usable", usable);
    add("silent", silent);
    add("draining", draining);
    add("resting", resting);
}

} // namespace

std::string render_scheduler_metrics(
    scheduler_metrics_source const& from, monotonic_time now)
{
    metrics_page page;
    add_callers(page, from);
    add_store(page, from);
    if (from.scheduler != nullptr) {
        add_work(page, *from.scheduler);
        add_workers(page, *from.scheduler, now);
        add_contention(page, from.scheduler->workers().contention());
    }
    if (from.writer != nullptr) {
        page.add_counter(
            "spar_record_writes", "Writes of records in this term.",
            from.writer->writes());
        page.add_latencies(
            "spar_record_write", "Time the store took for a write of records.",
            from.writer->write_times());
    }
    page.add_counter(
        "spar_invariant_checks", "Invariants checked.", invariant_checks());
    return page.render();
}

} // namespace sycamorespar
