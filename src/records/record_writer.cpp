/// Every write is conditional on the revision of each record that it replaces.
/// A write without an answer may be carried out seconds later; it then finds
/// another revision and fails instead of overwriting a later write.
#include "records/record_writer.hpp"

#include "common/log.hpp"
#include "records/graph_json.hpp"
#include "records/record_keys.hpp"
#include "store/leader_election.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// A record needs a condition, a value, and at its job's end two removals.
constexpr std::size_t entries_per_record = 4;

/// Records that fit into a write beside the condition on the leader's key.
constexpr std::size_t records_per_write =
    (max_kv_write_size - 1) / entries_per_record;

} // namespace

record_writer::record_writer(
    event_loop& loop, kv_store const& store, scheduler_term term,
    observer callbacks, record_writer_limits const& limits)
    : loop_(loop), store_(store), term_(term), callbacks_(std::move(callbacks)),
      limits_(limits), alive_(std::make_shared<bool>(true))
{}

record_writer::~record_writer() = default;

void record_writer::update_progress_revision(
    job_id const& job, kv_revision revision)
{
    auto& known = revisions_[job];
    known = std::max(known, revision);
}

void record_writer::add_cancellation(job_id const& job)
{
    cancellations_.insert(job);
}

void record_writer::schedule_removal(job_id const& job)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.retention, [this, guard, job] {
        if (guard.expired())
            return;
        expired_jobs_.push_back(job);
        wake();
    });
}

void record_writer::set_worker_revision(
    worker_id const& worker, kv_revision revision)
{
    worker_revisions_[worker] = revision;
}

void record_writer::remove_worker(worker_id const& worker)
{
    workers_.erase(worker);
    if (worker_revisions_.contains(worker) &&
        removed_workers_.insert(worker).second)
        wake();
}

void record_writer::add_worker(worker_id const& worker)
{
    removed_workers_.erase(worker);
    if (workers_.insert(worker).second)
        wake();
}

void record_writer::wake()
{
    is_write_due_ = true;
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
        if (is_write_due_)
            write_next();
    });
}

void record_writer::write_next()
{
    is_write_due_ = false;
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
        handle_result(next, written);
    });
}

record_writer::batch record_writer::gather()
{
    batch next;
    next.write.expected.push_back({leader_key, term_.value});
    add_workers(next);
    add_removed_workers(next);
    while (!expired_jobs_.empty() && next.write.size() < max_kv_write_size) {
        next.write.removals.push_back(progress_key(expired_jobs_.back()));
        next.expired.push_back(expired_jobs_.back());
        expired_jobs_.pop_back();
    }
    auto const free_records =
        (max_kv_write_size - next.write.size()) / entries_per_record;
    for (auto& record :
         callbacks_.take_records(std::min(free_records, records_per_write)))
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

// The condition on the revision prevents a delayed removal from removing the
// record of a worker that has returned.
void record_writer::add_removed_workers(batch& into)
{
    constexpr std::size_t entries_per_removal = 2;
    for (auto const& worker : removed_workers_) {
        if (into.write.size() + entries_per_removal > max_kv_write_size)
            return;
        into.write.expected.push_back(
            {worker_key(worker), worker_revisions_.at(worker)});
        into.write.removals.push_back(worker_key(worker));
        into.removed_workers.push_back(worker);
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

void record_writer::handle_result(
    batch const& sent, result<kv_write_result> const& written)
{
    is_write_due_ = true;
    if (!ok(written)) {
        log_repeated_error("records_not_written", failure(written));
        return_unwritten(sent);
        write_after(limits_.retry);
        return;
    }
    if (value(written).status == kv_write_result::write_status::written) {
        write_after(limits_.min_interval);
        handle_written(sent, value(written).revision);
        return;
    }
    write_after(limits_.min_interval);
    handle_conflict(sent, value(written));
}

void record_writer::handle_written(batch const& sent, kv_revision revision)
{
    std::weak_ptr<bool> const guard = alive_;
    for (auto const& worker : sent.workers) {
        workers_.erase(worker);
        worker_revisions_[worker] = revision;
        callbacks_.on_worker_recorded(worker);
    }
    for (auto const& worker : sent.removed_workers) {
        removed_workers_.erase(worker);
        worker_revisions_.erase(worker);
    }
    for (auto const& job : sent.expired) {
        revisions_.erase(job);
        callbacks_.on_removed(job);
    }
    for (auto const& record : sent.records) {
        revisions_[record.job] = revision;
        if (is_final(record.snapshot.phase)) {
            cancellations_.erase(record.job);
            schedule_removal(record.job);
        }
        callbacks_.on_recorded(record.job, record.version);
        if (guard.expired())
            return;
    }
}

void record_writer::handle_conflict(
    batch const& sent, kv_write_result const& written)
{
    bool is_still_leader = false;
    std::map<std::string, kv_revision> current;
    for (auto const& item : written.current) {
        current[item.key] = item.revision;
        if (item.key == leader_key)
            is_still_leader = item.revision == term_.value;
        if (auto const job = after_prefix(item.key, progress_prefix))
            update_progress_revision(job_id{*job}, item.revision);
    }
    return_unwritten(sent);
    // A record with an unexpected revision is kept; a later leader then has to
    // wait for that worker. The others are removed by a later write.
    for (auto const& worker : sent.removed_workers) {
        auto const found = current.find(worker_key(worker));
        auto const expected = worker_revisions_.find(worker);
        if (found == current.end() || expected == worker_revisions_.end() ||
            found->second != expected->second)
            removed_workers_.erase(worker);
    }
    if (is_still_leader)
        return;
    log_event(log_level::warning, "record_conflict", {{"term", term_.value}});
    callbacks_.on_leadership_lost();
}

void record_writer::return_unwritten(batch const& sent)
{
    for (auto const& record : sent.records)
        callbacks_.on_not_recorded(record.job);
    expired_jobs_.insert(
        expired_jobs_.end(), sent.expired.begin(), sent.expired.end());
}

} // namespace sycamorespar
