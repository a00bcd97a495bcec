/// Which scheduler holds office: one key of the store, under a lease.
#ifndef SYCAMORESPAR_STORE_LEADER_ELECTION_HPP
#define SYCAMORESPAR_STORE_LEADER_ELECTION_HPP

#include "common/event_loop.hpp"
#include "common/http_message.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/runner_messages.hpp"
#include "store/prefix_watch.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sycamorespar {

/// The key of the office.
inline constexpr char const* leader_key = "office/scheduler";
/// The key by which a larger process asks a smaller holder for the office.
inline constexpr char const* leader_claim_key = "office/scheduler.claim";

/// A process that may hold the office.
struct election_candidate
{
    /// This life of it.
    incarnation process;
    /// Where runners and other schedulers reach it.
    endpoint address;
    /// What it can carry, in thousandths of a core; zero where unknown.
    std::int64_t capacity = 0;
};

/// Who holds the office.
struct leader_info
{
    /// The term; the revision at which the office was taken.
    scheduler_term term;
    /// This life of the holder.
    incarnation process;
    /// Where runners and other schedulers reach it.
    endpoint address;
    /// What it can carry, in thousandths of a core; zero where unknown.
    std::int64_t capacity = 0;
};

/// Writes the value of the office's key.
std::string write_leader(election_candidate const& leader);
/// Reads the office's key; none where it is unsound.
std::optional<leader_info> read_leader(kv_item const& item);

/// Limits of the office.
struct leader_election_limits
{
    /// Without renewal the office is free after this.
    std::chrono::milliseconds ttl{2000};
    /// It is renewed this often.
    std::chrono::milliseconds renewal{500};
    /// A pause before another try at a free office.
    std::chrono::milliseconds retry{50};
    /// The holder may let runs go on for this long after it sent the last
    /// renewal that was answered; its successor counts on it.
    std::chrono::milliseconds authority{2000};
    /// A process that can carry this many times as much counts as larger.
    double min_capacity_ratio = 1.5;
    /// A free office is left for this long to processes as large as the last
    /// holder; they take it within one round trip of hearing that it is free.
    std::chrono::milliseconds precedence{300};
    /// A larger process claims the office this long after a smaller one took
    /// it, so that a claim doesn't meet a takeover.
    std::chrono::milliseconds claim_delay{500};
};

/// Takes part in filling the office, and tells who holds it.
class leader_election
{
public:
    /// What the owner is told.
    struct observer
    {
        /// This process holds the office from now on, in this term.
        std::function<void(scheduler_term)> on_gained;
        /// This process no longer holds it.
        std::function<void()> on_lost;
    };

    leader_election(
        event_loop& loop, kv_store const& store, election_candidate self,
        observer callbacks, leader_election_limits const& limits = {});
    ~leader_election();
    leader_election(leader_election const&) = delete;
    leader_election& operator=(leader_election const&) = delete;

    /// The holder; none where the office is free or unknown.
    std::optional<leader_info> const& leader() const { return leader_; }
    /// True where this process holds it.
    bool is_leader() const { return is_leader_; }
    /// True where this process may let runs go on.
    bool has_authority() const;
    /// A write has shown that another holds the office, or nobody.
    void on_conflict();
    /// Gives the office up and takes no further part; tells when that is done.
    void resign(std::function<void()> on_done);

private:
    void apply_listing(std::vector<kv_item> const& items);
    void apply_change(kv_change const& change);
    void process_claim(kv_item const& item);
    void set_leader(std::optional<leader_info> leader);
    bool is_earlier_incarnation(leader_info const& leader) const;
    void acquire_by_precedence();
    bool is_larger(std::int64_t capacity, std::int64_t other) const;
    void schedule_claim();
    void claim();
    void hand_over();
    void try_to_acquire();
    void acquire_with(kv_lease const& lease);
    void retry_later();
    void become_leader(scheduler_term term);
    void lose_leadership();
    void renew();

    event_loop& loop_;
    kv_store const& store_;
    election_candidate self_;
    observer callbacks_;
    leader_election_limits limits_;
    std::optional<leader_info> leader_;
    bool is_leader_ = false;
    bool is_acquiring_ = false;
    bool has_resigned_ = false;
    /// What the last holder, or who claimed the office from it, can carry.
    std::int64_t expected_capacity_ = 0;
    /// The term of the holder that this process has claimed the office from.
    scheduler_term claimed_from_;
    kv_lease_id lease_;
    std::chrono::nanoseconds renewed_at_{0};
    event_id renewal_ = 0;
    std::shared_ptr<bool> alive_;
    std::unique_ptr<prefix_watch> watch_;
};

} // namespace sycamorespar

#endif
