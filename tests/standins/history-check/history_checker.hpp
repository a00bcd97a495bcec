/// Checks the histories that callers, upstreams and workers recorded against
/// the scheduler's guarantees. Shares no code with the product.
#ifndef SYCAMORESPAR_STANDINS_HISTORY_CHECKER_HPP
#define SYCAMORESPAR_STANDINS_HISTORY_CHECKER_HPP

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace history {

/// The kind of an event, named as in the history file.
enum class event_kind
{
    request_sent,
    request_answered,
    request_start,
    request_end,
    request_over_slots,
    job_submitted,
    upstream_stop_planned,
    upstream_stopped,
    task_start,
    task_end,
    task_checkpoint,
    worker_capacity,
    domain_out,
    domain_in,
    table_revision_seen
};

/// The outcome that the answer to a caller reported.
enum class reported_outcome
{
    ran,
    not_run,
    unknown
};

/// Resources that a task uses or a worker has.
struct amounts
{
    std::int64_t millicores = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;
};

/// One line of a history; fields that its kind does not use keep their
/// defaults.
struct event
{
    event_kind kind = event_kind::request_sent;
    /// Time on the steady clock that all stand-ins of a run share.
    std::chrono::microseconds at{0};
    /// The process that recorded it; for revisions, the one that adopted it.
    std::string who;
    /// The request's key, unique to one piece of work.
    std::string key;
    std::string upstream;
    std::string job;
    std::uint64_t attempt = 0;
    std::string worker;
    std::string failure_domain;
    bool repeatable = true;
    reported_outcome outcome = reported_outcome::unknown;
    /// The key in the answer's body.
    std::string body_key;
    /// True if the body arrived complete and unaltered.
    bool whole = true;
    /// How a task or request ended: finished, failed, stopped, lapsed or cut.
    std::string how;
    amounts size;
    std::uint64_t revision = 0;
};

/// The guarantees that are checked; the last stands for malformed input.
enum class rule
{
    one_place,
    not_repeated,
    not_run_is_true,
    answer_is_own_and_whole,
    capacity,
    domain_out,
    revision_grows,
    planned_stop_cuts_nothing,
    readable
};

/// The rule's name as printed.
char const* to_string(rule broken);

/// A rule that a history breaks.
struct violation
{
    rule broken = rule::readable;
    /// What was found, in one line.
    std::string text;
};

/// Limits that the rules use.
struct check_limits
{
    /// Time after a domain is taken out from which no task may start there.
    std::chrono::microseconds domain_out_bound{std::chrono::seconds{3}};
};

/// Reads JSON lines; each line that can't be read adds a violation to `faults`.
std::vector<event>
read_history(std::istream& from, std::vector<violation>& faults);

/// Checks a history in the order of time; equal times keep the order of lines.
std::vector<violation>
check_history(std::vector<event> events, check_limits const& limits);

} // namespace history

#endif
