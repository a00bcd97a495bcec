/// The pages of a listing are not a snapshot, so changes are watched from the
/// revision of the first page: what changed meanwhile is reported again.
#include "store/prefix_watch.hpp"

#include "common/log.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

prefix_watch::prefix_watch(
    event_loop& loop, kv_store const& store, std::string prefix,
    observer callbacks, prefix_watch_limits const& limits)
    : loop_(loop), store_(store), prefix_(std::move(prefix)),
      callbacks_(std::move(callbacks)), limits_(limits),
      pause_(limits.first_pause), alive_(std::make_shared<bool>(true))
{
    list();
}

prefix_watch::~prefix_watch() = default;

void prefix_watch::on_answer()
{
    last_answer_at_ = event_loop::now();
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
    auto const sent_at = event_loop::now();
    list_all(store_, prefix_, [this, guard, sent_at](auto const& listing) {
        if (!guard.expired())
            apply_listing(listing, sent_at);
    });
}

void prefix_watch::apply_listing(
    result<kv_listing> const& listing, monotonic_time sent_at)
{
    if (!ok(listing)) {
        log_repeated_error("listing_failed", failure(listing));
        retry([this] { list(); });
        return;
    }
    on_answer();
    revision_ = value(listing).revision;
    is_listed_ = true;
    log_event(
        log_level::info, "prefix_listed",
        {{"prefix", prefix_},
         {"items", value(listing).items.size()},
         {"revision", revision_}});
    std::weak_ptr<bool> const guard = alive_;
    callbacks_.on_listed(value(listing).items);
    if (guard.expired())
        return;
    complete_until_ = sent_at;
    watch();
}

void prefix_watch::watch()
{
    std::weak_ptr<bool> const guard = alive_;
    auto const sent_at = event_loop::now();
    store_.watch(
        prefix_, revision_, limits_.wait,
        [this, guard, sent_at](auto const& answer) {
            if (!guard.expired())
                apply_changes(answer, sent_at);
        });
}

void prefix_watch::apply_changes(
    result<kv_changes> const& answer, monotonic_time sent_at)
{
    if (!ok(answer)) {
        log_repeated_error("watch_failed", failure(answer));
        retry([this] { watch(); });
        return;
    }
    on_answer();
    if (value(answer).is_history_lost) {
        log_event(
            log_level::warning, "history_lost",
            {{"prefix", prefix_}, {"revision", revision_}});
        list();
        return;
    }
    std::weak_ptr<bool> const guard = alive_;
    for (auto const& change : value(answer).changes) {
        callbacks_.on_change(change);
        if (guard.expired())
            return;
    }
    revision_ = std::max(revision_, value(answer).revision);
    complete_until_ = sent_at;
    watch();
}

} // namespace sycamorespar
