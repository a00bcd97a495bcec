/// Which scheduler holds office: one key of the store, under a lease.
#ifndef SYCAMORESPAR_STORE_OFFICE_HPP
#define SYCAMORESPAR_STORE_OFFICE_HPP

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
inline constexpr char const* office_key = "office/scheduler";
/// The key by which a larger process asks a smaller holder for the office.
inline constexpr char const* office_claim_key = "office/scheduler.claim";

/// A process that may hold the office.
struct office_candidate
{
    /// This life of it.
    incarnation process;
    /// Where runners and other schedulers reach it.
    endpoint address;
    /// What it can carry, in thousandths of a core; zero where unknown.
    std::int64_t capacity = 0;
};

/// Who holds the office.
struct office_holder
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
std::string write_office(office_candidate const& holder);
/// Reads the office's key; none where it is unsound.
std::optional<office_holder> read_office(kv_item const& item);

/// Limits of the office.
struct office_limits
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
    double larger_by = 1.5;
    /// A free office is left for this long to processes as large as the last
    /// holder; they take it within one round trip of hearing that it is free.
    std::chrono::milliseconds precedence{300};
    /// A larger process claims the office this long after a smaller one took
    /// it, so that a claim doesn't meet a takeover.
    std::chrono::milliseconds claim_delay{500};
};

/// Takes part in filling the office, and tells who holds it.
class office
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

    office(
        event_loop& loop, kv_store const& store, office_candidate self,
        observer told, office_limits const& limits = {});
    ~office();
    office(office const&) = delete;
    office& operator=(office const&) = delete;

    /// The holder; none where the office is free or unknown.
    std::optional<office_holder> const& holder() const { return holder_; }
    /// True where this process holds it.
    bool is_held() const { return is_held_; }
    /// True where this process may let runs go on.
    bool has_authority() const;
    /// A write has shown that another holds the office, or nobody.
    void on_conflict();
    /// Gives the office up and takes no further part; tells when that is done.
    void resign(std::function<void()> on_done);

private:
    void take_listed(std::vector<kv_item> const& items);
    void take_change(kv_change const& change);
    void take_claim(kv_item const& item);
    void set_holder(std::optional<office_holder> holder);
    bool is_earlier_life(office_holder const& holder) const;
    void take_in_turn();
    bool is_larger(std::int64_t capacity, std::int64_t than) const;
    void claim_later();
    void claim();
    void hand_over();
    void try_to_take();
    void take_with(kv_lease const& lease);
    void retry_later();
    void gain(scheduler_term term);
    void lose();
    void renew();

    event_loop& loop_;
    kv_store const& store_;
    office_candidate self_;
    observer told_;
    office_limits limits_;
    std::optional<office_holder> holder_;
    bool is_held_ = false;
    bool is_trying_ = false;
    bool has_resigned_ = false;
    /// What the last holder, or who claimed the office from it, can carry.
    std::int64_t usual_capacity_ = 0;
    /// The term of the holder that this process has claimed the office from.
    scheduler_term claimed_from_;
    kv_lease_id lease_;
    std::chrono::nanoseconds confirmed_at_{0};
    event_id renewal_ = 0;
    std::shared_ptr<bool> alive_;
    std::unique_ptr<prefix_watch> watch_;
};

} // namespace sycamorespar

#endif
