/// Follows the keys of the store that begin with a prefix.
#ifndef SYCAMORESPAR_STORE_PREFIX_WATCH_HPP
#define SYCAMORESPAR_STORE_PREFIX_WATCH_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"
#include "store/list_all.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sycamorespar {

/// Limits of a watch.
struct prefix_watch_limits
{
    /// The store answers after this where nothing changes. A silent connection
    /// is noticed a little later, so this bounds how old our view can be.
    std::chrono::milliseconds wait{1000};
    /// The first pause after a failed call; doubles up to the longest.
    std::chrono::milliseconds first_pause{50};
    /// The longest pause after failed calls.
    std::chrono::milliseconds longest_pause{400};
};

/// Lists the keys, then follows their changes; lists them again where the
/// store has lost the history between.
class prefix_watch
{
public:
    /// What the owner is told.
    struct observer
    {
        /// All keys as they are; replaces everything told before.
        std::function<void(std::vector<kv_item> const&)> on_listed;
        /// One change, in the store's order.
        std::function<void(kv_change const&)> on_change;
    };

    prefix_watch(
        event_loop& loop, kv_store const& store, std::string prefix,
        observer callbacks, prefix_watch_limits const& limits = {});
    ~prefix_watch();
    prefix_watch(prefix_watch const&) = delete;
    prefix_watch& operator=(prefix_watch const&) = delete;

    /// True once the keys were listed.
    bool is_listed() const { return is_listed_; }
    /// When the store answered last.
    monotonic_time last_answer_at() const { return last_answer_at_; }

private:
    void list();
    void apply_listing(result<kv_listing> const& listing);
    void watch();
    void apply_changes(result<kv_changes> const& answer);
    void retry(std::function<void()> call);
    void on_answer();

    event_loop& loop_;
    kv_store const& store_;
    std::string prefix_;
    observer callbacks_;
    prefix_watch_limits limits_;
    kv_revision revision_ = 0;
    bool is_listed_ = false;
    monotonic_time last_answer_at_{};
    std::chrono::milliseconds pause_{0};
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
