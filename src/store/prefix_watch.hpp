/// Watches the keys of the store that begin with a prefix.
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
    /// Long-poll time: the store answers after this if nothing changes. A dead
    /// connection is noticed shortly after, so this bounds the view's age.
    std::chrono::milliseconds wait{1000};
    /// Delay after the first failed call; doubles up to longest_pause.
    std::chrono::milliseconds first_pause{50};
    /// The longest delay after failed calls.
    std::chrono::milliseconds longest_pause{400};
};

/// Lists the keys, then watches for changes; lists them again where the store
/// no longer has the changes in between.
class prefix_watch
{
public:
    /// Callbacks to the owner.
    struct observer
    {
        /// All current keys; replaces everything reported before.
        std::function<void(std::vector<kv_item> const&)> on_listed;
        /// One change, in revision order.
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
    /// The time of the store's last answer.
    monotonic_time last_answer_at() const { return last_answer_at_; }
    /// All changes up to this time are reported: when the last answered call
    /// was sent.
    monotonic_time complete_until() const { return complete_until_; }

private:
    void list();
    void
    apply_listing(result<kv_listing> const& listing, monotonic_time sent_at);
    void watch();
    void
    apply_changes(result<kv_changes> const& answer, monotonic_time sent_at);
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
    monotonic_time complete_until_{};
    std::chrono::milliseconds pause_{0};
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
