/// Admission runs in the agent's event loop, and no other process assigns the
/// same slots and cores. The counters are therefore exact.
#include "libsycamorespar/agent_admission.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

/// How long the id of a start is kept: many permit lifetimes, so that the
/// permit of a delayed duplicate has long expired when its id is dropped.
constexpr std::chrono::seconds id_retention{60};

template<class Admitted>
void count(
    admission_counts& counts, std::variant<Admitted, refusal> const& verdict)
{
    if (auto const* why = std::get_if<refusal>(&verdict))
        ++counts.refused[*why];
    else
        ++counts.admitted;
}

} // namespace

char const* to_string(refusal why)
{
    switch (why) {
    case refusal::stale_permit:
        return "stale_permit";
    case refusal::stale_table:
        return "stale_table";
    case refusal::duplicate:
        return "duplicate";
    case refusal::no_upstream:
        return "no_upstream";
    case refusal::no_slot:
        return "no_slot";
    case refusal::no_room:
        return "no_room";
    case refusal::domain_out:
        return "domain_out";
    case refusal::leaving:
        return "leaving";
    case refusal::not_ready:
        return "not_ready";
    }
    return "refused";
}

agent_admission::agent_admission(incarnation self, failure_domain_id domain)
    : permits_(self), domain_(std::move(domain))
{}

permit agent_admission::renew_permit(monotonic_time now)
{
    std::erase_if(attempts_, [now](auto const& each) {
        return now - each.second.seen_at >= id_retention;
    });
    return permits_.issue(now);
}

bool agent_admission::adopt_table(table_policy const& policy)
{
    if (policy.revision <= policy_.revision)
        return false;
    policy_ = policy;
    return true;
}

void agent_admission::announce_upstream(upstream_state const& announced)
{
    auto& known = upstreams_[announced.name];
    auto const in_flight = known.in_flight;
    known = announced;
    known.in_flight = in_flight;
}

void agent_admission::set_upstream_leaving(std::string const& name)
{
    auto const found = upstreams_.find(name);
    if (found != upstreams_.end())
        found->second.leaving = true;
}

void agent_admission::remove_upstream(std::string const& name)
{
    upstreams_.erase(name);
}

bool agent_admission::may_start(row_id const& row) const
{
    return may_run_in(policy_, row, domain_);
}

upstream_state* agent_admission::pick_upstream(row_id const& row, refusal& why)
{
    upstream_state* best = nullptr;
    why = refusal::no_upstream;
    for (auto& [name, each] : upstreams_) {
        if (std::find(each.rows.begin(), each.rows.end(), row) ==
            each.rows.end())
            continue;
        if (each.leaving) {
            why = refusal::leaving;
            continue;
        }
        if (each.in_flight >= each.slots) {
            why = refusal::no_slot;
            continue;
        }
        if (best == nullptr || each.in_flight < best->in_flight)
            best = &each;
    }
    return best;
}

std::variant<request_admitted, refusal>
agent_admission::admit_request(request_start const& start, monotonic_time now)
{
    remove_expired_requests(now);
    // Checked before the permit: a late copy of a running request must not be
    // answered with a refusal.
    if (requests_.contains(start.id))
        return refusal::duplicate;
    if (!permits_.is_live(start.quoted, now))
        return refusal::stale_permit;
    auto verdict = decide_request(start);
    // A refused id stays refused: the entry takes the refusal as proof that
    // the request did not run, so a second copy of the message must not run.
    seen_request seen{"", now, true, true};
    if (auto const* admitted = std::get_if<request_admitted>(&verdict))
        seen = {admitted->upstream, now, false, false};
    requests_.emplace(start.id, seen);
    request_order_.push_back(start.id);
    return verdict;
}

std::variant<request_admitted, refusal>
agent_admission::decide_request(request_start const& start)
{
    if (leaving_)
        return refusal::leaving;
    if (start.revision < policy_.revision)
        return refusal::stale_table;
    if (!may_start(start.row))
        return refusal::domain_out;
    refusal why{};
    upstream_state* chosen = pick_upstream(start.row, why);
    if (chosen == nullptr)
        return why;
    ++chosen->in_flight;
    ++in_flight_;
    invariant(
        chosen->in_flight <= chosen->slots,
        "an upstream has no more requests in flight than slots");
    return request_admitted{chosen->name};
}

void agent_admission::finish_request(request_id const& id)
{
    auto const found = requests_.find(id);
    if (found == requests_.end() || found->second.ended)
        return;
    found->second.ended = true;
    invariant(in_flight_ > 0, "a finished request was in flight");
    --in_flight_;
    auto const upstream = upstreams_.find(found->second.upstream);
    if (upstream != upstreams_.end() && upstream->second.in_flight > 0)
        --upstream->second.in_flight;
}

void agent_admission::remove_expired_requests(monotonic_time now)
{
    while (!request_order_.empty()) {
        auto const found = requests_.find(request_order_.front());
        if (now - found->second.admitted_at < id_retention)
            return;
        if (!found->second.ended)
            return;
        requests_.erase(found);
        request_order_.pop_front();
    }
}

start_outcome agent_admission::outcome_of(
    request_id const& id, permit const& quoted, monotonic_time now) const
{
    auto const found = requests_.find(id);
    if (found != requests_.end() && found->second.refused)
        return start_outcome::never;
    if (found != requests_.end())
        return found->second.ended ? start_outcome::ended
                                   : start_outcome::running;
    // The ids that another incarnation saw are lost, and a valid permit may
    // still be used. An id dropped after the retention time looks like one
    // never seen, so `never` is only answered for recent permits.
    if (quoted.agent != permits_.self() || permits_.is_live(quoted, now))
        return start_outcome::unknown;
    return permits_.issued_within(quoted, id_retention, now)
               ? start_outcome::never
               : start_outcome::unknown;
}

std::variant<task_admitted, refusal>
agent_admission::admit_task(task_start const& start, monotonic_time now)
{
    auto verdict = admit_new_task(start, now);
    count(task_counts_, verdict);
    return verdict;
}

std::variant<task_admitted, refusal>
agent_admission::admit_new_task(task_start const& start, monotonic_time now)
{
    if (attempts_.contains(start.attempt) || tasks_.contains(start.attempt))
        return refusal::duplicate;
    duration const left = permits_.time_left(start.quoted, now);
    if (left <= duration::zero())
        return refusal::stale_permit;
    auto verdict = decide_task(start, left);
    bool const refused = std::holds_alternative<refusal>(verdict);
    attempts_.emplace(start.attempt, seen_attempt{now, refused});
    return verdict;
}

std::variant<task_admitted, refusal>
agent_admission::decide_task(task_start const& start, duration left)
{
    if (leaving_)
        return refusal::leaving;
    if (!ready_)
        return refusal::not_ready;
    if (start.revision < policy_.revision)
        return refusal::stale_table;
    if (!may_start(start.row))
        return refusal::domain_out;
    if (!is_valid_demand(start.demand) ||
        !fits(start.demand, capacity_ - committed_))
        return refusal::no_room;
    committed_ += start.demand;
    invariant(
        fits(committed_, capacity_),
        "resources committed to tasks are within the worker's capacity");
    tasks_.emplace(start.attempt, held_task{start.row, start.demand});
    return task_admitted{left};
}

void agent_admission::adopt_task(
    attempt_id const& attempt, row_id const& row, resources const& demand)
{
    if (!tasks_.emplace(attempt, held_task{row, demand}).second)
        return;
    committed_ += demand;
}

void agent_admission::withdraw_task(attempt_id const& attempt)
{
    release_task(attempt);
    auto const found = attempts_.find(attempt);
    if (found != attempts_.end())
        found->second.refused = true;
}

void agent_admission::release_task(attempt_id const& attempt)
{
    auto const found = tasks_.find(attempt);
    if (found == tasks_.end())
        return;
    committed_ -= found->second.demand;
    tasks_.erase(found);
    invariant(
        is_valid_demand(committed_), "committed resources are not negative");
}

std::vector<row_usage> agent_admission::usage_by_row() const
{
    std::map<row_id, row_usage> by_row;
    for (auto const& [attempt, held] : tasks_) {
        row_usage& usage = by_row[held.row];
        usage.row = held.row;
        ++usage.tasks;
        usage.committed += held.demand;
    }
    std::vector<row_usage> usages;
    usages.reserve(by_row.size());
    for (auto const& [row, usage] : by_row)
        usages.push_back(usage);
    return usages;
}

start_outcome agent_admission::outcome_of(
    attempt_id const& attempt, permit const& quoted, monotonic_time now) const
{
    if (tasks_.contains(attempt))
        return start_outcome::running;
    auto const found = attempts_.find(attempt);
    if (found != attempts_.end())
        return found->second.refused ? start_outcome::never
                                     : start_outcome::ended;
    if (quoted.agent != permits_.self() || permits_.is_live(quoted, now))
        return start_outcome::unknown;
    return permits_.issued_within(quoted, id_retention, now)
               ? start_outcome::never
               : start_outcome::unknown;
}

} // namespace sycamorespar
