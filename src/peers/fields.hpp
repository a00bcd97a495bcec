/// Lists the fields of each encoded struct in their order on the wire. The
/// order must not change.
#ifndef SYCAMORESPAR_PEERS_FIELDS_HPP
#define SYCAMORESPAR_PEERS_FIELDS_HPP

#include "libsycamorespar/job.hpp"
#include "peers/message.hpp"

#include <tuple>

// The codec finds these functions by argument-dependent lookup, so each must be
// in the namespace of its struct.
#define SYCAMORESPAR_FIELDS(type, ...)                                         \
    inline auto fields(type& of)                                               \
    {                                                                          \
        return std::tie(__VA_ARGS__);                                          \
    }                                                                          \
    inline auto fields(type const& of)                                         \
    {                                                                          \
        return std::tie(__VA_ARGS__);                                          \
    }

namespace sycamorespar {

template<class Tag>
auto fields(name_id<Tag>& of)
{
    return std::tie(of.value);
}
template<class Tag>
auto fields(name_id<Tag> const& of)
{
    return std::tie(of.value);
}
template<class Tag>
auto fields(number_id<Tag>& of)
{
    return std::tie(of.value);
}
template<class Tag>
auto fields(number_id<Tag> const& of)
{
    return std::tie(of.value);
}

SYCAMORESPAR_FIELDS(request_id, of.entry, of.sequence)
SYCAMORESPAR_FIELDS(attempt_id, of.job, of.number)
SYCAMORESPAR_FIELDS(permit, of.agent, of.epoch)
SYCAMORESPAR_FIELDS(resources, of.millicores, of.memory_mib, of.accelerators)
SYCAMORESPAR_FIELDS(upstream_report, of.name, of.rows, of.slots, of.in_flight)
SYCAMORESPAR_FIELDS(
    agent_report, of.worker, of.address, of.domain, of.rack, of.issued,
    of.version, of.revision, of.capacity, of.running, of.ready, of.leaving,
    of.upstreams)
SYCAMORESPAR_FIELDS(row_usage, of.row, of.tasks, of.committed)
SYCAMORESPAR_FIELDS(http_header, of.name, of.value)
SYCAMORESPAR_FIELDS(http_request, of.method, of.target, of.headers, of.body)
SYCAMORESPAR_FIELDS(http_response, of.status, of.headers, of.body)
SYCAMORESPAR_FIELDS(request_start, of.id, of.quoted, of.revision, of.row)
SYCAMORESPAR_FIELDS(
    task_start, of.attempt, of.quoted, of.revision, of.row, of.demand)
SYCAMORESPAR_FIELDS(
    attempt_report, of.attempt, of.worker, of.state, of.checkpoint, of.reason,
    of.nonce, of.peak, of.ran)
SYCAMORESPAR_FIELDS(
    job_request, of.id, of.row, of.demand, of.run, of.repeatable)
SYCAMORESPAR_FIELDS(
    job_placement, of.worker, of.domain, of.quoted, of.reserved,
    of.reclaim_after)
SYCAMORESPAR_FIELDS(job_event, of.state, of.attempt, of.at_ms, of.reason)
SYCAMORESPAR_FIELDS(
    job_record, of.request, of.state, of.attempt, of.placement, of.checkpoint,
    of.failures, of.cancel_requested, of.history)
SYCAMORESPAR_FIELDS(shard_snapshot, of.write_sequence, of.writer, of.jobs)

/// The last value of each encoded enumeration; larger values are refused.
constexpr refusal last_value(refusal)
{
    return refusal::not_ready;
}
constexpr start_outcome last_value(start_outcome)
{
    return start_outcome::unknown;
}
constexpr attempt_state last_value(attempt_state)
{
    return attempt_state::absent;
}
constexpr job_state last_value(job_state)
{
    return job_state::refused;
}

} // namespace sycamorespar

namespace sycamorespar::peers {

SYCAMORESPAR_FIELDS(heartbeat, of.report, of.sequence)
SYCAMORESPAR_FIELDS(repeated_heartbeat, of.issued, of.version, of.sequence)
SYCAMORESPAR_FIELDS(heartbeat_answer, of.sequence, of.revision, of.shards)
SYCAMORESPAR_FIELDS(table_request, of.known_revision)
SYCAMORESPAR_FIELDS(table_text, of.revision, of.text)
SYCAMORESPAR_FIELDS(table_change, of.revision, of.edit)
SYCAMORESPAR_FIELDS(start_request, of.start, of.request, of.time_left)
SYCAMORESPAR_FIELDS(request_answer, of.id, of.response, of.body_checksum)
SYCAMORESPAR_FIELDS(request_refused, of.id, of.why, of.reason, of.revision)
SYCAMORESPAR_FIELDS(request_unknown, of.id, of.reason)
SYCAMORESPAR_FIELDS(query_request, of.id, of.quoted)
SYCAMORESPAR_FIELDS(request_outcome, of.id, of.outcome)
SYCAMORESPAR_FIELDS(
    start_task, of.start, of.run_time, of.checkpoint, of.reclaim_after)
SYCAMORESPAR_FIELDS(stop_task, of.attempt)
SYCAMORESPAR_FIELDS(forget_task, of.attempt)
SYCAMORESPAR_FIELDS(query_task, of.attempt, of.quoted, of.nonce)
SYCAMORESPAR_FIELDS(task_report, of.report)
SYCAMORESPAR_FIELDS(task_reclaim_time, of.attempt, of.reclaim_after)

inline auto fields(report_request&)
{
    return std::tuple<>();
}
inline auto fields(report_request const&)
{
    return std::tuple<>();
}

} // namespace sycamorespar::peers

#undef SYCAMORESPAR_FIELDS

#endif
