/// Interface to the key-value store that holds the persistent state.
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
/// The store's revision number; each change increases it.
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

/// A page of items in key order. The pages of a list are not one consistent
/// snapshot.
struct kv_page
{
    /// The items.
    std::vector<kv_item> items;
    /// True if more items follow the last key.
    bool has_more = false;
    /// The store's revision.
    kv_revision revision = 0;
};

/// A change reported by a watch.
struct kv_change
{
    /// The item as written; only key and revision are set for a removal.
    kv_item item;
    /// True if the key was removed.
    bool is_removal = false;
};

/// What a watch returns.
struct kv_changes
{
    /// The changes, oldest first; empty if the wait timed out.
    std::vector<kv_change> changes;
    /// The revision to continue the watch from.
    kv_revision revision = 0;
    /// The store has compacted this history: list the keys again.
    bool is_history_lost = false;
};

/// A precondition of a write: the key's last change has this revision, or, if
/// the revision is zero, the key does not exist.
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
    /// The key is removed when this lease ends.
    kv_lease_id lease;
};

/// An atomic write: nothing is written unless every condition holds.
struct kv_write
{
    /// The conditions.
    std::vector<kv_condition> expected;
    /// The values.
    std::vector<kv_put> puts;
    /// The keys to remove.
    std::vector<std::string> removals;

    /// The number of operations, which max_kv_write_size limits.
    std::size_t size() const
    {
        return expected.size() + puts.size() + removals.size();
    }
};

/// The most conditions, values and removals of one write.
inline constexpr std::size_t max_kv_write_size = 32;

/// The result of a write.
struct kv_write_result
{
    /// What the store did.
    enum class write_status
    {
        /// Everything was written.
        written,
        /// A condition did not hold; nothing was written.
        conflict,
        /// The lease has ended; nothing was written.
        lease_ended
    };
    /// What the store did.
    write_status status = write_status::written;
    /// The revision of the write.
    kv_revision revision = 0;
    /// After a conflict, the current items of those condition keys that exist.
    std::vector<kv_item> current;
};

/// A lease that was granted.
struct kv_lease
{
    /// The lease.
    kv_lease_id id;
    /// Its time to live, counted from the last renewal.
    std::chrono::milliseconds ttl{0};
};

/// Asynchronous calls to a store. Every callback runs exactly once, never
/// inside the call; an error of effect unknown means that the call may have
/// taken effect or still may.
struct kv_store
{
    /// Receives the result or the error.
    template<class T>
    using callback = std::function<void(result<T>)>;

    /// Reads one key.
    std::function<void(
        std::string const& key, callback<std::optional<kv_item>>)>
        get;
    /// Lists the items with a prefix whose keys follow after_key.
    std::function<void(
        std::string const& prefix, std::string const& after_key,
        callback<kv_page>)>
        list;
    /// Waits for changes of keys with a prefix after a revision.
    std::function<void(
        std::string const& prefix, kv_revision after,
        std::chrono::milliseconds wait, callback<kv_changes>)>
        watch;
    /// Makes an atomic write.
    std::function<void(kv_write const&, callback<kv_write_result>)> write;
    /// Requests a lease.
    std::function<void(std::chrono::milliseconds ttl, callback<kv_lease>)>
        grant_lease;
    /// Renews a lease; false if it has ended.
    std::function<void(kv_lease_id, callback<bool>)> renew_lease;
    /// Revokes a lease, which removes its keys; false if it had ended before.
    std::function<void(kv_lease_id, callback<bool>)> revoke_lease;
};

} // namespace sycamorespar

#endif
