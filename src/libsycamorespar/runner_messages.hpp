/// The messages between a runner and the scheduler: reports and replies.
#ifndef SYCAMORESPAR_RUNNER_MESSAGES_HPP
#define SYCAMORESPAR_RUNNER_MESSAGES_HPP

#include "libsycamorespar/contention_model.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/job_graph.hpp"
#include "libsycamorespar/resources.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar {

/// The term of one leader; a later term has a higher number.
using scheduler_term = number_id<struct scheduler_term_tag>;

/// One incarnation of a worker process. No run outlives its incarnation.
struct worker_incarnation
{
    /// The instance name under which this incarnation announces itself.
    std::string instance;
    /// When it started, since 1970 by the worker's time of day.
    std::chrono::milliseconds born{0};

    bool operator==(worker_incarnation const&) const = default;
};

/// The properties that a worker announces.
struct worker_facts
{
    /// The worker's current incarnation.
    worker_incarnation incarnation;
    /// The pool that it belongs to.
    pool_id pool;
    /// Its failure domain.
    failure_domain_id domain;
    /// Its total resources.
    resources capacity;
    /// Its kind and its rack, in any order.
    std::vector<std::string> labels;
    /// True if it is about to leave.
    bool is_draining = false;
    /// The least time that it still runs, while it drains.
    std::chrono::milliseconds drain_remaining{0};
    /// True once it has left: no run of this incarnation is live any more.
    bool has_left = false;

    bool operator==(worker_facts const&) const = default;
};

/// A run that uses resources of the worker.
struct run_report
{
    /// The run.
    run_id run;
    /// False until its start is known to have reached the worker.
    bool has_started = false;
    /// True if the runner has the task's properties and can set its pace.
    bool is_known = false;
    /// Its latest checkpoint; empty for none.
    std::string checkpoint;
    /// The percentage that is done, or of a long-running task 100 while it is
    /// at work.
    std::uint32_t percent = 0;
    /// The tail latency in milliseconds of a serving task, else the processors
    /// in use in thousandths of a core.
    std::int64_t measurement = 0;
    /// The percentage of full speed that the runner allows it, up to 100.
    std::uint32_t pace = 100;
    /// True if the runner is carrying out an order to stop it.
    bool is_stopping = false;

    bool operator==(run_report const&) const = default;
};

/// The end of a run. It is reported until it is acknowledged.
struct end_report
{
    /// Numbers the ends of this incarnation of the worker, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;
    /// How it ended.
    run_end how = run_end::lost;
    /// Its latest checkpoint; empty for none.
    std::string checkpoint;

    bool operator==(end_report const&) const = default;
};

/// Why a start was not carried out. It never will be.
enum class refusal_reason : std::uint8_t
{
    /// The worker has too few free resources.
    no_room,
    /// It came too late, or the worker has seen a higher token or run.
    outdated,
    /// The worker rejected the request, or had an internal error.
    rejected,
    /// No answer came, and the worker confirmed a stop.
    no_answer
};

/// A start that was not carried out.
struct refusal_report
{
    /// The run.
    run_id run;
    /// The reason.
    refusal_reason why = refusal_reason::rejected;

    bool operator==(refusal_report const&) const = default;
};

/// The complete state of a runner. Each report repeats all that no reply has
/// acknowledged, so a lost report or reply costs only time.
struct runner_report
{
    /// The id of the worker, which stays the same over all its incarnations.
    worker_id worker;
    /// The incarnation of the runner.
    incarnation runner;
    /// Rises with each report of this incarnation of the runner.
    std::uint64_t sequence = 0;
    /// The properties that the worker announced last; none before it has
    /// listed its runs to this runner.
    worker_facts facts;
    /// The scheduler's term that the runner follows; zero before the first.
    scheduler_term term;
    /// The token that the runner uses; zero before the first.
    std::uint64_t token = 0;
    /// True if the lists are complete and were fetched under that token. The
    /// ends below are facts in any case.
    bool is_listed = false;
    /// False if the worker doesn't answer its runner.
    bool is_reachable = true;
    /// The last order under that token that was applied.
    std::uint64_t last_order = 0;
    /// The runs that use resources or may yet start.
    std::vector<run_report> runs;
    /// The ends that aren't acknowledged yet.
    std::vector<end_report> ends;
    /// The refused starts that no answered report has contained.
    std::vector<refusal_report> refusals;

    bool operator==(runner_report const&) const = default;
};

/// The properties of a task that its runner needs.
struct task_facts
{
    /// It uses idle processors only.
    bool fills = false;
    /// The processors that it uses at full speed, in thousandths of a core.
    std::int64_t backfill_millicores = 0;
    /// The tail latency that its own users accept; zero for no such users.
    std::chrono::milliseconds target{0};
    /// The image that it runs.
    std::string image;

    bool operator==(task_facts const&) const = default;
};

/// Starts a run.
struct start_order
{
    /// Numbers the orders under one token, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;
    /// The input of the task; opaque.
    std::string payload;
    /// The checkpoint that it resumes from; empty for none.
    std::string checkpoint;
    /// The properties of the task.
    task_facts facts;
    /// The scheduler's estimates of its contention with tasks on that worker.
    std::vector<contention_hint> hints;

    bool operator==(start_order const&) const = default;
};

/// Stops a run.
struct stop_order
{
    /// Numbers the orders under one token, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;

    bool operator==(stop_order const&) const = default;
};

/// Describes a task that is already running.
struct describe_order
{
    /// Numbers the orders under one token, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;
    /// The properties of the task.
    task_facts facts;

    bool operator==(describe_order const&) const = default;
};

/// An order to a runner.
using runner_order = std::variant<start_order, stop_order, describe_order>;

/// The number of an order.
inline std::uint64_t number_of(runner_order const& order)
{
    return std::visit([](auto const& each) { return each.number; }, order);
}

/// The answer to a report.
struct runner_reply
{
    /// The scheduler's term.
    scheduler_term term;
    /// The runner's token for calls to its worker; a later one is higher.
    std::uint64_t token = 0;
    /// True if the lease of the worker's runs is extended to the lease time of
    /// the settings, counted from when the report was sent.
    bool extends = false;
    /// The incarnation of the worker that extension, acknowledgement and orders
    /// apply to.
    worker_incarnation incarnation;
    /// Acknowledges the ends up to this number: they are recorded.
    std::uint64_t ended_through = 0;
    /// All orders that no report has confirmed.
    std::vector<runner_order> orders;
    /// The scheduler has lost the store, and may soon have a successor.
    bool is_isolated = false;

    bool operator==(runner_reply const&) const = default;
};

} // namespace sycamorespar

#endif
