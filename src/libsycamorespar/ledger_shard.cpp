/// Write-ahead: an action that others can observe (a start, a reply to the
/// caller, permission to drop an attempt's record) waits until the write that
/// records its cause is known to be in the store. A write of unknown outcome is
/// resolved by reading the shard and, where the write is missing, by sending
/// the same snapshot again: both carry the same compare, so that at most one of
/// the two takes effect.
///
/// An attempt counts as ended only with proof: the worker's report, a listing
/// requested after every permit that its start could quote had expired, or the
/// expiry of the lease that only this holder extends.
#include "libsycamorespar/ledger_shard.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <xxhash.h>

namespace sycamorespar {

namespace {

/// Allowance for the time between a decision and the resulting message.
constexpr std::chrono::milliseconds decision_slack{200};

/// Time after a recorded placement until none of its starts can be admitted
/// any more.
constexpr duration start_window =
    with_clock_error(permit_lifetime) + decision_slack;

} // namespace

shard_id shard_of(job_id const& job, std::uint32_t shard_count)
{
    XXH64_hash_t const hash = XXH3_64bits(job.value.data(), job.value.size());
    return shard_id{hash % shard_count + 1};
}

ledger_shard::ledger_shard(
    shard_id id, incarnation self, ledger_limits const& limits,
    ledger_hooks hooks)
    : id_(id), self_(self), limits_(limits), hooks_(std::move(hooks))
{}

void ledger_shard::load(shard_snapshot const& snapshot, monotonic_time now)
{
    invariant(!loaded_, "a holder loads its shard only once");
    loaded_ = true;
    taken_over_at_ = now;
    for (job_record const& job : snapshot.jobs) {
        jobs_.emplace(job.request.id, job);
        if (job.state == job_state::queued)
            queued_[job.request.row].insert(job.request.id);
        if (is_held(job.state)) {
            held_.insert(job.request.id);
            tracked_[job.request.id] = {now, now, 0, now};
        }
        if (is_final(job.state))
            ended_order_.push_back(job.request.id);
    }
}

void ledger_shard::adopt_table(table_policy const& policy)
{
    if (policy.revision <= policy_.revision)
        return;
    policy_ = policy;
    withdraw(placements_waiting_);
    stop_in_closed_domains();
}

std::optional<error>
ledger_shard::submit(job_request const& request, monotonic_time)
{
    if (!loaded_ || lost_)
        return error{"ledger.submit", "", "the shard is not held here"};
    if (jobs_.contains(request.id)) {
        effects_waiting_.push_back(
            recorded_action{request.id, jobs_.at(request.id).state});
        changed_ = true;
        return std::nullopt;
    }
    if (jobs_.size() >= limits_.max_jobs)
        return error{"ledger.submit", "", "the shard is full"};
    if (!is_valid_demand(request.demand))
        return error{"ledger.submit", "", "a demand below zero"};
    job_record& job = jobs_[request.id];
    job.request = request;
    set_state(job, job_state::queued, "submitted");
    effects_waiting_.push_back(recorded_action{request.id, job.state});
    return std::nullopt;
}

bool ledger_shard::cancel(job_id const& id, monotonic_time)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end() || lost_)
        return false;
    job_record& job = found->second;
    effects_waiting_.push_back(recorded_action{id, job.state});
    changed_ = true;
    if (is_final(job.state))
        return true;
    job.cancel_requested = true;
    if (is_held(job.state))
        request_stop(job, "cancelled by its owner");
    else
        finish_job(job, job_state::cancelled, "cancelled by its owner");
    return true;
}

void ledger_shard::evict(job_id const& id, std::string const& reason)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    job_state const state = found->second.state;
    if (state == job_state::placed || state == job_state::running)
        request_stop(found->second, reason);
}

bool ledger_shard::resolve_parked(job_id const& id, bool run_again)
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end() || found->second.state != job_state::parked)
        return false;
    if (run_again)
        requeue(found->second, "a person asked for another run");
    else
        finish_job(found->second, job_state::failed, "ended by a person");
    return true;
}

void ledger_shard::set_state(
    job_record& job, job_state state, std::string const& reason)
{
    job.state = state;
    job.history.push_back(
        {state, job.attempt, hooks_.wall_clock_ms ? hooks_.wall_clock_ms() : 0,
         reason});
    if (job.history.size() > limits_.history_kept)
        job.history.erase(job.history.begin());
    job_id const& id = job.request.id;
    if (state == job_state::queued)
        queued_[job.request.row].insert(id);
    else
        queued_[job.request.row].erase(id);
    if (is_held(state)) {
        held_.insert(id);
    } else {
        held_.erase(id);
        tracked_.erase(id);
    }
    changed_ = true;
}

void ledger_shard::finish_job(
    job_record& job, job_state state, std::string const& reason)
{
    invariant(!is_final(job.state), "a job ends once");
    set_state(job, state, reason);
    ended_order_.push_back(job.request.id);
    remove_old_ended_jobs();
}

void ledger_shard::remove_old_ended_jobs()
{
    while (ended_order_.size() > limits_.ended_jobs_kept) {
        jobs_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

void ledger_shard::requeue(job_record& job, std::string const& reason)
{
    if (job.cancel_requested) {
        finish_job(job, job_state::cancelled, reason);
        return;
    }
    set_state(job, job_state::queued, reason);
}

void ledger_shard::requeue_or_park(job_record& job, std::string const& reason)
{
    if (job.request.repeatable || job.cancel_requested) {
        requeue(job, reason);
        return;
    }
    set_state(job, job_state::parked, reason);
}

void ledger_shard::on_failed(job_record& job, std::string const& reason)
{
    ++job.failures;
    if (job.cancel_requested) {
        finish_job(job, job_state::cancelled, reason);
        return;
    }
    if (!job.request.repeatable || job.failures >= limits_.max_failures) {
        finish_job(job, job_state::failed, reason);
        return;
    }
    requeue(job, reason);
}

void ledger_shard::request_stop(job_record& job, std::string const& reason)
{
    if (job.state == job_state::stopping)
        return;
    set_state(job, job_state::stopping, reason);
    effects_waiting_.push_back(
        stop_task_action{{job.request.id, job.attempt}, job.placement.worker});
}

void ledger_shard::place(job_record& job, job_placement const& where)
{
    job.attempt = attempt_number{job.attempt.value + 1};
    job.placement = where;
    job.placement.reclaim_after =
        find_row(policy_, job.request.row)->reclaim_after;
    set_state(job, job_state::placed, "placed on " + where.worker.value);
    placements_waiting_.insert(job.request.id);
    effects_waiting_.push_back(start_task_action{
        {job.request.id, job.attempt},
        where,
        job.request.row,
        where.reserved,
        job.request.run,
        job.checkpoint,
        policy_.revision});
}

void ledger_shard::place_row(
    std::set<job_id>& waiting, monotonic_time now, std::size_t& remaining)
{
    // If the first job of a row can't be placed, the rest of the row is not
    // tried, so that a long queue costs one placement attempt per tick instead
    // of one per job.
    while (!waiting.empty() && remaining > 0) {
        job_record& job = jobs_.at(*waiting.begin());
        placement_result const chosen = hooks_.place(job, now);
        if (std::holds_alternative<placement_deferred>(chosen))
            return;
        if (auto const* impossible =
                std::get_if<placement_impossible>(&chosen)) {
            finish_job(job, job_state::refused, impossible->reason);
            continue;
        }
        place(job, std::get<job_placement>(chosen));
        --remaining;
    }
}

void ledger_shard::place_rows(
    bool urgent, monotonic_time now, std::size_t& remaining)
{
    for (auto& [id, waiting] : queued_) {
        row_policy const* row = find_row(policy_, id);
        if (row != nullptr && row->urgent == urgent)
            place_row(waiting, now, remaining);
    }
}

void ledger_shard::place_waiting(monotonic_time now)
{
    std::size_t remaining = limits_.placements_per_round;
    place_rows(true, now, remaining);
    place_rows(false, now, remaining);
}

void ledger_shard::withdraw(std::set<job_id>& placements)
{
    for (job_id const& id : placements) {
        job_record& job = jobs_.at(id);
        if (!is_held(job.state))
            continue;
        attempt_id const attempt{id, job.attempt};
        std::erase_if(effects_waiting_, [&](ledger_action const& effect) {
            auto const* start = std::get_if<start_task_action>(&effect);
            auto const* stop = std::get_if<stop_task_action>(&effect);
            return (start != nullptr && start->attempt == attempt) ||
                   (stop != nullptr && stop->attempt == attempt);
        });
        job.attempt = attempt_number{job.attempt.value - 1};
        requeue(job, "the table changed before the placement was recorded");
    }
    placements.clear();
}

void ledger_shard::stop_in_closed_domains()
{
    std::vector<job_id> const held(held_.begin(), held_.end());
    for (job_id const& id : held) {
        job_record& job = jobs_.at(id);
        if (!may_run_in(policy_, job.request.row, job.placement.domain))
            request_stop(
                job, "failure domain " + job.placement.domain.value +
                         " is out of service");
    }
}

void ledger_shard::reclaim_silent(monotonic_time now)
{
    std::vector<job_id> const held(held_.begin(), held_.end());
    for (job_id const& id : held) {
        auto const tracked = tracked_.find(id);
        if (tracked == tracked_.end())
            continue;
        job_record& job = jobs_.at(id);
        monotonic_time extended_at =
            std::max(tracked->second.tracked_since, taken_over_at_);
        auto const acknowledged = acknowledged_.find(job.placement.worker);
        if (acknowledged != acknowledged_.end())
            extended_at = std::max(extended_at, acknowledged->second);
        duration const wait =
            with_clock_error(job.placement.reclaim_after) + start_window;
        if (now - extended_at < wait)
            continue;
        requeue_or_park(job, "its worker's lease has lapsed in silence");
    }
}

void ledger_shard::query_silent(monotonic_time now)
{
    for (auto& [id, tracked] : tracked_) {
        if (now - tracked.last_report_at < limits_.query_after ||
            now - tracked.queried_at < limits_.query_after)
            continue;
        job_record const& job = jobs_.at(id);
        attempt_id const attempt{id, job.attempt};
        tracked.nonce = next_nonce_++;
        tracked.queried_at = now;
        actions_.push_back(query_task_action{
            attempt, job.placement.worker, job.placement.quoted,
            tracked.nonce});
        if (job.state == job_state::stopping)
            actions_.push_back(stop_task_action{attempt, job.placement.worker});
    }
}

void ledger_shard::on_acknowledged(worker_id const& worker, monotonic_time now)
{
    acknowledged_[worker] = now;
}

void ledger_shard::reply_to_unknown_attempt(attempt_report const& report)
{
    bool const runs = report.state == attempt_state::running;
    if (runs)
        actions_.push_back(stop_task_action{report.attempt, report.worker});
    else
        actions_.push_back(forget_task_action{report.attempt, report.worker});
}

void ledger_shard::on_report(attempt_report const& report, monotonic_time now)
{
    if (!loaded_ || lost_)
        return;
    auto const found = jobs_.find(report.attempt.job);
    if (found == jobs_.end()) {
        reply_to_unknown_attempt(report);
        return;
    }
    job_record& job = found->second;
    if (report.attempt.number != job.attempt || !is_held(job.state)) {
        // Until the end of an attempt is recorded, the agent must keep its
        // record of it: the shard's next holder may have to query it again.
        if (is_settled())
            reply_to_unknown_attempt(report);
        return;
    }
    if (!tracked_.contains(job.request.id))
        return;
    apply_report(job, report, now);
}

bool ledger_shard::is_valid_proof(
    job_record const& job, attempt_report const& report, monotonic_time) const
{
    tracked_attempt const& tracked = tracked_.at(job.request.id);
    return report.nonce != 0 && report.nonce == tracked.nonce &&
           tracked.queried_at - tracked.tracked_since >= start_window;
}

void ledger_shard::apply_report(
    job_record& job, attempt_report const& report, monotonic_time now)
{
    tracked_.at(job.request.id).last_report_at = now;
    switch (report.state) {
    case attempt_state::running:
        if (job.state == job_state::placed)
            set_state(job, job_state::running, "running");
        return;
    case attempt_state::finished:
        finish_job(job, job_state::finished, report.reason);
        break;
    case attempt_state::failed:
        if (!report.checkpoint.empty())
            job.checkpoint = report.checkpoint;
        on_failed(job, report.reason);
        break;
    case attempt_state::stopped:
        job.checkpoint = report.checkpoint;
        requeue(job, "stopped at a checkpoint");
        break;
    case attempt_state::lapsed:
        requeue_or_park(job, "its worker's lease has lapsed");
        break;
    case attempt_state::refused:
        requeue(job, "refused by the agent: " + report.reason);
        return;
    case attempt_state::never_ran:
        if (is_valid_proof(job, report, now))
            requeue(job, "its start never arrived");
        return;
    case attempt_state::absent:
        if (is_valid_proof(job, report, now))
            requeue_or_park(job, "its worker no longer has it");
        return;
    }
    effects_waiting_.push_back(
        forget_task_action{report.attempt, report.worker});
}

void ledger_shard::emit_effect(ledger_action const& effect, monotonic_time now)
{
    auto const* start = std::get_if<start_task_action>(&effect);
    if (start == nullptr) {
        actions_.push_back(effect);
        return;
    }
    job_id const& id = start->attempt.job;
    tracked_[id] = {now, now, 0, now};
    job_record const& job = jobs_.at(id);
    // If a stop was decided while the placement was being written, the start
    // is not sent. The agent's report that it never ran then ends the attempt.
    if (job.state != job_state::placed || job.attempt != start->attempt.number)
        return;
    actions_.push_back(effect);
}

void ledger_shard::commit_in_flight(monotonic_time now)
{
    writing_ = false;
    placements_in_flight_.clear();
    std::vector<ledger_action> const effects =
        std::exchange(effects_in_flight_, {});
    for (ledger_action const& effect : effects)
        emit_effect(effect, now);
}

void ledger_shard::on_write_result(write_result answer, monotonic_time now)
{
    if (!writing_)
        return;
    switch (answer) {
    case write_result::committed:
        commit_in_flight(now);
        return;
    case write_result::table_changed: {
        writing_ = false;
        changed_ = true;
        effects_waiting_.insert(
            effects_waiting_.begin(), effects_in_flight_.begin(),
            effects_in_flight_.end());
        effects_in_flight_.clear();
        withdraw(placements_in_flight_);
        withdraw(placements_waiting_);
        return;
    }
    case write_result::not_sent:
        // Compares the table revision of the decision, not the current one:
        // placements decided by an older table must not be accepted under a
        // newer one.
        actions_.push_back(
            write_shard_action{snapshot_in_flight_, table_in_flight_});
        return;
    case write_result::conflict:
    case write_result::unknown:
        compare_failed_ = answer == write_result::conflict;
        actions_.push_back(read_shard_action{});
        return;
    }
}

void ledger_shard::on_read(shard_snapshot const& snapshot, monotonic_time now)
{
    if (!writing_ || lost_)
        return;
    if (snapshot.writer == self_ &&
        snapshot.write_sequence == snapshot_in_flight_.write_sequence) {
        commit_in_flight(now);
        return;
    }
    if (compare_failed_) {
        lost_ = true;
        actions_.push_back(shard_lost_action{"another holder has written"});
        return;
    }
    on_write_result(write_result::not_sent, now);
}

void ledger_shard::write_if_due(monotonic_time now)
{
    if (!changed_ || writing_ || now - last_write_at_ < write_interval_)
        return;
    last_write_at_ = now;
    changed_ = false;
    writing_ = true;
    compare_failed_ = false;
    snapshot_in_flight_ = {++write_sequence_, self_, {}};
    snapshot_in_flight_.jobs.reserve(jobs_.size());
    for (auto const& [id, job] : jobs_)
        snapshot_in_flight_.jobs.push_back(job);
    effects_in_flight_ = std::exchange(effects_waiting_, {});
    placements_in_flight_ = std::exchange(placements_waiting_, {});
    table_in_flight_.reset();
    if (!placements_in_flight_.empty())
        table_in_flight_ = policy_.revision;
    on_write_result(write_result::not_sent, now);
}

std::vector<ledger_action> ledger_shard::tick(monotonic_time now)
{
    if (loaded_ && !lost_) {
        if (now >= next_silence_check_at_) {
            next_silence_check_at_ = now + limits_.silence_check_interval;
            reclaim_silent(now);
            query_silent(now);
        }
        place_waiting(now);
        write_if_due(now);
    }
    return std::exchange(actions_, {});
}

job_record const* ledger_shard::find(job_id const& job) const
{
    auto const found = jobs_.find(job);
    return found != jobs_.end() ? &found->second : nullptr;
}

} // namespace sycamorespar
