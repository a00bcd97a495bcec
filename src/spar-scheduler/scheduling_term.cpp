/// Progress is read before jobs: a job without progress was accepted later,
/// and its progress is as it began, at the revision of the job.
#include "spar-scheduler/scheduling_term.hpp"

#include "common/log.hpp"
#include "records/record_keys.hpp"

#include <chrono>
#include <utility>

namespace sycamorespar {

namespace {

using std::chrono::milliseconds;

/// Occurrences are opened and rests end at this coarseness.
constexpr milliseconds tick_period{50};
/// A pause before the records are read again.
constexpr milliseconds reread_pause{100};

/// The time of day when the process began, counted on by a clock that doesn't
/// jump: schedules must not follow a time of day that is set back and forth.
milliseconds steady_time_of_day()
{
    using std::chrono::duration_cast;
    static auto const offset =
        duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch()) -
        duration_cast<milliseconds>(event_loop::time_since_boot());
    return offset + duration_cast<milliseconds>(event_loop::time_since_boot());
}

} // namespace

scheduling_term::scheduling_term(
    event_loop& loop, kv_store const& store, scheduler_term term,
    scheduler_limits const& limits, schedule_policy policy, observer told)
    : loop_(loop), store_(store), term_(term), limits_(limits),
      policy_(std::move(policy)), told_(std::move(told)),
      alive_(std::make_shared<bool>(true))
{
    read_progress_records();
}

scheduling_term::~scheduling_term()
{
    loop_.cancel(tick_);
}

void scheduling_term::read_again(std::function<void()> read)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(reread_pause, [guard, read = std::move(read)] {
        if (!guard.expired())
            read();
    });
}

void scheduling_term::read_progress_records()
{
    std::weak_ptr<bool> const guard = alive_;
    list_all(store_, progress_prefix, [this, guard](auto const& listing) {
        if (!guard.expired())
            take_progress(listing);
    });
}

void scheduling_term::take_progress(result<kv_listing> const& listing)
{
    if (!ok(listing)) {
        log_repeated_error("records_not_read", failure(listing));
        read_again([this] { read_progress_records(); });
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
            take_workers(listing);
    });
}

void scheduling_term::take_workers(result<kv_listing> const& listing)
{
    if (!ok(listing)) {
        log_repeated_error("records_not_read", failure(listing));
        read_again([this] { read_worker_records(); });
        return;
    }
    for (auto const& item : value(listing).items) {
        if (auto const worker = after_prefix(item.key, worker_prefix))
            recorded_workers_.emplace(*worker, item.revision);
    }
    begin();
}

void scheduling_term::begin()
{
    std::vector<worker_id> workers;
    for (auto const& [worker, revision] : recorded_workers_)
        workers.push_back(worker);
    scheduler_ = std::make_unique<graph_scheduler>(
        term_, workers, limits_, event_loop::now());
    scheduler_->set_policy(policy_);
    record_writer::observer told;
    told.on_recorded = [this](job_id const& job, std::uint64_t version) {
        scheduler_->on_recorded(job, version);
        told_.on_orders();
    };
    told.on_not_recorded = [this](job_id const& job) {
        scheduler_->on_not_recorded(job);
    };
    told.on_worker_recorded = [this](worker_id const& worker) {
        scheduler_->on_worker_recorded(worker);
        plan_soon();
    };
    told.on_forgotten = [this](job_id const& job) {
        scheduler_->drop_job(job);
    };
    told.on_office_lost = told_.on_office_lost;
    told.take_records = [this](std::size_t most) {
        return scheduler_->take_records(most);
    };
    writer_ =
        std::make_unique<record_writer>(loop_, store_, term_, std::move(told));
    for (auto const& [worker, revision] : recorded_workers_)
        writer_->know_worker(worker, revision);
    for (auto const& [job, recorded] : progress_) {
        writer_->know_progress(job, recorded.revision);
        if (is_final(recorded.snapshot.phase))
            writer_->forget_later(job);
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
            [this](auto const& items) { take_listed(items); },
            [this](auto const& change) {
                take_change(change);
            }});
}

void scheduling_term::take_listed(std::vector<kv_item> const& items)
{
    // A request to cancel sorts behind its job.
    for (auto const& item : items)
        take_job(item);
    if (tick_ == 0)
        tick_ = loop_.every(tick_period, [this] { plan_soon(); });
    plan_soon();
}

void scheduling_term::take_change(kv_change const& change)
{
    if (!change.is_removal)
        take_job(change.item);
    plan_soon();
}

void scheduling_term::take_job(kv_item const& item)
{
    auto const parts = read_job_key(item.key);
    if (!parts)
        return;
    if (parts->is_cancel) {
        writer_->know_cancellation(parts->job);
        scheduler_->cancel_job(parts->job);
        log_event(
            log_level::info, "job_cancelled", {{"job", parts->job.value}});
        return;
    }
    if (scheduler_->phase_of(parts->job))
        return;
    auto const job = read_job(item.value);
    if (!ok(job)) {
        log_error("job_unreadable", failure(job));
        return;
    }
    on_stored(value(job), item.revision);
}

void scheduling_term::on_stored(accepted_job const& job, kv_revision revision)
{
    if (scheduler_ == nullptr || scheduler_->phase_of(job.graph.id))
        return;
    auto const recorded = progress_.find(job.graph.id);
    bool const has_record = recorded != progress_.end();
    writer_->know_progress(
        job.graph.id, has_record ? recorded->second.revision : revision);
    bool const is_ours = scheduler_->add_job(
        job.graph, has_record ? &recorded->second.snapshot : nullptr,
        job.accepted_in, event_loop::now());
    if (!is_ours) {
        log_event(
            log_level::warning, "job_of_later_term",
            {{"job", job.graph.id.value}, {"term", job.accepted_in.value}});
        told_.on_office_lost();
        return;
    }
    if (has_record)
        progress_.erase(recorded);
    plan_soon();
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
    bool const is_new = scheduler_->on_report(report, event_loop::now());
    plan_soon();
    return is_new;
}

void scheduling_term::plan_soon()
{
    if (is_plan_due_)
        return;
    is_plan_due_ = true;
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(duration::zero(), [this, guard] {
        if (!guard.expired())
            plan();
    });
}

void scheduling_term::log_notes()
{
    for (auto const& note : scheduler_->take_events()) {
        if (note.type == scheduling_event::kind::job_ended) {
            log_event(
                log_level::info, "job_ended",
                {{"job", note.run.task.job.value},
                 {"phase", to_string(note.phase)}});
            continue;
        }
        bool const is_end = note.type == scheduling_event::kind::run_ended;
        log_event(
            log_level::info, is_end ? "run_ended" : "run_ordered",
            {{"task", to_string(note.run.task)},
             {"run", note.run.number},
             {"worker", note.worker.value},
             {"how", is_end ? to_string(note.how) : "start"}});
    }
}

void scheduling_term::plan()
{
    is_plan_due_ = false;
    if (!is_ready())
        return;
    scheduler_->plan(event_loop::now(), steady_time_of_day());
    if (scheduler_->is_settled() && !std::exchange(is_settled_, true))
        log_event(log_level::info, "workers_settled", {{"term", term_.value}});
    log_notes();
    for (auto const& worker : scheduler_->take_forgotten_workers()) {
        log_event(
            log_level::info, "worker_forgotten", {{"worker", worker.value}});
        writer_->remove_worker(worker);
    }
    for (auto const& worker : scheduler_->unrecorded_workers())
        writer_->add_worker(worker);
    writer_->wake();
    told_.on_orders();
}

} // namespace sycamorespar
