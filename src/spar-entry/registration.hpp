/// An entry's registration in the store, under a lease.
#ifndef SYCAMORESPAR_SPAR_ENTRY_REGISTRATION_HPP
#define SYCAMORESPAR_SPAR_ENTRY_REGISTRATION_HPP

#include "common/event_loop.hpp"
#include "common/http_message.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/ids.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamorespar {

/// What an entry writes about itself.
struct entry_record
{
    /// Its name.
    entry_id id;
    /// Where agents reach it.
    std::string peer_address;
    /// Where other entries reach its HTTP interface.
    endpoint http;
};

/// Reads a record; the id comes from the key.
result<entry_record> read_entry_record(kv_item const& from);

/// The text that is stored.
std::string write_entry_record(entry_record const& from);

/// The prefix under which entries register.
inline constexpr char const* entries_prefix = "/spar/entries/";

/// Keeps the registration alive and the list of all entries fresh.
class registration
{
public:
    /// Called when the lease was lost: everything held under it is gone.
    using lost_hook = std::function<void()>;

    registration(
        event_loop& loop, kv_store const& store, std::chrono::seconds ttl,
        lost_hook on_lost);

    /// Registers, and goes on trying while the store is down.
    void start(entry_record const& self);
    /// True while the lease certainly lives, by this process's clock.
    bool is_live(monotonic_time now) const;
    /// The lease that keys may be put under.
    kv_lease_id lease() const { return lease_; }
    /// All entries registered, as last read.
    std::map<entry_id, entry_record> const& entries() const { return entries_; }
    /// Ends the lease; calls back in any case.
    void stop(std::function<void()> const& on_done);

private:
    void request_lease();
    void put_record();
    void keep_alive();
    void read_entries();
    void on_lease_lost();

    event_loop& loop_;
    kv_store const& store_;
    std::chrono::seconds ttl_;
    lost_hook on_lost_;
    entry_record self_;
    kv_lease_id lease_;
    monotonic_time live_until_;
    bool requesting_lease_ = false;
    bool stopping_ = false;
    std::map<entry_id, entry_record> entries_;
};

} // namespace sycamorespar

#endif
