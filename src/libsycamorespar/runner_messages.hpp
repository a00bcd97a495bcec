/// What a runner tells the scheduler of its worker, and what it is told.
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

/// One scheduler's time in office; a later one has a higher number.
using scheduler_term = number_id<struct scheduler_term_tag>;

/// One life of a worker. Nothing of an earlier life runs in a later one.
struct worker_life
{
    /// The name under which this life announces itself.
    std::string instance;
    /// When it began, since 1970 by the worker's time of day.
    std::chrono::milliseconds born{0};

    bool operator==(worker_life const&) const = default;
};

/// What a worker says of itself.
struct worker_facts
{
    /// Which life it is in.
    worker_life life;
    /// The pool that it belongs to.
    pool_id pool;
    /// Its failure domain.
    failure_domain_id domain;
    /// What it has.
    resources capacity;
    /// Its kind and its rack, in any order.
    std::vector<std::string> labels;
    /// True where it is about to leave.
    bool is_draining = false;
    /// How long it goes on at least once it drains.
    std::chrono::milliseconds drain_remaining{0};
    /// True once it has taken its leave: nothing of this life runs any more.
    bool has_left = false;

    bool operator==(worker_facts const&) const = default;
};

/// A run that holds room on the worker.
struct run_report
{
    /// The run.
    run_id run;
    /// False while its start is not known to have reached the worker.
    bool has_started = false;
    /// True where the runner knows what the task is and can pace it.
    bool is_known = false;
    /// What it has saved last; empty for nothing.
    std::string checkpoint;
    /// How much of it is done, or whether a lasting one is at work, up to 100.
    std::uint32_t percent = 0;
    /// The tail latency in milliseconds of a task with users of its own, else
    /// the processors in use in thousandths.
    std::int64_t figure = 0;
    /// The part of its speed that the runner lets it work at, up to 100.
    std::uint32_t pace = 100;

    bool operator==(run_report const&) const = default;
};

/// The end of a run, listed until it is acknowledged.
struct end_report
{
    /// Counts the ends of this life of the worker, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;
    /// How it ended.
    run_end how = run_end::lost;
    /// What it has saved last; empty for nothing.
    std::string checkpoint;

    bool operator==(end_report const&) const = default;
};

/// Why a start was not carried out, and never will be.
enum class refusal_reason : std::uint8_t
{
    /// The worker has too little room.
    no_room,
    /// It came too late, or a higher token or run was seen.
    outdated,
    /// The worker doesn't take what was sent, or is in trouble.
    rejected,
    /// No answer came, and a stop was confirmed.
    no_answer
};

/// A start that was not carried out.
struct refusal_report
{
    /// The run.
    run_id run;
    /// Why.
    refusal_reason why = refusal_reason::rejected;

    bool operator==(refusal_report const&) const = default;
};

/// The whole state of a runner. Sent again and again until a later one is
/// answered, so that a lost answer costs nothing but time.
struct runner_report
{
    /// The machine of the runner; its worker keeps it over all lives.
    worker_id worker;
    /// This life of the runner.
    incarnation runner;
    /// Rises with each report of this life of the runner.
    std::uint64_t sequence = 0;
    /// What the worker says of itself.
    worker_facts facts;
    /// The scheduler's term that the runner follows; zero before the first.
    scheduler_term term;
    /// The token that the runner uses; zero before the first.
    std::uint64_t token = 0;
    /// True where the lists are complete and were seen under that token.
    bool is_listed = false;
    /// False where the worker doesn't answer its runner.
    bool is_reachable = true;
    /// The last order under that token that was taken up.
    std::uint64_t last_order = 0;
    /// The runs that hold room or may yet begin.
    std::vector<run_report> runs;
    /// The ends that aren't acknowledged yet.
    std::vector<end_report> ends;
    /// The starts that were not carried out since the last answered report.
    std::vector<refusal_report> refusals;

    bool operator==(runner_report const&) const = default;
};

/// What a runner must know of a task beside its name.
struct task_facts
{
    /// It uses idle processors only.
    bool fills = false;
    /// What it would use of them at full speed, in thousandths of a core.
    std::int64_t backfill_millicores = 0;
    /// The tail latency that its users accept; zero for none.
    std::chrono::milliseconds target{0};
    /// What it runs.
    std::string image;

    bool operator==(task_facts const&) const = default;
};

/// Starts a run.
struct start_order
{
    /// Counts the orders under one token, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;
    /// What the task is told to do.
    std::string payload;
    /// What it goes on from; empty for the start.
    std::string checkpoint;
    /// What kind of task it is.
    task_facts facts;
    /// What the scheduler knows of its harm to tasks on that worker.
    std::vector<contention_hint> hints;

    bool operator==(start_order const&) const = default;
};

/// Stops a run.
struct stop_order
{
    /// Counts the orders under one token, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;

    bool operator==(stop_order const&) const = default;
};

/// Tells the kind of a task that runs already.
struct describe_order
{
    /// Counts the orders under one token, from 1.
    std::uint64_t number = 0;
    /// The run.
    run_id run;
    /// What kind of task it is.
    task_facts facts;

    bool operator==(describe_order const&) const = default;
};

/// What a runner is to do.
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
    /// The worker's runs may go on for the settings' hold time, counted from
    /// when the report was sent.
    bool extends = false;
    /// The life of the worker that the acknowledgement is for.
    worker_life life;
    /// Ends up to this number are recorded for good.
    std::uint64_t ended_through = 0;
    /// All orders that the report didn't confirm.
    std::vector<runner_order> orders;

    bool operator==(runner_reply const&) const = default;
};

} // namespace sycamorespar

#endif
