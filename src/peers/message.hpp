/// The messages between our own processes.
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

/// Agent to entry: what it has and the permit that starts may quote.
struct heartbeat
{
    /// What the agent reports.
    agent_report report;
    /// Numbers the heartbeats that this agent sent to this entry.
    std::uint64_t sequence = 0;
};

/// Agent to entry: a heartbeat whose report is that of an earlier one.
struct repeated_heartbeat
{
    /// The permit that starts may quote.
    permit issued;
    /// The version of the report.
    std::uint64_t version = 0;
    /// Numbers the heartbeats that this agent sent to this entry.
    std::uint64_t sequence = 0;
};

/// Entry to agent: it does not have the report that was repeated.
struct report_request
{};

/// Entry to agent: answers a heartbeat.
struct heartbeat_answer
{
    /// The heartbeat that it answers.
    std::uint64_t sequence = 0;
    /// The newest table that the entry knows.
    table_revision revision;
    /// The shards that the entry holds by a live lease.
    std::vector<shard_id> shards;
};

/// Either way: asks for the table.
struct table_request
{
    /// What the sender has.
    table_revision known_revision;
};

/// Either way: the whole table, as the text that the store holds.
struct table_text
{
    /// Its revision.
    table_revision revision;
    /// The text.
    std::string text;
};

/// Entry to agent: the edit that leads from its base to the next revision.
struct table_change
{
    /// The revision that the edit leads to.
    table_revision revision;
    /// The edit as text.
    std::string edit;
};

/// Entry to agent: starts a request.
struct start_request
{
    /// What admission judges.
    request_start start;
    /// What is forwarded to the upstream.
    http_request request;
    /// How long the caller still waits.
    std::chrono::milliseconds time_left{0};
};

/// Agent to entry: the upstream's whole answer.
struct request_answer
{
    /// The request.
    request_id id;
    /// The answer.
    http_response response;
    /// xxHash of the body, so that a damaged one is an error.
    std::uint64_t body_checksum = 0;
};

/// Agent to entry: the request was not run.
struct request_refused
{
    /// The request.
    request_id id;
    /// Why.
    refusal why = refusal::stale_permit;
    /// Where `why` is not a refusal by admission: the reason in one line.
    std::string reason;
    /// The newest table that the agent knows.
    table_revision revision;
};

/// Agent to entry: it can't be told whether the request ran.
struct request_unknown
{
    /// The request.
    request_id id;
    /// Why, in one line.
    std::string reason;
};

/// Entry to agent: asks what became of a request.
struct query_request
{
    /// The request.
    request_id id;
    /// The permit that it quoted.
    permit quoted;
};

/// Agent to entry: what became of a request.
struct request_outcome
{
    /// The request.
    request_id id;
    /// What is known.
    start_outcome outcome = start_outcome::unknown;
};

/// Entry to agent: starts a task.
struct start_task
{
    /// What admission judges.
    task_start start;
    /// How long it runs; below zero until stopped.
    std::chrono::milliseconds run_time{0};
    /// Where it resumes.
    std::string checkpoint;
    /// Silence after which it may be run elsewhere.
    std::chrono::seconds reclaim_after{0};
};

/// Entry to agent: checkpoint and stop an attempt.
struct stop_task
{
    /// The attempt.
    attempt_id attempt;
};

/// Entry to agent: the end of the attempt is recorded.
struct forget_task
{
    /// The attempt.
    attempt_id attempt;
};

/// Entry to agent: asks for a fresh look at an attempt.
struct query_task
{
    /// The attempt.
    attempt_id attempt;
    /// The permit that its start quoted.
    permit quoted;
    /// Quoted by the answer.
    std::uint64_t nonce = 0;
};

/// Agent to entry: how an attempt stands.
struct task_report
{
    /// What is known.
    attempt_report report;
};

/// Entry to agent: what an attempt that runs was placed with.
struct task_reclaim_time
{
    /// The attempt.
    attempt_id attempt;
    /// Silence after which it may be run elsewhere.
    std::chrono::seconds reclaim_after{0};
};

/// Any message between our processes. New kinds go to the end.
using message = std::variant<
    heartbeat, heartbeat_answer, table_request, table_text, start_request,
    request_answer, request_refused, request_unknown, query_request,
    request_outcome, start_task, stop_task, forget_task, query_task,
    task_report, task_reclaim_time, repeated_heartbeat, report_request,
    table_change>;

/// A message with its sender.
struct envelope
{
    /// The sender's name: an entry's id or an agent's worker.
    std::string from;
    /// The sender's life.
    incarnation sender_incarnation;
    /// Where the sender listens.
    std::string address;
    /// The message.
    message body;
};

} // namespace sycamorespar::peers

#endif
