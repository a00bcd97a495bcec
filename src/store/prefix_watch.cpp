/// Pages are no snapshot, so changes are followed from the revision of the
/// first page: what changed while the pages were read is told again.
#include "store/prefix_watch.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

prefix_watch::prefix_watch(
    event_loop& loop, kv_store const& store, std::string prefix, observer told,
    prefix_watch_limits const& limits)
    : loop_(loop), store_(store), prefix_(std::move(prefix)),
      told_(std::move(told)), limits_(limits), pause_(limits.first_pause),
      alive_(std::make_shared<bool>(true))
{
    list();
}

prefix_watch::~prefix_watch() = default;

void prefix_watch::answered()
{
    heard_at_ = event_loop::now();
    pause_ = limits_.first_pause;
}

void prefix_watch::retry(std::function<void()> call)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(pause_, [guard, call = std::move(call)] {
        if (!guard.expired())
            call();
    });
    pause_ = std::min(pause_ * 2, limits_.longest_pause);
}

void prefix_watch::list()
{
    std::weak_ptr<bool> const guard = alive_;
    list_all(store_, prefix_, [this, guard](auto const& listing) {
        if (!guard.expired())
            take_listing(listing);
    });
}

void prefix_watch::take_listing(result<kv_listing> const& listing)
{
    if (!ok(listing)) {
        retry([this] { list(); });
        return;
    }
    answered();
    revision_ = value(listing).revision;
    is_listed_ = true;
    std::weak_ptr<bool> const guard = alive_;
    told_.on_listed(value(listing).items);
    if (!guard.expired())
        watch();
}

void prefix_watch::watch()
{
    std::weak_ptr<bool> const guard = alive_;
    store_.watch(
        prefix_, revision_, limits_.wait, [this, guard](auto const& seen) {
            if (!guard.expired())
                take_changes(seen);
        });
}

void prefix_watch::take_changes(result<kv_changes> const& seen)
{
    if (!ok(seen)) {
        retry([this] { watch(); });
        return;
    }
    answered();
    if (value(seen).is_history_lost) {
        list();
        return;
    }
    std::weak_ptr<bool> const guard = alive_;
    for (auto const& change : value(seen).changes) {
        told_.on_change(change);
        if (guard.expired())
            return;
    }
    revision_ = std::max(revision_, value(seen).revision);
    watch();
}

} // namespace sycamorespar
