/// Progress is read before jobs: a job without a progress record was accepted
/// after that, so its progress is still the initial one, at the job's revision.
#include "spar-scheduler/scheduling_term.hpp"

#include "common/log.hpp"
#include "records/record_keys.hpp"

#include <chrono>
#include <cmath>
#include <utility>

namespace sycamorespar {

namespace {

using std::chrono::milliseconds;

/// Granularity at which scheduled occurrences open and cooldowns end.
constexpr milliseconds tick_period{50};
/// Delay before another attempt to read the records.
constexpr milliseconds read_retry_pause{100};

/// Estimates of contention that have changed are logged this often.
constexpr milliseconds estimate_log_interval{1000};

/// A view of the jobs that is older than this is not stated to callers. In
/// quiet times the watch alone lets it grow to two of its waits.
constexpr milliseconds max_view_age{2500};

/// The time of day at the first call, advanced by a monotonic clock, so that
/// schedules don't follow adjustments of the system clock.
milliseconds steady_time_of_day()
{
    using std::chrono::duration_cast;
    static auto const offset =
        duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch()) -
        duration_cast<milliseconds>(event_loop::time_since_boot());
    return offset + duration_cast<milliseconds>(event_loop::time_since_boot());
}

void log_run(scheduling_event const& event, char const* name, char const* how)
{
    log_event(
        log_level::info, name,
        {{"task", to_string(event.run.task)},
         {"run", event.run.number},
         {"worker", event.worker.value},
         {"how", how}});
}

} // namespace

scheduling_term::scheduling_term(
    event_loop& loop, kv_store const& store, scheduler_term term,
    scheduler_limits const& limits, schedule_policy policy, observer callbacks)
    : loop_(loop), store_(store), term_(term), limits_(limits),
      policy_(std::move(policy)), callbacks_(std::move(callbacks)),
      alive_(std::make_shared<bool>(true))
{
    read_progress_records();
}

scheduling_term::~scheduling_term()
{
    loop_.cancel(tick_);
}

void scheduling_term::retry_read(std::function<void()> read)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(read_retry_pause, [guard, read = std::move(read)] {
        if (!guard.expired())
            read();
    });
}

void scheduling_term::read_progress_records()
{
    std::weak_ptr<bool> const guard = alive_;
    list_all(store_, progress_prefix, [this, guard](auto const& listing) {
        if (!guard.expired())
            load_progress(listing);
    });
}

void scheduling_term::load_progress(result<kv_listing> const& listing)
{
    if (!ok(listing)) {
        log_repeated_error("records_not_read", failure(listing));
        retry_read([this] { read_progress_records(); });
        return;
    }
    for (auto const& item : value(listing).items) {
        auto const job = after_prefix(item.key, progress_prefix);
        auto const read = read_progress(item.value);
        if (!job || !ok(read)) {
            log_event(
                log_level::error, "record_unreadable", {{"key", item.key}});
            continue;
        }
        progress_[job_id{*job}] = {value(read), item.revision};
    }
    read_worker_records();
}

void scheduling_term::read_worker_records()
{
    std::weak_ptr<bool> const guard = alive_;
    list_all(store_, worker_prefix, [this, guard](auto const& listing) {
        if (!guard.expired())
            load_workers(listing);
    });
}

void scheduling_term::load_workers(result<kv_listing> const& listing)
{
    if (!ok(listing)) {
        log_repeated_error("records_not_read", failure(listing));
        retry_read([this] { read_worker_records(); });
        return;
    }
    for (auto const& item : value(listing).items) {
        if (auto const worker = after_prefix(item.key, worker_prefix))
            recorded_workers_.emplace(*worker, item.revision);
    }
    start_scheduling();
}

void scheduling_term::start_scheduling()
{
    std::vector<worker_id> workers;
    for (auto const& [worker, revision] : recorded_workers_)
        workers.push_back(worker);
    scheduler_ = std::make_unique<graph_scheduler>(
        term_, workers, limits_, event_loop::now());
    scheduler_->set_policy(policy_);
    record_writer::observer callbacks;
    callbacks.on_recorded = [this](job_id const& job, std::uint64_t version) {
        scheduler_->on_recorded(job, version);
        callbacks_.on_orders();
    };
    callbacks.on_not_recorded = [this](job_id const& job) {
        scheduler_->on_not_recorded(job);
    };
    callbacks.on_worker_recorded = [this](worker_id const& worker) {
        scheduler_->on_worker_recorded(worker);
        plan_soon();
    };
    callbacks.on_removed = [this](job_id const& job) {
        scheduler_->drop_job(job);
    };
    callbacks.on_leadership_lost = callbacks_.on_leadership_lost;
    callbacks.take_records = [this](std::size_t most) {
        return scheduler_->take_records(most);
    };
    writer_ = std::make_unique<record_writer>(
        loop_, store_, term_, std::move(callbacks));
    for (auto const& [worker, revision] : recorded_workers_)
        writer_->set_worker_revision(worker, revision);
    for (auto const& [job, record] : progress_) {
        writer_->update_progress_revision(job, record.revision);
        if (is_final(record.snapshot.phase))
            writer_->schedule_removal(job);
    }
    std::erase_if(progress_, [](auto const& entry) {
        return is_final(entry.second.snapshot.phase);
    });
    log_event(
        log_level::info, "records_read",
        {{"term", term_.value},
         {"jobs", progress_.size()},
         {"workers", recorded_workers_.size()}});
    jobs_ = std::make_unique<prefix_watch>(
        loop_, store_, job_prefix,
        prefix_watch::observer{
            [this](auto const& items) { apply_listing(items); },
            [this](auto const& change) {
                apply_change(change);
            }});
}

void scheduling_term::apply_listing(std::vector<kv_item> const& items)
{
    // A cancel request's key sorts after its job's key.
    for (auto const& item : items)
        apply_job(item);
    if (tick_ == 0)
        tick_ = loop_.every(tick_period, [this] { plan_soon(); });
    plan_soon();
}

void scheduling_term::apply_change(kv_change const& change)
{
    if (!change.is_removal)
        apply_job(change.item);
    plan_soon();
}

void scheduling_term::apply_job(kv_item const& item)
{
    auto const parts = read_job_key(item.key);
    if (!parts)
        return;
    if (parts->is_cancel) {
        writer_->add_cancellation(parts->job);
        scheduler_->cancel_job(parts->job);
        log_event(
            log_level::info, "job_cancelled",
            {{"job", parts->job.value}, {"revision", item.revision}});
        return;
    }
    if (scheduler_->phase_of(parts->job))
        return;
    auto const job = read_job(item.value);
    if (!ok(job)) {
        log_error("job_unreadable", failure(job));
        return;
    }
    // A term is the revision of an earlier write, so that only a record of
    // another writer names a later one.
    if (value(job).accepted_in.value > item.revision) {
        log_error(
            "job_unreadable",
            {"record.job", item.key, "the term is later than the record"});
        return;
    }
    on_stored(value(job), item.revision);
}

void scheduling_term::on_stored(accepted_job const& job, kv_revision revision)
{
    if (scheduler_ == nullptr || scheduler_->phase_of(job.graph.id))
        return;
    auto const record = progress_.find(job.graph.id);
    bool const has_record = record != progress_.end();
    writer_->update_progress_revision(
        job.graph.id, has_record ? record->second.revision : revision);
    bool const is_own_term = scheduler_->add_job(
        job.graph, has_record ? &record->second.snapshot : nullptr,
        job.accepted_in, event_loop::now());
    if (!is_own_term) {
        log_event(
            log_level::warning, "job_of_later_term",
            {{"job", job.graph.id.value}, {"term", job.accepted_in.value}});
        callbacks_.on_leadership_lost();
        return;
    }
    if (has_record)
        progress_.erase(record);
    plan_soon();
}

std::optional<std::size_t> scheduling_term::pending(queue_id const& queue) const
{
    bool const is_current =
        is_ready() &&
        event_loop::now() - jobs_->complete_until() < max_view_age;
    if (!is_current)
        return std::nullopt;
    return scheduler_->pending(queue);
}

void scheduling_term::set_policy(schedule_policy policy)
{
    policy_ = std::move(policy);
    if (scheduler_ == nullptr)
        return;
    scheduler_->set_policy(policy_);
    plan_soon();
}

bool scheduling_term::on_report(runner_report const& report)
{
    // Only a leader assigns a term, so this one has a successor.
    if (report.term > term_) {
        log_event(
            log_level::warning, "report_of_later_term",
            {{"worker", report.worker.value}, {"term", report.term.value}});
        callbacks_.on_leadership_lost();
        return true;
    }
    bool const is_new = scheduler_->on_report(report, event_loop::now());
    plan_soon();
    return is_new;
}

void scheduling_term::plan_soon()
{
    if (is_plan_due_)
        return;
    is_plan_due_ = true;
    // A pass takes long while many tasks wait, and reports make the next one
    // due at once. The answers of the store, which arrive in small pieces, go
    // first: they tell which of the tasks were cancelled.
    std::weak_ptr<bool> const guard = alive_;
    loop_.when_idle(tick_period, [this, guard] {
        if (!guard.expired())
            plan();
    });
}

void scheduling_term::log_events()
{
    using kind = scheduling_event::kind;
    for (auto const& event : scheduler_->take_events()) {
        switch (event.type) {
        case kind::job_ended:
            log_event(
                log_level::info, "job_ended",
                {{"job", event.run.task.job.value},
                 {"phase", to_string(event.phase)}});
            break;
        case kind::session_began:
            log_event(
                log_level::info, "session_began",
                {{"worker", event.worker.value},
                 {"void_orders", event.void_orders}});
            break;
        case kind::lease_lapsed:
            log_lapse(event);
            break;
        case kind::worker_gone:
            log_event(
                log_level::warning, "worker_gone",
                {{"worker", event.worker.value},
                 {"runs", event.lost_runs},
                 {"silent_ms", event.silence.count()}});
            break;
        case kind::run_ordered:
            log_run(event, "run_ordered", "start");
            break;
        case kind::stop_ordered:
            log_run(event, "stop_ordered", "stop");
            break;
        case kind::run_ended:
            log_run(event, "run_ended", to_string(event.how));
            break;
        case kind::backfill_waits:
            log_event(
                log_level::info, "backfill_waits",
                {{"task", to_string(event.run.task)},
                 {"reason", to_string(event.wait.reason)},
                 {"harms", event.wait.serving_image},
                 {"headroom", event.wait.headroom}});
            break;
        case kind::contention_accepted:
            log_event(
                log_level::info, "contention_accepted",
                {{"task", to_string(event.run.task)},
                 {"run", event.run.number},
                 {"worker", event.worker.value},
                 {"harms", event.wait.serving_image},
                 {"headroom", event.wait.headroom},
                 {"waited_ms", event.waited.count()}});
            break;
        }
    }
}

void scheduling_term::log_estimates()
{
    auto const now = event_loop::now();
    if (now < estimates_due_)
        return;
    estimates_due_ = now + estimate_log_interval;
    for (auto const& each : scheduler_->take_changed_estimates())
        log_event(
            log_level::info, "contention_estimated",
            {{"serving", each.serving_image},
             {"backfill", each.backfill_image},
             {"load", each.estimate.mean},
             {"deviation", std::sqrt(each.estimate.variance)}});
}

void scheduling_term::log_lapse(scheduling_event const& event)
{
    auto const age = std::chrono::duration_cast<milliseconds>(
        callbacks_.time_since_confirmation());
    log_event(
        log_level::warning, "lease_lapsed",
        {{"worker", event.worker.value},
         {"runs", event.lost_runs},
         {"silent_ms", event.silence.count()},
         {"confirmed_ago_ms", age.count()}});
}

void scheduling_term::plan()
{
    is_plan_due_ = false;
    if (!is_ready())
        return;
    scheduler_->on_jobs_complete(jobs_->complete_until());
    bool const is_whole = scheduler_->plan(
        event_loop::now(), steady_time_of_day(), callbacks_.confirmed_at());
    if (!is_whole)
        plan_soon();
    if (scheduler_->is_settled() && !std::exchange(is_settled_, true))
        log_event(log_level::info, "workers_settled", {{"term", term_.value}});
    log_events();
    log_estimates();
    for (auto const& worker : scheduler_->take_forgotten_workers()) {
        log_event(
            log_level::info, "worker_forgotten", {{"worker", worker.value}});
        writer_->remove_worker(worker);
    }
    for (auto const& worker : scheduler_->unrecorded_workers())
        writer_->add_worker(worker);
    writer_->wake();
    callbacks_.on_orders();
}

} // namespace sycamorespar
