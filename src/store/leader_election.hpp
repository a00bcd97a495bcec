/// Elects the scheduler that leads, through one leased key of the store.
#ifndef SYCAMORESPAR_STORE_LEADER_ELECTION_HPP
#define SYCAMORESPAR_STORE_LEADER_ELECTION_HPP

#include "common/event_loop.hpp"
#include "common/http_message.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/runner_messages.hpp"
#include "store/prefix_watch.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamorespar {

/// The key that names the leader.
inline constexpr char const* leader_key = "office/scheduler";
/// The key by which a larger process asks a smaller leader to hand over.
inline constexpr char const* leader_claim_key = "office/scheduler.claim";

/// A process that may become the leader.
struct election_candidate
{
    /// The incarnation of the process.
    incarnation process;
    /// The address for runners and other schedulers.
    endpoint address;
    /// Processing capacity, in thousandths of a core; zero where unknown.
    std::int64_t capacity = 0;
};

/// The current leader.
struct leader_info
{
    /// The term: the revision of the write that made it the leader.
    scheduler_term term;
    /// The incarnation of the leader's process.
    incarnation process;
    /// Its address for runners and other schedulers.
    endpoint address;
    /// Processing capacity, in thousandths of a core; zero where unknown.
    std::int64_t capacity = 0;
};

/// Encodes the value of the leader's key.
std::string write_leader(election_candidate const& leader);
/// Decodes the leader's key; none where the value is malformed.
std::optional<leader_info> read_leader(kv_item const& item);

/// Timing and limits of the election.
struct leader_election_limits
{
    /// The leader's lease expires this long after its last renewal.
    std::chrono::milliseconds ttl{1200};
    /// Interval between renewals of the lease, and between reads that confirm
    /// the leadership.
    std::chrono::milliseconds renewal{300};
    /// Delay before another attempt to become leader.
    std::chrono::milliseconds retry{50};
    /// The leader may extend runs' leases for this long after it was last
    /// known to lead; its successor relies on this bound. It may outlast the
    /// lease: a leader that the store has lost sight of keeps its workers' runs
    /// going until the successor has them.
    std::chrono::milliseconds authority{2000};
    /// A process counts as larger if its capacity exceeds the other's by more
    /// than this factor.
    double min_capacity_ratio = 1.5;
    /// A smaller process waits this long before it takes over from a leader
    /// that is gone; processes as large as that leader need one round trip.
    std::chrono::milliseconds precedence{300};
    /// A larger process asks for the leadership this long after a smaller one
    /// gained it, so that its claim doesn't coincide with a takeover.
    std::chrono::milliseconds claim_delay{500};
};

/// Takes part in the election and tracks the current leader.
class leader_election
{
public:
    /// Callbacks to the owner.
    struct observer
    {
        /// This process became the leader, in this term.
        std::function<void(scheduler_term)> on_gained;
        /// This process is no longer the leader.
        std::function<void()> on_lost;
    };

    leader_election(
        event_loop& loop, kv_store const& store, election_candidate self,
        observer callbacks, leader_election_limits const& limits = {});
    ~leader_election();
    leader_election(leader_election const&) = delete;
    leader_election& operator=(leader_election const&) = delete;

    /// The leader; none where there is none or it is unknown.
    std::optional<leader_info> const& leader() const { return leader_; }
    /// True where this process is the leader.
    bool is_leader() const { return is_leader_; }
    /// True where this process may extend runs' leases.
    bool has_authority() const;
    /// The latest time at which no other process had become the leader after
    /// this one, as far as the store has confirmed it.
    monotonic_time confirmed_at() const { return confirmed_at_; }
    /// The time since then, including time for which the instance was
    /// suspended.
    std::chrono::nanoseconds time_since_confirmation() const;
    /// A write has shown that another process, or none, is the leader.
    void on_conflict();
    /// Gives up the leadership and leaves the election; calls back when the
    /// store has answered.
    void resign(std::function<void()> on_done);

private:
    /// When a call was sent.
    struct sending_time
    {
        monotonic_time at{};
        /// The same, including time for which the instance was suspended.
        std::chrono::nanoseconds since_boot{0};
    };

    static sending_time now();
    void apply_listing(std::vector<kv_item> const& items);
    void apply_change(kv_change const& change);
    std::optional<leader_info> read_entry(kv_item const& item);
    void process_claim(kv_item const& item);
    void set_leader(std::optional<leader_info> leader);
    bool is_earlier_incarnation(leader_info const& leader) const;
    void acquire_by_precedence();
    bool is_larger(std::int64_t capacity, std::int64_t other) const;
    void schedule_claim();
    void claim();
    void hand_over();
    void hand_over_later(scheduler_term term);
    void try_to_acquire();
    void acquire_with(kv_lease const& lease);
    void retry_later();
    void become_leader(scheduler_term term);
    void lose_leadership();
    void renew();
    void renew_lease();
    void confirm_leadership();
    void apply_own_key(
        scheduler_term term, sending_time const& sent,
        result<std::optional<kv_item>> const& read);
    void confirm(sending_time const& sent);

    event_loop& loop_;
    kv_store const& store_;
    election_candidate self_;
    observer callbacks_;
    leader_election_limits limits_;
    std::optional<leader_info> leader_;
    /// The revision of an entry that names no leader; zero where there is none.
    kv_revision unreadable_revision_ = 0;
    bool is_leader_ = false;
    bool is_acquiring_ = false;
    bool has_resigned_ = false;
    /// The last term that this process has led; it begins only once.
    scheduler_term led_term_;
    /// Capacity of the last leader, or of the process that claimed from it.
    std::int64_t expected_capacity_ = 0;
    /// The term of the leader that this process asked to hand over.
    scheduler_term claimed_from_;
    kv_lease_id lease_;
    monotonic_time confirmed_at_{};
    std::chrono::nanoseconds confirmed_since_boot_{0};
    event_id renewal_ = 0;
    std::shared_ptr<bool> alive_;
    std::unique_ptr<prefix_watch> watch_;
};

} // namespace sycamorespar

#endif
