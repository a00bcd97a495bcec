/// Start-time fair queueing. A queue that becomes backlogged starts at the
/// current virtual time or at its own last finish time, whichever is later: it
/// gains no credit while idle and pays only what its last request was charged.
#include "libsycamorespar/row_scheduler.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace sycamorespar {

namespace {

/// Callers of a row that are tried before the row counts as blocked.
constexpr std::size_t max_callers_offered = 4;
/// Weight of a new sample in the moving average of the send interval.
constexpr double send_interval_smoothing = 0.1;
/// Lower bound on a row's weight.
constexpr double min_weight = 1e-3;

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

void row_scheduler::adopt_table(table_policy const& policy)
{
    for (auto const& [id, row] : policy.rows) {
        row_queue& queue = rows_[id];
        queue.weight = std::max(row.weight, min_weight);
        queue.limit = row.queue_limit;
    }
}

void row_scheduler::set_cost(row_id const& row, duration usual_latency)
{
    constexpr double min_cost_ms = 0.01;
    rows_[row].cost = std::max(milliseconds(usual_latency), min_cost_ms);
}

std::size_t row_scheduler::size(row_id const& row) const
{
    auto const found = rows_.find(row);
    return found != rows_.end() ? found->second.count : 0;
}

std::optional<waiting_request>
row_scheduler::push(waiting_request const& request)
{
    row_queue& queue = rows_[request.row];
    if (queue.limit == 0)
        return request;
    insert(queue, request);
    if (queue.count <= queue.limit)
        return std::nullopt;
    return evict_from_longest_queue(queue);
}

void row_scheduler::insert(row_queue& queue, waiting_request const& request)
{
    deadline_key const key{request.deadline, request.id};
    bool const is_new =
        positions_
            .emplace(
                request.id, queue_position{request.row, request.caller, key})
            .second;
    invariant(is_new, "a request is queued only once");
    if (queue.count == 0) {
        queue.start = std::max(queue.finish, virtual_time_);
        turns_.insert({queue.start, request.row});
        queue.last_sent.reset();
    }
    ++queue.count;
    remove_idle_callers(queue);
    caller_queue& caller = queue.callers[request.caller];
    if (caller.requests.empty()) {
        caller.start = std::max(caller.start, queue.virtual_time);
        queue.turns.insert({caller.start, request.caller});
    }
    caller.requests.emplace(key, request);
}

/// Callers without queued requests are kept while their start time is ahead of
/// the row's virtual time. Once there are many, those no longer ahead are
/// removed.
void row_scheduler::remove_idle_callers(row_queue& queue)
{
    constexpr std::size_t max_idle_callers = 64;
    if (queue.callers.size() < 2 * queue.turns.size() + max_idle_callers)
        return;
    std::erase_if(queue.callers, [&queue](auto const& each) {
        return each.second.requests.empty() &&
               each.second.start <= queue.virtual_time + 1.0;
    });
}

waiting_request row_scheduler::evict_from_longest_queue(row_queue& queue)
{
    auto const longest = std::max_element(
        queue.callers.begin(), queue.callers.end(),
        [](auto const& left, auto const& right) {
            return left.second.requests.size() < right.second.requests.size();
        });
    waiting_request evicted = std::prev(longest->second.requests.end())->second;
    erase(evicted.id);
    return evicted;
}

void row_scheduler::erase(request_id const& id)
{
    auto const found = positions_.find(id);
    if (found == positions_.end())
        return;
    queue_position const where = found->second;
    positions_.erase(found);
    remove(where.row, where.caller, where.key);
}

void row_scheduler::remove(
    row_id const& row, std::string const& caller, deadline_key const& key)
{
    row_queue& queue = rows_.at(row);
    auto const found = queue.callers.find(caller);
    found->second.requests.erase(key);
    if (found->second.requests.empty()) {
        queue.turns.erase({found->second.start, caller});
        // The caller's charge is no longer needed once the row's virtual time
        // has reached its start time.
        if (found->second.start <= queue.virtual_time)
            queue.callers.erase(found);
    }
    --queue.count;
    if (queue.count > 0)
        return;
    turns_.erase({queue.start, row});
    queue.callers.clear();
}

void row_scheduler::dispatch(sender const& try_send, monotonic_time now)
{
    std::set<row_id> blocked;
    while (blocked.size() < turns_.size()) {
        auto const next = std::find_if(
            turns_.begin(), turns_.end(), [&blocked](row_turn const& turn) {
                return !blocked.contains(turn.row);
            });
        if (next == turns_.end())
            return;
        row_id const row = next->row;
        if (!offer(row, try_send, now))
            blocked.insert(row);
    }
}

/// If the next caller in turn can't be sent, the next few callers of the row
/// are tried: a heavy caller must leave reserved slots that the others may use.
bool row_scheduler::offer(
    row_id const& row, sender const& try_send, monotonic_time now)
{
    std::vector<std::string> callers;
    for (caller_turn const& turn : rows_.at(row).turns) {
        if (callers.size() == max_callers_offered)
            break;
        callers.push_back(turn.caller);
    }
    return std::any_of(
        callers.begin(), callers.end(), [&](std::string const& caller) {
            return offer_head(row, caller, try_send, now);
        });
}

bool row_scheduler::offer_head(
    row_id const& row, std::string const& caller, sender const& try_send,
    monotonic_time now)
{
    row_queue& queue = rows_.at(row);
    waiting_request const head =
        queue.callers.at(caller).requests.begin()->second;
    offer_result const offered = try_send(head);
    if (offered == offer_result::blocked)
        return false;
    if (offered == offer_result::sent) {
        charge(row, caller);
        record_sent(queue, now);
    }
    erase(head.id);
    return true;
}

/// Advances the start times of the row and the caller by the request just sent.
void row_scheduler::charge(row_id const& row, std::string const& caller)
{
    row_queue& queue = rows_.at(row);
    virtual_time_ = std::max(virtual_time_, queue.start);
    turns_.erase({queue.start, row});
    queue.finish = queue.start + queue.cost / queue.weight;
    queue.start = queue.finish;
    turns_.insert({queue.start, row});
    caller_queue& served = queue.callers.at(caller);
    queue.virtual_time = std::max(queue.virtual_time, served.start);
    queue.turns.erase({served.start, caller});
    served.start += 1.0;
    queue.turns.insert({served.start, caller});
}

void row_scheduler::record_sent(row_queue& queue, monotonic_time now)
{
    if (queue.last_sent) {
        auto const span = now - *queue.last_sent;
        auto const change =
            send_interval_smoothing *
            static_cast<double>((span - queue.send_interval).count());
        queue.send_interval += duration(static_cast<duration::rep>(change));
    }
    queue.last_sent = now;
}

duration
row_scheduler::expected_wait(row_id const& row, std::string const& caller) const
{
    auto const found = rows_.find(row);
    if (found == rows_.end() || found->second.count == 0)
        return duration::zero();
    row_queue const& queue = found->second;
    auto const mine = queue.callers.find(caller);
    std::size_t const ahead =
        mine != queue.callers.end() ? mine->second.requests.size() : 0;
    auto const turns = static_cast<duration::rep>(queue.turns.size());
    return queue.send_interval * (static_cast<duration::rep>(ahead) * turns);
}

} // namespace sycamorespar
