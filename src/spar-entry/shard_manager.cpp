/// Every write of a shard is conditional on the shard's own revision, on the
/// revision of the holder key, and, if it places any job, on the table's
/// revision. The write of a paused former holder therefore fails, and a
/// placement by an outdated table can't be recorded.
#include "spar-entry/shard_manager.hpp"

#include "common/log.hpp"
#include "peers/codec.hpp"
#include "store/list_all.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace sycamorespar {

namespace {

constexpr std::chrono::seconds holders_period{1};
constexpr std::chrono::milliseconds retry_delay{200};
constexpr std::chrono::milliseconds stop_poll_period{20};
/// Limit on the writes per second of all shards of all entries together. The
/// store handles several hundred.
constexpr std::int64_t ledger_writes_per_second = 250;
constexpr char const* holders_prefix = "/spar/holders/";
constexpr char const* values_prefix = "/spar/ledger/";

std::int64_t wall_clock_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

error not_held()
{
    return {"ledger.submit", "", "no entry holds the job's shard now"};
}

} // namespace

shard_manager::shard_manager(
    event_loop& loop, kv_store const& store, registration& own_registration,
    table_replica& replica, incarnation self_incarnation,
    std::uint32_t shard_count, shard_manager_hooks hooks)
    : loop_(loop), store_(store), registration_(own_registration),
      table_(replica), self_incarnation_(self_incarnation),
      shard_count_(shard_count), hooks_(std::move(hooks))
{}

void shard_manager::start(entry_id const& self)
{
    self_ = self;
    loop_.every(holders_period, [this] { read_holders(); });
}

std::string shard_manager::holder_key(shard_id shard) const
{
    return fmt::format("{}{:05}", holders_prefix, shard.value);
}

std::string shard_manager::value_key(shard_id shard) const
{
    return fmt::format("{}{:05}", values_prefix, shard.value);
}

shard_manager::held_shard* shard_manager::find_shard(shard_id shard)
{
    auto const found = shards_.find(shard);
    return found != shards_.end() ? &found->second : nullptr;
}

bool shard_manager::holds(job_id const& job) const
{
    auto const found = shards_.find(shard_of(job, shard_count_));
    return found != shards_.end() && found->second.loaded;
}

std::optional<entry_id> shard_manager::holder_of(job_id const& job) const
{
    auto const found = holders_.find(shard_of(job, shard_count_));
    if (found == holders_.end())
        return std::nullopt;
    return found->second.id;
}

entry_id shard_manager::preferred_holder(shard_id shard) const
{
    entry_id best;
    std::uint64_t best_rank = 0;
    for (auto const& [id, record] : registration_.entries()) {
        std::uint64_t const rank =
            peers::checksum(fmt::format("{}/{}", shard.value, id.value));
        if (best.value.empty() || rank > best_rank) {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

void shard_manager::read_holders()
{
    if (stopping_ || !registration_.is_live(event_loop::now()))
        return;
    list_all(store_, holders_prefix, [this](auto const& answer) {
        if (ok(answer))
            apply_holders(value(answer).items);
    });
}

void shard_manager::apply_holders(std::vector<kv_item> const& listed)
{
    if (stopping_)
        return;
    holders_.clear();
    std::size_t const prefix = std::string(holders_prefix).size();
    for (kv_item const& each : listed) {
        shard_id const shard{
            std::strtoull(each.key.c_str() + prefix, nullptr, 10)};
        holders_[shard] = {entry_id{each.value}, each.revision};
    }
    bool handed_over = false;
    for (std::uint64_t number = 1; number <= shard_count_; ++number) {
        shard_id const shard{number};
        bool const preferred = preferred_holder(shard) == self_;
        if (!holders_.contains(shard) && preferred)
            claim(shard);
        held_shard* const held = find_shard(shard);
        bool const surplus = held != nullptr && held->loaded && !preferred &&
                             held->shard.is_settled();
        // One shard per poll, so that a returning entry is not overloaded.
        if (surplus && !handed_over) {
            handed_over = true;
            release(shard);
        }
    }
}

void shard_manager::claim(shard_id shard)
{
    if (shards_.contains(shard) || !claiming_.insert(shard).second)
        return;
    kv_write write;
    write.expected.push_back({holder_key(shard), 0});
    write.puts.push_back(
        {holder_key(shard), self_.value, registration_.lease()});
    store_.write(write, [this, shard](auto const& answer) {
        claiming_.erase(shard);
        bool const is_claimed =
            ok(answer) &&
            value(answer).status == kv_write_result::write_status::written;
        if (!is_claimed)
            return;
        ledger_shard fresh(
            shard, self_incarnation_, {}, {hooks_.place, wall_clock_ms});
        shards_.emplace(
            shard,
            held_shard{std::move(fresh), value(answer).revision, 0, false});
        load(shard);
    });
}

void shard_manager::load(shard_id shard)
{
    store_.get(value_key(shard), [this, shard](auto const& answer) {
        held_shard* const held = find_shard(shard);
        if (held == nullptr || held->loaded)
            return;
        if (!ok(answer)) {
            loop_.after(retry_delay, [this, shard] { load(shard); });
            return;
        }
        shard_snapshot snapshot;
        auto const& found = value(answer);
        if (found) {
            auto read = peers::decode_shard(found->value);
            if (!ok(read)) {
                log_error("shard_refused", failure(read));
                return;
            }
            snapshot = take(std::move(read));
            held->value_revision = found->revision;
        }
        held->shard.load(snapshot, event_loop::now());
        held->shard.adopt_table(table_.policy());
        held->loaded = true;
        set_write_intervals();
        log_event(
            log_level::info, "shard_held",
            {{"shard", shard.value}, {"jobs", snapshot.jobs.size()}});
        tick_shard(shard);
    });
}

void shard_manager::release(shard_id shard)
{
    held_shard* const held = find_shard(shard);
    if (held == nullptr)
        return;
    kv_write write;
    write.expected.push_back({holder_key(shard), held->holder_revision});
    write.removals.push_back(holder_key(shard));
    drop(shard, "handed over");
    store_.write(write, [](auto const& answer) {
        if (!ok(answer))
            log_error("shard_hand_over_failed", failure(answer));
    });
}

void shard_manager::drop(shard_id shard, std::string const& reason)
{
    if (shards_.erase(shard) == 0)
        return;
    log_event(
        log_level::info, "shard_dropped",
        {{"shard", shard.value}, {"reason", reason}});
    auto const waiting = waiting_;
    for (waiting_caller const& each : waiting) {
        if (shard_of(each.job, shard_count_) == shard)
            answer_waiting(
                each.job, error{
                              "ledger.record", "", "the shard changed hands",
                              outcome::unknown});
    }
}

void shard_manager::drop_all()
{
    while (!shards_.empty())
        drop(shards_.begin()->first, "the lease was lost");
}

void shard_manager::submit(
    job_request const& request, recorded_hook on_recorded)
{
    shard_id const shard = shard_of(request.id, shard_count_);
    held_shard* const held = find_shard(shard);
    if (held == nullptr || !held->loaded || stopping_) {
        on_recorded(not_held());
        return;
    }
    auto const refused = held->shard.submit(request, event_loop::now());
    if (refused) {
        on_recorded(*refused);
        return;
    }
    waiting_.push_back({request.id, std::move(on_recorded)});
    tick_shard(shard);
}

void shard_manager::cancel(job_id const& job, recorded_hook on_recorded)
{
    shard_id const shard = shard_of(job, shard_count_);
    held_shard* const held = find_shard(shard);
    if (held == nullptr || !held->loaded) {
        on_recorded(not_held());
        return;
    }
    if (!held->shard.cancel(job, event_loop::now())) {
        on_recorded(error{"ledger.cancel", "", "no such job"});
        return;
    }
    waiting_.push_back({job, std::move(on_recorded)});
    tick_shard(shard);
}

bool shard_manager::resolve_parked(job_id const& job, bool run_again)
{
    shard_id const shard = shard_of(job, shard_count_);
    held_shard* const held = find_shard(shard);
    if (held == nullptr || !held->shard.resolve_parked(job, run_again))
        return false;
    tick_shard(shard);
    return true;
}

job_record const* shard_manager::find(job_id const& job) const
{
    auto const found = shards_.find(shard_of(job, shard_count_));
    return found != shards_.end() ? found->second.shard.find(job) : nullptr;
}

std::vector<job_record> shard_manager::jobs() const
{
    std::vector<job_record> all;
    for (auto const& [id, held] : shards_) {
        for (auto const& [job, record] : held.shard.jobs())
            all.push_back(record);
    }
    return all;
}

void shard_manager::on_report(attempt_report const& report)
{
    shard_id const shard = shard_of(report.attempt.job, shard_count_);
    held_shard* const held = find_shard(shard);
    if (held == nullptr || !held->loaded)
        return;
    held->shard.on_report(report, event_loop::now());
    tick_shard(shard);
}

std::vector<shard_id> shard_manager::acknowledge(worker_id const& worker)
{
    std::vector<shard_id> held;
    monotonic_time const now = event_loop::now();
    if (!registration_.is_live(now))
        return held;
    for (auto& [id, each] : shards_) {
        if (!each.loaded)
            continue;
        each.shard.on_acknowledged(worker, now);
        held.push_back(id);
    }
    return held;
}

void shard_manager::adopt_table(table_policy const& policy)
{
    for (auto& [id, held] : shards_)
        held.shard.adopt_table(policy);
    tick();
}

void shard_manager::set_write_intervals()
{
    std::int64_t const shards = shard_count_;
    duration const interval =
        std::chrono::seconds(1) * shards / ledger_writes_per_second;
    for (auto& [id, held] : shards_)
        held.shard.set_write_interval(interval);
}

void shard_manager::tick()
{
    std::vector<shard_id> ids;
    for (auto const& [id, held] : shards_)
        ids.push_back(id);
    for (shard_id const id : ids)
        tick_shard(id);
}

void shard_manager::tick_shard(shard_id shard)
{
    held_shard* const held = find_shard(shard);
    // Once the lease may have expired, another entry may hold the shard.
    if (held == nullptr || !held->loaded ||
        !registration_.is_live(event_loop::now()))
        return;
    execute(shard, held->shard.tick(event_loop::now()));
}

void shard_manager::execute(
    shard_id shard, std::vector<ledger_action> const& actions)
{
    for (ledger_action const& action : actions) {
        if (auto const* to_write = std::get_if<write_shard_action>(&action))
            write(shard, *to_write);
        else if (std::holds_alternative<read_shard_action>(action))
            read_back(shard);
        else if (auto const* recorded = std::get_if<recorded_action>(&action))
            answer_waiting(recorded->job, recorded->state);
        else if (auto const* lost = std::get_if<shard_lost_action>(&action))
            drop(shard, lost->reason);
        else
            hooks_.send_to_agent(action);
    }
}

void shard_manager::write(shard_id shard, write_shard_action const& action)
{
    held_shard* const held = find_shard(shard);
    if (held == nullptr)
        return;
    kv_write write;
    write.expected.push_back({value_key(shard), held->value_revision});
    write.expected.push_back({holder_key(shard), held->holder_revision});
    if (action.table) {
        auto const table = table_.store_revision(*action.table);
        if (!table) {
            find_failed_comparison(shard);
            return;
        }
        write.expected.push_back({table_replica::key, *table});
    }
    write.puts.push_back(
        {value_key(shard), peers::encode_shard(action.snapshot), {}});
    store_.write(write, [this, shard, action](auto const& answer) {
        on_written(shard, action, answer);
    });
}

void shard_manager::on_written(
    shard_id shard, write_shard_action const&,
    result<kv_write_result> const& answer)
{
    held_shard* const held = find_shard(shard);
    if (held == nullptr)
        return;
    if (!ok(answer)) {
        log_error("shard_write_failed", failure(answer));
        report_write_result_later(
            shard, failure(answer).effect == outcome::not_run
                       ? write_result::not_sent
                       : write_result::unknown);
        return;
    }
    if (value(answer).status != kv_write_result::write_status::written) {
        find_failed_comparison(shard);
        return;
    }
    held->value_revision = value(answer).revision;
    held->shard.on_write_result(write_result::committed, event_loop::now());
    tick_shard(shard);
}

void shard_manager::report_write_result_later(shard_id shard, write_result what)
{
    loop_.after(retry_delay, [this, shard, what] {
        held_shard* const held = find_shard(shard);
        if (held == nullptr)
            return;
        held->shard.on_write_result(what, event_loop::now());
        tick_shard(shard);
    });
}

void shard_manager::find_failed_comparison(shard_id shard)
{
    store_.get(value_key(shard), [this, shard](auto const& answer) {
        held_shard* const held = find_shard(shard);
        if (held == nullptr)
            return;
        if (!ok(answer)) {
            loop_.after(
                retry_delay, [this, shard] { find_failed_comparison(shard); });
            return;
        }
        auto const& found = value(answer);
        kv_revision const revision = found ? found->revision : 0;
        if (revision != held->value_revision) {
            held->shard.on_write_result(
                write_result::conflict, event_loop::now());
            tick_shard(shard);
            return;
        }
        table_.refresh([this, shard] {
            held_shard* const current = find_shard(shard);
            if (current == nullptr)
                return;
            current->shard.on_write_result(
                write_result::table_changed, event_loop::now());
            current->shard.adopt_table(table_.policy());
            loop_.after(retry_delay, [this, shard] { tick_shard(shard); });
        });
    });
}

void shard_manager::read_back(shard_id shard)
{
    store_.get(value_key(shard), [this, shard](auto const& answer) {
        held_shard* const held = find_shard(shard);
        if (held == nullptr)
            return;
        if (!ok(answer)) {
            loop_.after(retry_delay, [this, shard] { read_back(shard); });
            return;
        }
        shard_snapshot snapshot;
        auto const& found = value(answer);
        if (found) {
            auto read = peers::decode_shard(found->value);
            if (ok(read))
                snapshot = take(std::move(read));
            if (snapshot.writer == self_incarnation_)
                held->value_revision = found->revision;
        }
        held->shard.on_read(snapshot, event_loop::now());
        tick_shard(shard);
    });
}

void shard_manager::answer_waiting(
    job_id const& job, result<job_state> const& what)
{
    std::vector<waiting_caller> answered;
    std::erase_if(waiting_, [&](waiting_caller& each) {
        if (each.job != job)
            return false;
        answered.push_back(std::move(each));
        return true;
    });
    for (waiting_caller const& each : answered)
        each.on_recorded(what);
}

void shard_manager::stop(std::function<void()> on_done)
{
    stopping_ = true;
    std::vector<shard_id> settled;
    for (auto const& [id, held] : shards_) {
        if (!held.loaded || held.shard.is_settled())
            settled.push_back(id);
    }
    for (shard_id const id : settled)
        release(id);
    if (shards_.empty()) {
        on_done();
        return;
    }
    loop_.after(stop_poll_period, [this, on_done = std::move(on_done)] {
        stop(on_done);
    });
}

} // namespace sycamorespar
