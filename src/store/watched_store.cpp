/// Detects the loss of the store, so that callers are refused at once instead
/// of waiting for their calls to time out.
#include "store/watched_store.hpp"

#include "common/log.hpp"

#include <utility>

namespace sycamorespar {

watched_store::watched_store(
    event_loop& loop, kv_store inner, std::string probe_key,
    watched_store_limits const& limits)
    : loop_(loop), inner_(std::move(inner)), probe_key_(std::move(probe_key)),
      liveness_(limits.liveness), alive_(std::make_shared<bool>(true))
{
    timer_ = loop_.every(limits.probe, [this] { probe(); });
}

watched_store::~watched_store()
{
    loop_.cancel(timer_);
}

bool watched_store::is_lost() const
{
    return liveness_.is_lost(event_loop::now());
}

void watched_store::record_result(bool is_answered)
{
    if (is_answered)
        liveness_.on_answer(event_loop::now());
    else
        liveness_.on_failure(event_loop::now());
    if (is_lost() == was_lost_)
        return;
    was_lost_ = !was_lost_;
    if (was_lost_)
        log_event(log_level::warning, "store_lost");
    else
        log_event(log_level::info, "store_regained");
}

void watched_store::probe()
{
    if (!liveness_.is_failing() || std::exchange(is_probing_, true))
        return;
    store().get(probe_key_, [this](auto const&) { is_probing_ = false; });
}

template<class T>
kv_store::callback<T> watched_store::watched(kv_store::callback<T> on_result)
{
    liveness_.on_call(event_loop::now());
    std::weak_ptr<bool> const guard = alive_;
    return [this, guard, on_result = std::move(on_result)](result<T> answer) {
        if (guard.expired())
            return;
        record_result(ok(answer));
        on_result(std::move(answer));
    };
}

kv_store watched_store::store()
{
    kv_store monitored;
    monitored.get = [this](auto const& key, auto on_result) {
        inner_.get(key, watched(std::move(on_result)));
    };
    monitored.list =
        [this](auto const& prefix, auto const& after, auto on_result) {
            inner_.list(prefix, after, watched(std::move(on_result)));
        };
    monitored.watch = inner_.watch;
    monitored.write = [this](auto const& what, auto on_result) {
        inner_.write(what, watched(std::move(on_result)));
    };
    monitored.grant_lease = [this](auto ttl, auto on_result) {
        inner_.grant_lease(ttl, watched(std::move(on_result)));
    };
    monitored.renew_lease = [this](auto lease, auto on_result) {
        inner_.renew_lease(lease, watched(std::move(on_result)));
    };
    monitored.revoke_lease = [this](auto lease, auto on_result) {
        inner_.revoke_lease(lease, watched(std::move(on_result)));
    };
    return monitored;
}

} // namespace sycamorespar
