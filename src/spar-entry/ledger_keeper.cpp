/// Every write of a shard compares the shard's own revision, the creation of
/// the holder key, and, where it places anything, the table's revision. A
/// paused former holder therefore loses by itself, and a placement by an old
/// table can't be recorded.
#include "spar-entry/ledger_keeper.hpp"

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
/// Writes a second that all shards of all entries may use together: less than
/// the several hundred that the store takes.
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

ledger_keeper::ledger_keeper(
    event_loop& loop, kv_store const& store, registration& registered,
    table_keeper& tables, incarnation self, std::uint32_t shard_count,
    ledger_keeper_hooks hooks)
    : loop_(loop), store_(store), registered_(registered), tables_(tables),
      self_life_(self), shard_count_(shard_count), hooks_(std::move(hooks))
{}

void ledger_keeper::start(entry_id const& self)
{
    self_ = self;
    loop_.every(holders_period, [this] { read_holders(); });
}

std::string ledger_keeper::holder_key(shard_id shard) const
{
    return fmt::format("{}{:05}", holders_prefix, shard.value);
}

std::string ledger_keeper::value_key(shard_id shard) const
{
    return fmt::format("{}{:05}", values_prefix, shard.value);
}

ledger_keeper::held_shard* ledger_keeper::find_shard(shard_id shard)
{
    auto const found = shards_.find(shard);
    return found != shards_.end() ? &found->second : nullptr;
}

bool ledger_keeper::holds(job_id const& job) const
{
    auto const found = shards_.find(shard_of(job, shard_count_));
    return found != shards_.end() && found->second.loaded;
}

std::optional<entry_id> ledger_keeper::holder_of(job_id const& job) const
{
    auto const found = holders_.find(shard_of(job, shard_count_));
    if (found == holders_.end())
        return std::nullopt;
    return found->second.id;
}

entry_id ledger_keeper::preferred_holder(shard_id shard) const
{
    entry_id best;
    std::uint64_t best_rank = 0;
    for (auto const& [id, record] : registered_.entries()) {
        std::uint64_t const rank =
            peers::checksum(fmt::format("{}/{}", shard.value, id.value));
        if (best.value.empty() || rank > best_rank) {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

void ledger_keeper::read_holders()
{
    if (stopping_ || !registered_.is_live(event_loop::now()))
        return;
    list_all(store_, holders_prefix, [this](auto const& answer) {
        if (ok(answer))
            apply_holders(value(answer).items);
    });
}

void ledger_keeper::apply_holders(std::vector<kv_item> const& listed)
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
        // One at a time, so that a returning entry is not flooded.
        if (surplus && !handed_over) {
            handed_over = true;
            let_go(shard);
        }
    }
}

void ledger_keeper::claim(shard_id shard)
{
    if (shards_.contains(shard) || !claiming_.insert(shard).second)
        return;
    kv_write write;
    write.expected.push_back({holder_key(shard), 0});
    write.puts.push_back({holder_key(shard), self_.value, registered_.lease()});
    store_.write(write, [this, shard](auto const& answer) {
        claiming_.erase(shard);
        bool const is_claimed =
            ok(answer) && value(answer).is == kv_written::verdict::written;
        if (!is_claimed)
            return;
        ledger_shard fresh(
            shard, self_life_, {}, {hooks_.place, wall_clock_ms});
        shards_.emplace(
            shard,
            held_shard{std::move(fresh), value(answer).revision, 0, false});
        load(shard);
    });
}

void ledger_keeper::load(shard_id shard)
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
        held->shard.adopt_table(tables_.policy());
        held->loaded = true;
        pace_writes();
        log_event(
            log_level::info, "shard_held",
            {{"shard", shard.value}, {"jobs", snapshot.jobs.size()}});
        run(shard);
    });
}

void ledger_keeper::let_go(shard_id shard)
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

void ledger_keeper::drop(shard_id shard, std::string const& reason)
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

void ledger_keeper::drop_all()
{
    while (!shards_.empty())
        drop(shards_.begin()->first, "the lease was lost");
}

void ledger_keeper::submit(
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
    run(shard);
}

void ledger_keeper::cancel(job_id const& job, recorded_hook on_recorded)
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
    run(shard);
}

bool ledger_keeper::resolve_parked(job_id const& job, bool run_again)
{
    shard_id const shard = shard_of(job, shard_count_);
    held_shard* const held = find_shard(shard);
    if (held == nullptr || !held->shard.resolve_parked(job, run_again))
        return false;
    run(shard);
    return true;
}

job_record const* ledger_keeper::find(job_id const& job) const
{
    auto const found = shards_.find(shard_of(job, shard_count_));
    return found != shards_.end() ? found->second.shard.find(job) : nullptr;
}

std::vector<job_record> ledger_keeper::jobs() const
{
    std::vector<job_record> all;
    for (auto const& [id, held] : shards_) {
        for (auto const& [job, record] : held.shard.jobs())
            all.push_back(record);
    }
    return all;
}

void ledger_keeper::on_report(attempt_report const& report)
{
    shard_id const shard = shard_of(report.attempt.job, shard_count_);
    held_shard* const held = find_shard(shard);
    if (held == nullptr || !held->loaded)
        return;
    held->shard.on_report(report, event_loop::now());
    run(shard);
}

std::vector<shard_id> ledger_keeper::acknowledge(worker_id const& worker)
{
    std::vector<shard_id> held;
    monotonic_time const now = event_loop::now();
    if (!registered_.is_live(now))
        return held;
    for (auto& [id, each] : shards_) {
        if (!each.loaded)
            continue;
        each.shard.on_acknowledged(worker, now);
        held.push_back(id);
    }
    return held;
}

void ledger_keeper::adopt_table(table_policy const& policy)
{
    for (auto& [id, held] : shards_)
        held.shard.adopt_table(policy);
    tick();
}

void ledger_keeper::pace_writes()
{
    std::int64_t const shards = shard_count_;
    duration const interval =
        std::chrono::seconds(1) * shards / ledger_writes_per_second;
    for (auto& [id, held] : shards_)
        held.shard.set_write_interval(interval);
}

void ledger_keeper::tick()
{
    std::vector<shard_id> ids;
    for (auto const& [id, held] : shards_)
        ids.push_back(id);
    for (shard_id const id : ids)
        run(id);
}

void ledger_keeper::run(shard_id shard)
{
    held_shard* const held = find_shard(shard);
    // A lease that is no longer certain means that another entry may decide.
    if (held == nullptr || !held->loaded ||
        !registered_.is_live(event_loop::now()))
        return;
    act(shard, held->shard.tick(event_loop::now()));
}

void ledger_keeper::act(
    shard_id shard, std::vector<ledger_action> const& actions)
{
    for (ledger_action const& action : actions) {
        if (auto const* to_write = std::get_if<write_shard_action>(&action))
            write(shard, *to_write);
        else if (std::holds_alternative<read_shard_action>(action))
            read_back(shard);
        else if (auto const* said = std::get_if<recorded_action>(&action))
            answer_waiting(said->job, said->state);
        else if (auto const* lost = std::get_if<shard_lost_action>(&action))
            drop(shard, lost->reason);
        else
            hooks_.send_to_agent(action);
    }
}

void ledger_keeper::write(shard_id shard, write_shard_action const& action)
{
    held_shard* const held = find_shard(shard);
    if (held == nullptr)
        return;
    kv_write write;
    write.expected.push_back({value_key(shard), held->value_revision});
    write.expected.push_back({holder_key(shard), held->holder_revision});
    if (action.table) {
        auto const table = tables_.store_revision(*action.table);
        if (!table) {
            find_lost_compare(shard);
            return;
        }
        write.expected.push_back({table_keeper::key, *table});
    }
    write.puts.push_back(
        {value_key(shard), peers::encode_shard(action.snapshot), {}});
    store_.write(write, [this, shard, action](auto const& answer) {
        on_written(shard, action, answer);
    });
}

void ledger_keeper::on_written(
    shard_id shard, write_shard_action const&, result<kv_written> const& answer)
{
    held_shard* const held = find_shard(shard);
    if (held == nullptr)
        return;
    if (!ok(answer)) {
        log_error("shard_write_failed", failure(answer));
        write_result_later(
            shard, failure(answer).effect == outcome::not_run
                       ? write_result::not_sent
                       : write_result::unknown);
        return;
    }
    if (value(answer).is != kv_written::verdict::written) {
        find_lost_compare(shard);
        return;
    }
    held->value_revision = value(answer).revision;
    held->shard.on_write_result(write_result::committed, event_loop::now());
    run(shard);
}

void ledger_keeper::write_result_later(shard_id shard, write_result what)
{
    loop_.after(retry_delay, [this, shard, what] {
        held_shard* const held = find_shard(shard);
        if (held == nullptr)
            return;
        held->shard.on_write_result(what, event_loop::now());
        run(shard);
    });
}

void ledger_keeper::find_lost_compare(shard_id shard)
{
    store_.get(value_key(shard), [this, shard](auto const& answer) {
        held_shard* const held = find_shard(shard);
        if (held == nullptr)
            return;
        if (!ok(answer)) {
            loop_.after(
                retry_delay, [this, shard] { find_lost_compare(shard); });
            return;
        }
        auto const& found = value(answer);
        kv_revision const revision = found ? found->revision : 0;
        if (revision != held->value_revision) {
            held->shard.on_write_result(
                write_result::conflict, event_loop::now());
            run(shard);
            return;
        }
        tables_.refresh([this, shard] {
            held_shard* const still = find_shard(shard);
            if (still == nullptr)
                return;
            still->shard.on_write_result(
                write_result::table_changed, event_loop::now());
            still->shard.adopt_table(tables_.policy());
            loop_.after(retry_delay, [this, shard] { run(shard); });
        });
    });
}

void ledger_keeper::read_back(shard_id shard)
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
            if (snapshot.writer == self_life_)
                held->value_revision = found->revision;
        }
        held->shard.on_read(snapshot, event_loop::now());
        run(shard);
    });
}

void ledger_keeper::answer_waiting(
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

void ledger_keeper::stop(std::function<void()> on_done)
{
    stopping_ = true;
    std::vector<shard_id> settled;
    for (auto const& [id, held] : shards_) {
        if (!held.loaded || held.shard.is_settled())
            settled.push_back(id);
    }
    for (shard_id const id : settled)
        let_go(id);
    if (shards_.empty()) {
        on_done();
        return;
    }
    loop_.after(stop_poll_period, [this, on_done = std::move(on_done)] {
        stop(on_done);
    });
}

} // namespace sycamorespar
