/// The ledger shards that this entry holds, and their writes to the store.
#ifndef SYCAMORESPAR_SPAR_ENTRY_SHARD_MANAGER_HPP
#define SYCAMORESPAR_SPAR_ENTRY_SHARD_MANAGER_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/ledger_shard.hpp"
#include "spar-entry/registration.hpp"
#include "spar-entry/table_replica.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// What the ledger needs from the rest of the entry.
struct shard_manager_hooks
{
    /// Chooses a worker for a job.
    place_hook place;
    /// Sends a start, stop, forget or query to an agent.
    std::function<void(ledger_action const&)> send_to_agent;
};

/// Claims shards by lease, loads them, and commits their groups of changes.
class shard_manager
{
public:
    /// Called once the job is recorded, or can't be.
    using recorded_hook = std::function<void(result<job_state>)>;

    shard_manager(
        event_loop& loop, kv_store const& store, registration& own_registration,
        table_replica& replica, incarnation self_incarnation,
        std::uint32_t shard_count, shard_manager_hooks hooks);

    /// Starts to claim shards.
    void start(entry_id const& self);
    /// True where the job's shard is held and loaded here.
    bool holds(job_id const& job) const;
    /// The entry that holds the job's shard, as last read.
    std::optional<entry_id> holder_of(job_id const& job) const;
    /// Records a job.
    void submit(job_request const& request, recorded_hook on_recorded);
    /// Cancels a job.
    void cancel(job_id const& job, recorded_hook on_recorded);
    /// Decides about a parked job. \return false where it is not parked.
    bool resolve_parked(job_id const& job, bool run_again);
    /// A job; null where unknown here.
    job_record const* find(job_id const& job) const;
    /// All jobs of the shards held here.
    std::vector<job_record> jobs() const;
    /// An agent's report.
    void on_report(attempt_report const& report);
    /// The shards that are held by a live lease, noting that an answer which
    /// says so goes to the worker now.
    std::vector<shard_id> acknowledge(worker_id const& worker);
    /// A newer table.
    void adopt_table(table_policy const& policy);
    /// Decides what is due.
    void tick();
    /// Drops everything: the lease was lost.
    void drop_all();
    /// Writes what is decided and lets go of all shards; calls back when done
    /// or at the bound.
    void stop(std::function<void()> on_done);
    /// The number of shards held.
    std::size_t held_shard_count() const { return shards_.size(); }

private:
    struct held_shard
    {
        ledger_shard shard;
        kv_revision holder_revision = 0;
        kv_revision value_revision = 0;
        bool loaded = false;
    };
    struct holder
    {
        entry_id id;
        kv_revision revision = 0;
    };
    struct waiting_caller
    {
        job_id job;
        recorded_hook on_recorded;
    };

    std::string holder_key(shard_id shard) const;
    std::string value_key(shard_id shard) const;
    held_shard* find_shard(shard_id shard);
    entry_id preferred_holder(shard_id shard) const;
    void set_write_intervals();
    void read_holders();
    void apply_holders(std::vector<kv_item> const& listed);
    void claim(shard_id shard);
    void load(shard_id shard);
    void release(shard_id shard);
    void drop(shard_id shard, std::string const& reason);
    void execute(shard_id shard, std::vector<ledger_action> const& actions);
    void write(shard_id shard, write_shard_action const& action);
    void on_written(
        shard_id shard, write_shard_action const& action,
        result<kv_written> const& answer);
    void find_failed_comparison(shard_id shard);
    void read_back(shard_id shard);
    void report_write_result_later(shard_id shard, write_result what);
    void answer_waiting(job_id const& job, result<job_state> const& what);
    void tick_shard(shard_id shard);

    event_loop& loop_;
    kv_store const& store_;
    registration& registration_;
    table_replica& table_;
    incarnation self_incarnation_;
    std::uint32_t shard_count_;
    shard_manager_hooks hooks_;
    entry_id self_;
    std::map<shard_id, held_shard> shards_;
    std::map<shard_id, holder> holders_;
    std::set<shard_id> claiming_;
    std::vector<waiting_caller> waiting_;
    bool stopping_ = false;
};

} // namespace sycamorespar

#endif
