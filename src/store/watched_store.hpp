/// Watches whether the store can be reached from here.
#ifndef SYCAMORESPAR_STORE_WATCHED_STORE_HPP
#define SYCAMORESPAR_STORE_WATCHED_STORE_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/contact_watch.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace sycamorespar {

/// Limits of the watch.
struct watched_store_limits
{
    /// What counts as lost.
    contact_limits liveness;
    /// While calls fail a key is read this often, so that the store's return
    /// is seen soon also where nobody calls.
    std::chrono::milliseconds probe{250};
};

/// Passes calls on to a store and watches their answers, except those of
/// waiting watches, which are silent by nature.
class watched_store
{
public:
    watched_store(
        event_loop& loop, kv_store inner, std::string probe_key,
        watched_store_limits const& limits = {});
    ~watched_store();
    watched_store(watched_store const&) = delete;
    watched_store& operator=(watched_store const&) = delete;

    /// The same calls, watched. They must not be used once this is gone.
    kv_store store();
    /// True where the store can't be reached at present.
    bool is_lost() const;

private:
    template<class T>
    kv_store::callback<T> watched(kv_store::callback<T> on_result);
    void record_result(bool is_answered);
    void probe();

    event_loop& loop_;
    kv_store inner_;
    std::string probe_key_;
    contact_watch liveness_;
    bool was_lost_ = false;
    bool is_probing_ = false;
    event_id timer_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
