/// Holds ledger shards for this entry and writes their changes to the store.
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

/// Callbacks from the shard manager to the rest of the entry.
struct shard_manager_hooks
{
    /// Chooses a worker for a job.
    place_hook place;
    /// Sends a start, stop, forget or query message to an agent.
    std::function<void(ledger_action const&)> send_to_agent;
};

/// Claims shards by lease, loads them, and commits their changes in batches.
class shard_manager
{
public:
    /// Called with the job's state once the store has recorded the change, or
    /// with an error.
    using recorded_hook = std::function<void(result<job_state>)>;

    shard_manager(
        event_loop& loop, kv_store const& store, registration& own_registration,
        table_replica& replica, incarnation self_incarnation,
        std::uint32_t shard_count, shard_manager_hooks hooks);

    /// Starts polling for shards to claim.
    void start(entry_id const& self);
    /// True if the job's shard is held by this entry and loaded.
    bool holds(job_id const& job) const;
    /// The entry that holds the job's shard, as last read; empty if none.
    std::optional<entry_id> holder_of(job_id const& job) const;
    /// Records a new job.
    void submit(job_request const& request, recorded_hook on_recorded);
    /// Cancels a job.
    void cancel(job_id const& job, recorded_hook on_recorded);
    /// Resolves a parked job: runs it again or ends it as failed.
    /// \return false if it is not parked, or its shard is not held here.
    bool resolve_parked(job_id const& job, bool run_again);
    /// Finds a job; null if this entry holds no record of it.
    job_record const* find(job_id const& job) const;
    /// All jobs in the shards held by this entry.
    std::vector<job_record> jobs() const;
    /// Processes an agent's report on a task attempt.
    void on_report(attempt_report const& report);
    /// Returns the loaded shards, or none unless the lease is live, and extends
    /// the leases of the worker's attempts in them. The result has to be sent
    /// to the worker at once.
    std::vector<shard_id> acknowledge(worker_id const& worker);
    /// Switches to a newer table.
    void adopt_table(table_policy const& policy);
    /// Runs all held shards and executes their decisions.
    void tick();
    /// Drops all shards without writing, after the lease was lost.
    void drop_all();
    /// Writes pending changes and releases all shards; calls back when none is
    /// held. Has no time limit of its own.
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
        result<kv_write_result> const& answer);
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
