/// An in-memory key-value store behind the kv_store interface that can inject
/// faults.
#ifndef SYCAMORESPAR_TESTS_STANDINS_KV_MEMORY_KV_HPP
#define SYCAMORESPAR_TESTS_STANDINS_KV_MEMORY_KV_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sycamorespar::standins {

/// Maximum size of a value in bytes.
inline constexpr std::size_t default_value_limit = 1024 * 1024;

/// An in-memory store with leases, watches and a change history. Results are
/// delivered from the event loop, never from within a call.
class memory_kv
{
public:
    explicit memory_kv(event_loop& loop) : loop_(loop) {}

    /// The kv_store interface to this store.
    kv_store store();

    /// Writes unconditionally, as an operator does.
    void put(std::string const& key, std::string const& value);
    /// Removes a key unconditionally.
    void remove(std::string const& key);
    /// The stored items by key.
    std::map<std::string, kv_item> const& items() const { return items_; }
    /// Drops the change history; pending watches must list again.
    void drop_history();
    /// Ends the leases that have expired by `now` and removes their keys.
    void expire(monotonic_time now);
    /// Ends a lease and removes its keys; false if it had already ended.
    bool revoke_lease(kv_lease_id lease);
    /// The lease of a key; zero if it has none.
    kv_lease_id lease_of(std::string const& key) const;
    /// The current revision; each write that is applied increments it.
    kv_revision revision() const { return revision_; }

    /// Calls fail with status 503 and the outcome not_run.
    bool is_down = false;
    /// Number of following writes that are processed but reported as
    /// unanswered.
    int lost_answers = 0;
    /// Maximum number of items in a page.
    std::size_t page_size = 100;
    /// Number of calls so far.
    std::uint64_t calls = 0;

private:
    struct live_lease
    {
        std::chrono::milliseconds ttl{0};
        monotonic_time ends_at{};
    };
    struct waiting_watch
    {
        std::uint64_t id = 0;
        std::string prefix;
        kv_revision after = 0;
        kv_store::callback<kv_changes> on_result;
    };

    template<class T>
    void answer(kv_store::callback<T> on_result, result<T> what);
    kv_write_result apply(kv_write const& write);
    void remove_key(std::string const& key);
    result<kv_write_result> write(kv_write const& what);
    void end_wait(std::uint64_t watch);
    kv_lease grant(std::chrono::milliseconds ttl);
    bool keep(kv_lease_id lease);
    void expire_later(std::chrono::milliseconds ttl);
    void record_change(kv_change change);
    kv_changes changes_after(std::string const& prefix, kv_revision after);
    void answer_watches();

    event_loop& loop_;
    std::map<std::string, kv_item> items_;
    std::vector<kv_change> history_;
    kv_revision history_from_ = 0;
    kv_revision revision_ = 1;
    std::uint64_t last_lease_ = 0;
    std::map<kv_lease_id, live_lease> leases_;
    std::map<std::string, kv_lease_id> lease_of_key_;
    std::uint64_t last_watch_ = 0;
    std::vector<waiting_watch> watches_;
};

} // namespace sycamorespar::standins

#endif
