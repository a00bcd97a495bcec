/// Decides from what callers, upstreams and workers saw whether the promises
/// were kept. Shares no code with the product.
#ifndef SYCAMORESPAR_STANDINS_HISTORY_CHECKER_HPP
#define SYCAMORESPAR_STANDINS_HISTORY_CHECKER_HPP

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace history {

/// What happened.
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

/// What the caller was told.
enum class reported_outcome
{
    ran,
    not_run,
    unknown
};

/// Amounts that a task uses or a worker has.
struct amounts
{
    std::int64_t millicores = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;
};

/// One line of a history; fields that its kind does not use stay empty.
struct event
{
    event_kind kind = event_kind::request_sent;
    /// When, on the clock that all stand-ins of a run share.
    std::chrono::microseconds at{0};
    /// Who saw it: a process, and for revisions the one that adopted it.
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
    /// The key that the answer's body carries.
    std::string body_key;
    /// True where the body was as long as it said, and its checksum right.
    bool whole = true;
    /// How a task or request ended: finished, failed, stopped, lapsed or cut.
    std::string how;
    amounts size;
    std::uint64_t revision = 0;
};

/// The promises.
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

/// A name for people.
char const* to_string(rule broken);

/// A promise that was broken.
struct violation
{
    rule broken = rule::readable;
    /// What was seen, in one line.
    std::string text;
};

/// Limits that the rules are checked by.
struct check_limits
{
    /// From a domain's going out until no task may start there.
    std::chrono::microseconds domain_out_bound{std::chrono::seconds{3}};
};

/// Reads JSON lines; each line that can't be read is a violation.
std::vector<event>
read_history(std::istream& from, std::vector<violation>& faults);

/// Checks a history; its order is by time, and by line where times are equal.
std::vector<violation>
check_history(std::vector<event> events, check_limits const& limits);

} // namespace history

#endif
