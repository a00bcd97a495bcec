/// Every write names the revision of each record that it replaces, so that a
/// write without an answer, which may be carried out seconds later, can't undo
/// a later one: it finds another revision and fails.
#include "records/record_writer.hpp"

#include "common/log.hpp"
#include "records/graph_json.hpp"
#include "records/record_keys.hpp"
#include "store/office.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// A record takes a condition, a value, and at its job's end two removals.
constexpr std::size_t entries_per_record = 4;

/// Records that fit beside the condition on the office.
constexpr std::size_t records_per_write =
    (max_kv_write_size - 1) / entries_per_record;

} // namespace

record_writer::record_writer(
    event_loop& loop, kv_store const& store, scheduler_term term, observer told,
    record_writer_limits const& limits)
    : loop_(loop), store_(store), term_(term), told_(std::move(told)),
      limits_(limits), alive_(std::make_shared<bool>(true))
{}

record_writer::~record_writer() = default;

void record_writer::know_progress(job_id const& job, kv_revision revision)
{
    auto& known = revisions_[job];
    known = std::max(known, revision);
}

void record_writer::know_cancellation(job_id const& job)
{
    cancellations_.insert(job);
}

void record_writer::forget_later(job_id const& job)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.remembrance, [this, guard, job] {
        if (guard.expired())
            return;
        to_forget_.push_back(job);
        wake();
    });
}

void record_writer::know_worker(worker_id const& worker, kv_revision revision)
{
    worker_revisions_[worker] = revision;
}

void record_writer::remove_worker(worker_id const& worker)
{
    workers_.erase(worker);
    if (worker_revisions_.contains(worker) &&
        gone_workers_.insert(worker).second)
        wake();
}

void record_writer::add_worker(worker_id const& worker)
{
    gone_workers_.erase(worker);
    if (workers_.insert(worker).second)
        wake();
}

void record_writer::wake()
{
    is_wanted_ = true;
    if (!is_busy_)
        write_next();
}

void record_writer::write_after(std::chrono::milliseconds pause)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(pause, [this, guard] {
        if (guard.expired())
            return;
        is_busy_ = false;
        if (is_wanted_)
            write_next();
    });
}

void record_writer::write_next()
{
    is_wanted_ = false;
    auto const next = gather();
    if (next.write.puts.empty() && next.write.removals.empty())
        return;
    is_busy_ = true;
    ++writes_;
    std::weak_ptr<bool> const guard = alive_;
    auto const sent_at = event_loop::now();
    store_.write(next.write, [this, guard, next, sent_at](auto const& written) {
        if (guard.expired())
            return;
        if (ok(written))
            write_times_.record(
                std::chrono::duration_cast<std::chrono::microseconds>(
                    event_loop::now() - sent_at));
        take_result(next, written);
    });
}

record_writer::batch record_writer::gather()
{
    batch next;
    next.write.expected.push_back({office_key, term_.value});
    add_workers(next);
    add_gone_workers(next);
    while (!to_forget_.empty() && next.write.size() < max_kv_write_size) {
        next.write.removals.push_back(progress_key(to_forget_.back()));
        next.forgotten.push_back(to_forget_.back());
        to_forget_.pop_back();
    }
    auto const room =
        (max_kv_write_size - next.write.size()) / entries_per_record;
    for (auto& record : told_.take_records(std::min(room, records_per_write)))
        add_record(next, std::move(record));
    return next;
}

void record_writer::add_workers(batch& into)
{
    for (auto const& worker : workers_) {
        if (into.write.size() == max_kv_write_size)
            return;
        into.write.puts.push_back({worker_key(worker), "{}", {}});
        into.workers.push_back(worker);
    }
}

// The condition on the revision keeps a removal that is carried out late from
// removing the record of a worker that is back.
void record_writer::add_gone_workers(batch& into)
{
    constexpr std::size_t entries_per_removal = 2;
    for (auto const& worker : gone_workers_) {
        if (into.write.size() + entries_per_removal > max_kv_write_size)
            return;
        into.write.expected.push_back(
            {worker_key(worker), worker_revisions_.at(worker)});
        into.write.removals.push_back(worker_key(worker));
        into.gone_workers.push_back(worker);
    }
}

void record_writer::add_record(batch& into, progress_record record) const
{
    auto const known = revisions_.find(record.job);
    auto const key = progress_key(record.job);
    into.write.expected.push_back(
        {key, known == revisions_.end() ? 0 : known->second});
    into.write.puts.push_back({key, write_progress(record.snapshot), {}});
    if (is_final(record.snapshot.phase)) {
        into.write.removals.push_back(job_key(record.job));
        if (cancellations_.contains(record.job))
            into.write.removals.push_back(cancel_key(record.job));
    }
    into.records.push_back(std::move(record));
}

void record_writer::take_result(
    batch const& sent, result<kv_write_result> const& written)
{
    is_wanted_ = true;
    if (!ok(written)) {
        log_repeated_error("records_not_written", failure(written));
        give_back(sent);
        write_after(limits_.retry);
        return;
    }
    if (value(written).status == kv_write_result::write_status::written) {
        write_after(limits_.gap);
        take_written(sent, value(written).revision);
        return;
    }
    write_after(limits_.gap);
    take_conflict(sent, value(written));
}

void record_writer::take_written(batch const& sent, kv_revision revision)
{
    std::weak_ptr<bool> const guard = alive_;
    for (auto const& worker : sent.workers) {
        workers_.erase(worker);
        worker_revisions_[worker] = revision;
        told_.on_worker_recorded(worker);
    }
    for (auto const& worker : sent.gone_workers) {
        gone_workers_.erase(worker);
        worker_revisions_.erase(worker);
    }
    for (auto const& job : sent.forgotten) {
        revisions_.erase(job);
        told_.on_forgotten(job);
    }
    for (auto const& record : sent.records) {
        revisions_[record.job] = revision;
        if (is_final(record.snapshot.phase)) {
            cancellations_.erase(record.job);
            forget_later(record.job);
        }
        told_.on_recorded(record.job, record.version);
        if (guard.expired())
            return;
    }
}

void record_writer::take_conflict(
    batch const& sent, kv_write_result const& written)
{
    bool is_ours = false;
    for (auto const& item : written.current) {
        if (item.key == office_key)
            is_ours = item.revision == term_.value;
        if (auto const job = after_prefix(item.key, progress_prefix))
            know_progress(job_id{*job}, item.revision);
    }
    give_back(sent);
    // A record that is not as it was known stays; it costs a successor a wait.
    for (auto const& worker : sent.gone_workers)
        gone_workers_.erase(worker);
    if (is_ours)
        return;
    log_event(log_level::warning, "record_conflict", {{"term", term_.value}});
    told_.on_office_lost();
}

void record_writer::give_back(batch const& sent)
{
    for (auto const& record : sent.records)
        told_.on_not_recorded(record.job);
    to_forget_.insert(
        to_forget_.end(), sent.forgotten.begin(), sent.forgotten.end());
}

} // namespace sycamorespar
