/// The key-value store that keeps what must last, as this product sees it.
#ifndef SYCAMORESPAR_COMMON_KV_STORE_HPP
#define SYCAMORESPAR_COMMON_KV_STORE_HPP

#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/result.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// A lease of the store; zero means none.
using kv_lease_id = number_id<struct kv_lease_tag>;
/// The store's count of changes.
using kv_revision = std::uint64_t;

/// A key with its value.
struct kv_item
{
    /// The key.
    std::string key;
    /// The value, any bytes.
    std::string value;
    /// The revision of its last change.
    kv_revision revision = 0;
    /// The revision of its creation.
    kv_revision created = 0;

    bool operator==(kv_item const&) const = default;
};

/// A page of items, in the order of their keys. Pages are no snapshot.
struct kv_page
{
    /// The items.
    std::vector<kv_item> items;
    /// True where more follow behind the last key.
    bool has_more = false;
    /// The store's revision.
    kv_revision revision = 0;
};

/// A change that a watch saw.
struct kv_change
{
    /// The item as it was written; only key and revision where it is gone.
    kv_item item;
    /// True where the key was removed.
    bool is_removal = false;
};

/// What a watch returns.
struct kv_changes
{
    /// The changes, oldest first; none where the wait ended.
    std::vector<kv_change> changes;
    /// Go on from here.
    kv_revision revision = 0;
    /// The store has dropped this history: list the keys again.
    bool is_history_lost = false;
};

/// A condition: the key's last change has this revision, or, for zero, there
/// is no such key.
struct kv_condition
{
    /// The key.
    std::string key;
    /// The revision.
    kv_revision revision = 0;
};

/// A value to write.
struct kv_put
{
    /// The key.
    std::string key;
    /// The value, any bytes.
    std::string value;
    /// The lease whose end removes the key.
    kv_lease_id lease;
};

/// Changes that are made together, or not at all unless every condition holds.
struct kv_write
{
    /// The conditions.
    std::vector<kv_condition> expected;
    /// The values.
    std::vector<kv_put> puts;
    /// The keys to remove.
    std::vector<std::string> removals;

    /// What counts against the store's limit for one write.
    std::size_t size() const
    {
        return expected.size() + puts.size() + removals.size();
    }
};

/// The most conditions, values and removals of one write.
inline constexpr std::size_t max_kv_write_size = 32;

/// What became of a write that the store answered.
struct kv_write_result
{
    /// What the store did.
    enum class write_status
    {
        /// Everything was written.
        written,
        /// A condition did not hold: nothing was written.
        conflict,
        /// The lease has ended: nothing was written.
        lease_ended
    };
    /// What the store did.
    write_status status = write_status::written;
    /// The revision of the write.
    kv_revision revision = 0;
    /// After a conflict, the keys of the conditions that exist, as they are.
    std::vector<kv_item> current;
};

/// A lease that was granted.
struct kv_lease
{
    /// The lease.
    kv_lease_id id;
    /// How long it lasts from each renewal.
    std::chrono::milliseconds ttl{0};
};

/// Calls to a store. Every call is answered exactly once, later; an error says
/// whether the call may have taken effect or still may (unknown).
struct kv_store
{
    /// Receives the answer or the error.
    template<class T>
    using callback = std::function<void(result<T>)>;

    /// Reads one key.
    std::function<void(
        std::string const& key, callback<std::optional<kv_item>>)>
        get;
    /// Reads the keys with a prefix that follow another key.
    std::function<void(
        std::string const& prefix, std::string const& after_key,
        callback<kv_page>)>
        list;
    /// Waits for changes of keys with a prefix behind a revision.
    std::function<void(
        std::string const& prefix, kv_revision after,
        std::chrono::milliseconds wait, callback<kv_changes>)>
        watch;
    /// Writes.
    std::function<void(kv_write const&, callback<kv_write_result>)> write;
    /// Asks for a lease.
    std::function<void(std::chrono::milliseconds ttl, callback<kv_lease>)>
        grant_lease;
    /// Renews a lease; false where it has ended.
    std::function<void(kv_lease_id, callback<bool>)> renew_lease;
    /// Ends a lease, which removes its keys; false where it had ended before.
    std::function<void(kv_lease_id, callback<bool>)> revoke_lease;
};

} // namespace sycamorespar

#endif
