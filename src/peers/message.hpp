/// The messages between entries and agents.
#ifndef SYCAMORESPAR_PEERS_MESSAGE_HPP
#define SYCAMORESPAR_PEERS_MESSAGE_HPP

#include "common/http_message.hpp"
#include "libsycamorespar/agent_admission.hpp"
#include "libsycamorespar/agent_directory.hpp"
#include "libsycamorespar/ledger_shard.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar::peers {

/// Agent to entry: the agent's state and the permit that starts may quote.
struct heartbeat
{
    /// The state of the agent, with the permit.
    agent_report report;
    /// Sequence number of this agent's heartbeats to this entry.
    std::uint64_t sequence = 0;
};

/// Agent to entry: a heartbeat without the report, which has not changed.
struct repeated_heartbeat
{
    /// The permit that starts may quote.
    permit issued;
    /// The version of the last report that was sent.
    std::uint64_t version = 0;
    /// Sequence number of this agent's heartbeats to this entry.
    std::uint64_t sequence = 0;
};

/// Entry to agent: requests the whole report, as the entry does not have the
/// version that a heartbeat refers to.
struct report_request
{};

/// Entry to agent: answers a heartbeat.
struct heartbeat_answer
{
    /// The sequence number of the answered heartbeat.
    std::uint64_t sequence = 0;
    /// The newest revision of the table that the entry has.
    table_revision revision;
    /// The shards that the entry holds under a valid lease.
    std::vector<shard_id> shards;
};

/// In both directions: requests a newer table.
struct table_request
{
    /// The revision that the sender has.
    table_revision known_revision;
};

/// In both directions: the whole table, in its stored form.
struct table_text
{
    /// The revision of the table.
    table_revision revision;
    /// The encoded table.
    std::string text;
};

/// Entry to agent: the edit that turns its base revision into the next one.
struct table_change
{
    /// The revision after the edit.
    table_revision revision;
    /// The encoded edit.
    std::string edit;
};

/// Entry to agent: starts a request.
struct start_request
{
    /// The input of admission.
    request_start start;
    /// The request that is forwarded to the upstream.
    http_request request;
    /// Time until the caller's deadline.
    std::chrono::milliseconds time_left{0};
};

/// Agent to entry: the upstream's answer.
struct request_answer
{
    /// The request.
    request_id id;
    /// The answer.
    http_response response;
    /// Checksum of the body, to detect damage in transit.
    std::uint64_t body_checksum = 0;
};

/// Agent to entry: the request was not run.
struct request_refused
{
    /// The request.
    request_id id;
    /// The kind of refusal.
    refusal why = refusal::stale_permit;
    /// One line of detail if the upstream was not reached; empty if admission
    /// refused the request.
    std::string reason;
    /// The newest revision of the table that the agent has.
    table_revision revision;
};

/// Agent to entry: it is unknown whether the request was run.
struct request_unknown
{
    /// The request.
    request_id id;
    /// The reason, in one line.
    std::string reason;
};

/// Entry to agent: queries the outcome of a request.
struct query_request
{
    /// The request.
    request_id id;
    /// The permit that the request quoted.
    permit quoted;
};

/// Agent to entry: answers `query_request`.
struct request_outcome
{
    /// The request.
    request_id id;
    /// The outcome as far as the agent knows it.
    start_outcome outcome = start_outcome::unknown;
};

/// Entry to agent: starts a task.
struct start_task
{
    /// The input of admission.
    task_start start;
    /// How long the task runs; negative if it runs until it is stopped.
    std::chrono::milliseconds run_time{0};
    /// The checkpoint to resume from; may be empty.
    std::string checkpoint;
    /// The task may be started elsewhere after the agent has been unreachable
    /// for this long.
    std::chrono::seconds reclaim_after{0};
};

/// Entry to agent: checkpoints and stops an attempt.
struct stop_task
{
    /// The attempt.
    attempt_id attempt;
};

/// Entry to agent: the end of the attempt is recorded, so the agent can forget
/// it.
struct forget_task
{
    /// The attempt.
    attempt_id attempt;
};

/// Entry to agent: requests a current report of an attempt.
struct query_task
{
    /// The attempt.
    attempt_id attempt;
    /// The permit that the attempt's start quoted.
    permit quoted;
    /// Returned in the answer.
    std::uint64_t nonce = 0;
};

/// Agent to entry: the state of an attempt.
struct task_report
{
    /// The report.
    attempt_report report;
};

/// Entry to agent: the reclaim time of a running attempt, for an agent that has
/// restarted since the start.
struct task_reclaim_time
{
    /// The attempt.
    attempt_id attempt;
    /// The task may be started elsewhere after the agent has been unreachable
    /// for this long.
    std::chrono::seconds reclaim_after{0};
};

/// Any message. The index is the kind on the wire, so new alternatives are
/// added at the end.
using message = std::variant<
    heartbeat, heartbeat_answer, table_request, table_text, start_request,
    request_answer, request_refused, request_unknown, query_request,
    request_outcome, start_task, stop_task, forget_task, query_task,
    task_report, task_reclaim_time, repeated_heartbeat, report_request,
    table_change>;

/// A message with its sender.
struct envelope
{
    /// The sender's name: the id of an entry, or the worker of an agent.
    std::string from;
    /// The sender's incarnation.
    incarnation sender_incarnation;
    /// The address that the sender receives messages at.
    std::string address;
    /// The message.
    message body;
};

} // namespace sycamorespar::peers

#endif
