/// A start needs admission by the agent and a worker lease that ends no later
/// than the permit, so that the worker refuses a start that is delayed on its
/// way.
///
/// The lease of a running task is extended up to `reclaim_after` after the last
/// heartbeat that the holder of the job's shard has answered, counted from the
/// time of sending. The holder counts from its answer, which is later, so the
/// worker stops the task before the holder starts it elsewhere.
#include "spar-agent/task_service.hpp"

#include "common/log.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

/// A lease is renewed once 1 / renewal_divisor of the task's
/// `reclaim_after` has passed.
constexpr int renewal_divisor = 3;
/// The worker reports usage with a delay, so it is read less often than the
/// states of tasks.
constexpr std::uint32_t polls_per_usage_read = 4;
/// A lease is not renewed if the new one would be shorter than this.
constexpr std::chrono::milliseconds min_lease{50};

std::chrono::milliseconds to_ms(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

attempt_state to_attempt_state(workers::task_state state)
{
    switch (state) {
    case workers::task_state::running:
        return attempt_state::running;
    case workers::task_state::finished:
        return attempt_state::finished;
    case workers::task_state::failed:
        return attempt_state::failed;
    case workers::task_state::stopped:
        return attempt_state::stopped;
    case workers::task_state::lapsed:
        return attempt_state::lapsed;
    }
    return attempt_state::absent;
}

} // namespace

task_service::task_service(
    event_loop& loop, worker_id self, endpoint worker,
    agent_admission& admission, reply_hook reply, report_hook report)
    : loop_(loop), self_(std::move(self)), admission_(admission),
      reply_(std::move(reply)), report_(std::move(report)),
      worker_(loop, std::move(worker))
{}

void task_service::recover()
{
    // A start that an earlier incarnation of this agent has sent may still be
    // on its way to the worker. Its worker lease ends with the permit's
    // lifetime, so only a list that is requested after that is complete.
    loop_.after(with_clock_error(permit_lifetime), [this] {
        worker_.describe([this](auto const& answer) {
            if (!ok(answer)) {
                log_error("worker_describe_failed", failure(answer));
                recover();
                return;
            }
            admission_.set_capacity(value(answer).capacity);
            worker_.list_tasks([this](auto const& listed) {
                if (!ok(listed)) {
                    log_error("worker_list_failed", failure(listed));
                    recover();
                    return;
                }
                for (workers::task_status const& each : value(listed))
                    apply_status(each);
                admission_.set_ready();
                log_event(
                    log_level::info, "agent_ready",
                    {{"tasks", admission_.tasks_held()}});
            });
        });
    });
}

void task_service::start(entry_id const& from, peers::start_task const& message)
{
    monotonic_time const now = event_loop::now();
    attempt_id const& attempt = message.start.attempt;
    auto const verdict = admission_.admit_task(message.start, now);
    if (auto const* why = std::get_if<refusal>(&verdict)) {
        if (*why != refusal::duplicate)
            reply_(
                from,
                peers::task_report{make_report(
                    attempt, attempt_state::refused, to_string(*why), 0)});
        return;
    }
    duration const time_left = std::get<task_admitted>(verdict).start_within;
    task& known_task = tasks_[attempt];
    known_task.starting = true;
    known_task.reclaim_after = message.reclaim_after;
    // Counted from the issue of the permit. The holder of the shard counts from
    // when the placement was recorded, which is later.
    known_task.max_lease_until =
        now + time_left - permit_lifetime + message.reclaim_after;
    // The worker counts the lease from when it grants it. The lease lasts half
    // of the permit's remaining time: if the answer arrives within the first
    // half, the lease ends before the permit. A later answer is refused.
    known_task.start_lease = time_left / 2;
    known_task.lease_until = now + known_task.start_lease;
    worker_.grant_lease(
        to_ms(time_left / 2), [this, from, message](auto const& lease) {
            on_lease(from, message, lease);
        });
}

void task_service::on_lease(
    entry_id const& from, peers::start_task const& message,
    result<workers::lease_id> const& lease)
{
    attempt_id const& attempt = message.start.attempt;
    auto const known_task = tasks_.find(attempt);
    if (known_task == tasks_.end())
        return;
    if (!ok(lease)) {
        refuse(from, attempt, failure(lease).reason);
        return;
    }
    if (event_loop::now() >= known_task->second.lease_until) {
        refuse(from, attempt, "the worker granted its lease too late");
        return;
    }
    // The start can take effect at the worker until the lease lapses.
    known_task->second.lease_until =
        event_loop::now() + known_task->second.start_lease;
    known_task->second.lease = value(lease);
    workers::task_spec spec;
    spec.id = attempt;
    spec.lease = value(lease);
    spec.row = message.start.row;
    spec.demand = message.start.demand;
    if (message.run_time >= std::chrono::milliseconds::zero())
        spec.run_time = message.run_time;
    spec.checkpoint = message.checkpoint;
    worker_.start_task(spec, [this, from, attempt](auto const& answer) {
        on_started(from, attempt, answer);
    });
}

void task_service::on_started(
    entry_id const& from, attempt_id const& attempt,
    result<workers::start_answer> const& answer)
{
    auto const known_task = tasks_.find(attempt);
    if (known_task == tasks_.end())
        return;
    if (!ok(answer)) {
        error const& fault = failure(answer);
        if (fault.effect == outcome::not_run)
            refuse(from, attempt, fault.reason);
        else
            log_error("task_start_unknown", fault);
        return;
    }
    known_task->second.starting = false;
    renew_leases();
    report(attempt);
}

void task_service::refuse(
    entry_id const& from, attempt_id const& attempt, std::string const& reason)
{
    tasks_.erase(attempt);
    admission_.withdraw_task(attempt);
    reply_(
        from, peers::task_report{
                  make_report(attempt, attempt_state::refused, reason, 0)});
}

void task_service::stop(peers::stop_task const& message)
{
    auto const known_task = tasks_.find(message.attempt);
    if (known_task == tasks_.end() || known_task->second.starting ||
        known_task->second.stopping ||
        known_task->second.state != attempt_state::running)
        return;
    known_task->second.stopping = true;
    attempt_id const attempt = message.attempt;
    worker_.stop(attempt, [this, attempt](auto const& checkpoint) {
        auto const found = tasks_.find(attempt);
        if (found == tasks_.end())
            return;
        found->second.stopping = false;
        if (!ok(checkpoint))
            log_error("task_stop_failed", failure(checkpoint));
        poll();
    });
}

void task_service::forget(peers::forget_task const& message)
{
    auto const known_task = tasks_.find(message.attempt);
    if (known_task == tasks_.end() ||
        known_task->second.state == attempt_state::running)
        return;
    tasks_.erase(known_task);
    worker_.forget(message.attempt, [](auto const& answer) {
        if (!ok(answer))
            log_error("task_forget_failed", failure(answer));
    });
}

void task_service::set_reclaim_time(peers::task_reclaim_time const& message)
{
    auto const known_task = tasks_.find(message.attempt);
    if (known_task != tasks_.end())
        known_task->second.reclaim_after = message.reclaim_after;
}

void task_service::extend_leases(
    std::function<bool(job_id const&)> const& is_held, monotonic_time sent_at)
{
    for (auto& [attempt, known_task] : tasks_) {
        if (known_task.reclaim_after.count() == 0 || !is_held(attempt.job))
            continue;
        known_task.max_lease_until = std::max(
            known_task.max_lease_until, sent_at + known_task.reclaim_after);
    }
    renew_leases();
}

void task_service::renew_leases()
{
    monotonic_time const now = event_loop::now();
    for (auto& [attempt, known_task] : tasks_) {
        if (known_task.starting || known_task.renewing ||
            known_task.state != attempt_state::running ||
            known_task.lease_until >= known_task.max_lease_until)
            continue;
        duration const wanted = known_task.max_lease_until - now;
        if (wanted < min_lease)
            continue;
        if (known_task.lease_until - now >
            known_task.reclaim_after -
                known_task.reclaim_after / renewal_divisor)
            continue;
        known_task.renewing = true;
        monotonic_time const until = known_task.max_lease_until;
        worker_.renew_lease(
            known_task.lease, to_ms(wanted),
            [this, id = attempt, until](result<done> const& answer) {
                auto const found = tasks_.find(id);
                if (found == tasks_.end())
                    return;
                found->second.renewing = false;
                if (ok(answer))
                    found->second.lease_until = until;
                else
                    log_error("lease_renew_failed", failure(answer));
            });
    }
}

attempt_report task_service::make_report(
    attempt_id const& attempt, attempt_state state, std::string const& reason,
    std::uint64_t nonce) const
{
    attempt_report new_report;
    new_report.attempt = attempt;
    new_report.worker = self_;
    new_report.state = state;
    new_report.reason = reason;
    new_report.nonce = nonce;
    auto const known_task = tasks_.find(attempt);
    if (known_task == tasks_.end())
        return new_report;
    new_report.checkpoint = known_task->second.checkpoint;
    new_report.peak = known_task->second.peak;
    new_report.ran = known_task->second.progress;
    return new_report;
}

void task_service::report(attempt_id const& attempt)
{
    report_(make_report(attempt, tasks_.at(attempt).state, "", 0));
}

void task_service::read_usage()
{
    worker_.usage([this](auto const& answer) {
        if (!ok(answer))
            return;
        for (workers::task_usage const& each : value(answer)) {
            auto const known_task = tasks_.find(each.id);
            if (known_task == tasks_.end())
                continue;
            resources& peak = known_task->second.peak;
            peak.millicores = std::max(peak.millicores, each.used.millicores);
            peak.memory_mib = std::max(peak.memory_mib, each.used.memory_mib);
            peak.accelerators =
                std::max(peak.accelerators, each.used.accelerators);
        }
    });
}

void task_service::apply_status(workers::task_status const& status)
{
    auto const [place, is_new] = tasks_.try_emplace(status.id);
    task& known_task = place->second;
    known_task.lease = status.lease;
    known_task.checkpoint = status.checkpoint;
    known_task.progress = status.progress;
    known_task.starting = false;
    attempt_state const state = to_attempt_state(status.state);
    bool const changed = is_new || known_task.state != state;
    known_task.state = state;
    if (state != attempt_state::running)
        admission_.release_task(status.id);
    else if (is_new)
        admission_.adopt_task(status.id, status.row, status.demand);
    // An ended task is reported until the holder has recorded the end. A task
    // whose reclaim time is unknown is reported until the holder sends it.
    if (changed || state != attempt_state::running ||
        known_task.reclaim_after.count() == 0)
        report(status.id);
}

void task_service::on_missing(attempt_id const& attempt, monotonic_time sent_at)
{
    auto const found = tasks_.find(attempt);
    if (found == tasks_.end())
        return;
    // The start may still reach the worker until the lease that it quotes has
    // lapsed.
    bool const starting = found->second.starting;
    if (starting && sent_at < found->second.lease_until)
        return;
    tasks_.erase(found);
    if (starting)
        admission_.withdraw_task(attempt);
    else
        admission_.release_task(attempt);
}

void task_service::apply_list(
    std::vector<workers::task_status> const& listed, monotonic_time sent_at)
{
    for (workers::task_status const& each : listed)
        apply_status(each);
    std::vector<attempt_id> missing;
    for (auto const& [attempt, known_task] : tasks_) {
        bool const is_listed = std::any_of(
            listed.begin(), listed.end(),
            [id = attempt](auto const& each) { return each.id == id; });
        if (!is_listed)
            missing.push_back(attempt);
    }
    for (attempt_id const& attempt : missing)
        on_missing(attempt, sent_at);
}

void task_service::poll()
{
    if (!admission_.is_ready() || list_pending_)
        return;
    list_pending_ = true;
    if (++polls_ % polls_per_usage_read == 0)
        read_usage();
    monotonic_time const sent_at = event_loop::now();
    worker_.list_tasks([this, sent_at](auto const& listed) {
        list_pending_ = false;
        if (ok(listed))
            apply_list(value(listed), sent_at);
        else
            log_error("worker_list_failed", failure(listed));
        renew_leases();
    });
}

void task_service::query(entry_id const& from, peers::query_task const& message)
{
    if (!admission_.is_ready())
        return;
    worker_.list_tasks([this, from, message](auto const& listed) {
        if (ok(listed))
            answer_query(from, message, value(listed));
    });
}

void task_service::answer_query(
    entry_id const& from, peers::query_task const& message,
    std::vector<workers::task_status> const& listed)
{
    attempt_report answer =
        make_report(message.attempt, attempt_state::absent, "", message.nonce);
    auto const found = std::find_if(
        listed.begin(), listed.end(),
        [&message](auto const& each) { return each.id == message.attempt; });
    if (found != listed.end()) {
        answer.state = to_attempt_state(found->state);
        answer.checkpoint = found->checkpoint;
        reply_(from, peers::task_report{answer});
        return;
    }
    start_outcome const known = admission_.outcome_of(
        message.attempt, message.quoted, event_loop::now());
    if (known == start_outcome::running)
        return;
    if (known == start_outcome::never)
        answer.state = attempt_state::never_ran;
    reply_(from, peers::task_report{answer});
}

} // namespace sycamorespar
