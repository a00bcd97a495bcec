/// A lease close to its end shows as a low spar_lease_left_seconds.
#include "spar-runner/runner_metrics.hpp"

#include "libsycamorespar/invariant.hpp"
#include "libsycamorespar/metrics_page.hpp"

#include <chrono>

namespace sycamorespar {

namespace {

void add_paces(
    metrics_page& to, pace_control const& pacing, run_tracker const& tracker)
{
    auto const sums = pacing.summary(tracker.runs());
    constexpr char const* name = "spar_backfill_runs";
    constexpr char const* help = "Backfill runs by their pace.";
    auto const add = [&](char const* pace, std::size_t count) {
        to.add_gauge(name, help, static_cast<double>(count), {{"pace", pace}});
    };
    add("full", sums.full);
    add("slowed", sums.slowed);
    add("stopped", sums.stopped);
    to.add_gauge(
        "spar_serving_runs", "Serving runs at work.",
        static_cast<double>(sums.serving));
    to.add_gauge(
        "spar_serving_over_target",
        "Serving runs whose tail latency is over its target.",
        static_cast<double>(sums.over_target));
    to.add_gauge(
        "spar_serving_worst_tail_ratio",
        "The highest tail latency, as a part of its target.", sums.worst_tail);
    to.add_gauge(
        "spar_serving_over_target_seconds",
        "Time over target since the start, summed over serving runs.",
        std::chrono::duration<double>(pacing.time_over_target()).count());
}

} // namespace

std::string render_runner_metrics(
    runner_counts const& counts, run_tracker const& tracker,
    pace_control const& pacing, std::uint64_t answered_reports,
    monotonic_time now)
{
    metrics_page page;
    add_paces(page, pacing, tracker);
    for (auto const& [result, count] : counts.starts)
        page.add_counter(
            "spar_starts", "Starts, by what the worker said.", count,
            {{"result", to_string(result)}});
    for (auto const& [result, count] : counts.stops)
        page.add_counter(
            "spar_stops", "Stops, by what the worker said.", count,
            {{"result", to_string(result)}});
    page.add_counter(
        "spar_stops_ignored", "Stop orders for runs that were not tracked.",
        tracker.ignored_stops());
    constexpr char const* polls = "spar_looks";
    constexpr char const* polls_help = "Looks at the worker.";
    page.add_counter(polls, polls_help, counts.polls, {{"result", "answered"}});
    page.add_counter(
        polls, polls_help, counts.failed_polls, {{"result", "failed"}});
    page.add_counter("spar_paces", "Changes of pace sent.", counts.paces);
    page.add_counter(
        "spar_tokens_refused", "Tokens that the worker refused.",
        counts.refused_tokens);
    page.add_counter(
        "spar_reports_answered", "Reports that a scheduler answered.",
        answered_reports);
    page.add_gauge(
        "spar_runs_held", "Runs that hold room on the worker.",
        static_cast<double>(tracker.runs().size()));
    page.add_gauge(
        "spar_worker_reachable", "1 while the worker answers.",
        tracker.is_reachable() ? 1 : 0);
    auto const left = tracker.granted_until() - tracker.clock_at_least(now);
    page.add_gauge(
        "spar_lease_left_seconds",
        "How long the runs may go on without another answered report.",
        std::chrono::duration<double>(left).count());
    page.add_counter(
        "spar_invariant_checks", "Invariants checked.", invariant_checks());
    return page.render();
}

} // namespace sycamorespar
