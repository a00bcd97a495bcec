/// An entry's registration in the store, bound to a lease.
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

/// An entry's record in the store.
struct entry_record
{
    /// The entry's name.
    entry_id id;
    /// Address for messages from agents.
    std::string peer_address;
    /// Endpoint of its HTTP interface, as other entries reach it.
    endpoint http;
};

/// Parses a stored record; the id is taken from the key.
/// \return an error if the value is malformed.
result<entry_record> read_entry_record(kv_item const& from);

/// Serializes a record for the store.
std::string write_entry_record(entry_record const& from);

/// The prefix under which entries register.
inline constexpr char const* entries_prefix = "/spar/entries/";

/// Renews the registration's lease and polls the list of all entries.
class registration
{
public:
    /// Called when the lease was lost, and all keys bound to it with it.
    using lost_hook = std::function<void()>;

    registration(
        event_loop& loop, kv_store const& store, std::chrono::seconds ttl,
        lost_hook on_lost);

    /// Registers; retries while the store is unavailable.
    void start(entry_record const& self);
    /// True while the lease has certainly not expired, by this process's
    /// clock.
    bool is_live(monotonic_time now) const;
    /// The lease that keys may be bound to; zero if none.
    kv_lease_id lease() const { return lease_; }
    /// All registered entries, as last read.
    std::map<entry_id, entry_record> const& entries() const { return entries_; }
    /// Revokes the lease; calls back also on failure.
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
