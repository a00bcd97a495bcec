/// Monitors whether the store is reachable from this process.
#ifndef SYCAMORESPAR_STORE_WATCHED_STORE_HPP
#define SYCAMORESPAR_STORE_WATCHED_STORE_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/liveness_monitor.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace sycamorespar {

/// Limits of the monitoring.
struct watched_store_limits
{
    /// When the store counts as lost.
    liveness_limits liveness;
    /// Interval between reads of a key while calls fail, so that the store's
    /// recovery is noticed without other calls.
    std::chrono::milliseconds probe{250};
};

/// Forwards calls to a store and monitors their answers, except those of
/// watches, which wait for changes by design.
class watched_store
{
public:
    watched_store(
        event_loop& loop, kv_store inner, std::string probe_key,
        watched_store_limits const& limits = {});
    ~watched_store();
    watched_store(watched_store const&) = delete;
    watched_store& operator=(watched_store const&) = delete;

    /// The monitored calls. They must not outlive this object.
    kv_store store();
    /// True while the store is unreachable.
    bool is_lost() const;

private:
    template<class T>
    kv_store::callback<T> watched(kv_store::callback<T> on_result);
    void record_result(bool is_answered);
    void probe();

    event_loop& loop_;
    kv_store inner_;
    std::string probe_key_;
    liveness_monitor liveness_;
    bool was_lost_ = false;
    bool is_probing_ = false;
    event_id timer_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
