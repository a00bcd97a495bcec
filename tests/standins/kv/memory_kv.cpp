/// Follows the store's rules: a single revision counter, atomic writes, and
/// watches that must list again once the history no longer covers their
/// revision.
#include "standins/kv/memory_kv.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar::standins {

namespace {

error down()
{
    return {"store.call", "store", "status 503", outcome::not_run};
}

} // namespace

template<class T>
void memory_kv::answer(kv_store::callback<T> on_result, result<T> what)
{
    ++calls;
    if (is_down)
        what = down();
    loop_.after(
        std::chrono::milliseconds(1),
        [on_result = std::move(on_result), what = std::move(what)] {
            on_result(what);
        });
}

kv_store memory_kv::store()
{
    kv_store interface;
    interface.get = [this](std::string const& key, auto on_result) {
        auto const found = items_.find(key);
        std::optional<kv_item> item;
        if (found != items_.end())
            item = found->second;
        answer<std::optional<kv_item>>(std::move(on_result), item);
    };
    interface.list = [this](
                         std::string const& prefix, std::string const& after,
                         auto on_result) {
        kv_page page;
        page.revision = revision_;
        for (auto const& [key, item] : items_) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                continue;
            page.has_more = page.items.size() == page_size;
            if (page.has_more)
                break;
            page.items.push_back(item);
        }
        answer<kv_page>(std::move(on_result), page);
    };
    interface.watch = [this](
                          std::string const& prefix, kv_revision after,
                          std::chrono::milliseconds wait, auto on_result) {
        if (is_down) {
            answer<kv_changes>(std::move(on_result), kv_changes{});
            return;
        }
        auto const id = ++last_watch_;
        watches_.push_back({id, prefix, after, std::move(on_result)});
        loop_.after(wait, [this, id] { end_wait(id); });
        answer_watches();
    };
    interface.write = [this](kv_write const& write, auto on_result) {
        if (is_down) {
            answer<kv_write_result>(std::move(on_result), kv_write_result{});
            return;
        }
        auto const written = this->write(write);
        if (lost_answers > 0) {
            --lost_answers;
            answer<kv_write_result>(
                std::move(on_result),
                error{"store.write", "store", "no answer", outcome::unknown});
            return;
        }
        answer<kv_write_result>(std::move(on_result), written);
    };
    interface.grant_lease =
        [this](std::chrono::milliseconds ttl, auto on_result) {
            answer<kv_lease>(std::move(on_result), grant(ttl));
        };
    interface.renew_lease = [this](kv_lease_id lease, auto on_result) {
        answer<bool>(std::move(on_result), keep(lease));
    };
    interface.revoke_lease = [this](kv_lease_id lease, auto on_result) {
        answer<bool>(std::move(on_result), revoke_lease(lease));
    };
    return interface;
}

result<kv_write_result> memory_kv::write(kv_write const& what)
{
    auto const refuse = [](char const* reason) {
        return error{"store.write", "store", reason, outcome::not_run};
    };
    if (what.size() > max_kv_write_size)
        return refuse("too many entries");
    for (auto const& each : what.puts) {
        if (each.value.size() > default_value_limit)
            return refuse("value is too large");
    }
    return apply(what);
}

kv_write_result memory_kv::apply(kv_write const& write)
{
    kv_write_result written;
    for (auto const& each : write.puts) {
        if (each.lease.value != 0 && !leases_.contains(each.lease))
            written.status = kv_write_result::write_status::lease_ended;
    }
    if (written.status == kv_write_result::write_status::lease_ended)
        return written;
    for (auto const& each : write.expected) {
        auto const found = items_.find(each.key);
        auto const revision =
            found == items_.end() ? 0 : found->second.revision;
        if (found != items_.end())
            written.current.push_back(found->second);
        if (revision != each.revision)
            written.status = kv_write_result::write_status::conflict;
    }
    if (written.status == kv_write_result::write_status::conflict)
        return written;
    ++revision_;
    for (auto const& each : write.puts) {
        auto& item = items_[each.key];
        item.key = each.key;
        item.value = each.value;
        item.revision = revision_;
        if (item.created == 0)
            item.created = revision_;
        lease_of_key_[each.key] = each.lease;
        record_change({item, false});
    }
    for (auto const& key : write.removals)
        remove_key(key);
    written.current.clear();
    written.revision = revision_;
    answer_watches();
    return written;
}

void memory_kv::remove_key(std::string const& key)
{
    lease_of_key_.erase(key);
    if (items_.erase(key) > 0)
        record_change({{key, "", revision_, 0}, true});
}

kv_lease memory_kv::grant(std::chrono::milliseconds ttl)
{
    kv_lease_id const id{++last_lease_};
    leases_[id] = {ttl, event_loop::now() + ttl};
    expire_later(ttl);
    return {id, ttl};
}

bool memory_kv::keep(kv_lease_id lease)
{
    expire(event_loop::now());
    auto const found = leases_.find(lease);
    if (found == leases_.end())
        return false;
    found->second.ends_at = event_loop::now() + found->second.ttl;
    expire_later(found->second.ttl);
    return true;
}

void memory_kv::expire_later(std::chrono::milliseconds ttl)
{
    loop_.after(ttl + std::chrono::milliseconds(1), [this] {
        expire(event_loop::now());
    });
}

void memory_kv::expire(monotonic_time now)
{
    std::vector<kv_lease_id> over;
    for (auto const& [id, lease] : leases_) {
        if (lease.ends_at <= now)
            over.push_back(id);
    }
    for (auto const& id : over)
        revoke_lease(id);
}

bool memory_kv::revoke_lease(kv_lease_id lease)
{
    if (leases_.erase(lease) == 0)
        return false;
    std::vector<std::string> keys;
    for (auto const& [key, held_by] : lease_of_key_) {
        if (held_by == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return true;
    ++revision_;
    for (auto const& key : keys)
        remove_key(key);
    answer_watches();
    return true;
}

kv_lease_id memory_kv::lease_of(std::string const& key) const
{
    auto const found = lease_of_key_.find(key);
    return found == lease_of_key_.end() ? kv_lease_id{} : found->second;
}

void memory_kv::record_change(kv_change change)
{
    history_.push_back(std::move(change));
}

void memory_kv::put(std::string const& key, std::string const& value)
{
    apply({{}, {{key, value, {}}}, {}});
}

void memory_kv::remove(std::string const& key)
{
    apply({{}, {}, {key}});
}

void memory_kv::drop_history()
{
    history_.clear();
    history_from_ = revision_;
    answer_watches();
}

kv_changes
memory_kv::changes_after(std::string const& prefix, kv_revision after)
{
    kv_changes seen;
    seen.revision = revision_;
    seen.is_history_lost = after < history_from_;
    for (auto const& change : history_) {
        if (change.item.revision > after && change.item.key.starts_with(prefix))
            seen.changes.push_back(change);
    }
    return seen;
}

void memory_kv::end_wait(std::uint64_t watch)
{
    auto const found = std::find_if(
        watches_.begin(), watches_.end(),
        [watch](waiting_watch const& each) { return each.id == watch; });
    if (found == watches_.end())
        return;
    auto const seen = changes_after(found->prefix, found->after);
    answer<kv_changes>(std::move(found->on_result), seen);
    watches_.erase(found);
}

void memory_kv::answer_watches()
{
    auto waiting = std::exchange(watches_, {});
    for (auto& each : waiting) {
        auto const seen = changes_after(each.prefix, each.after);
        if (seen.changes.empty() && !seen.is_history_lost)
            watches_.push_back(std::move(each));
        else
            answer<kv_changes>(std::move(each.on_result), seen);
    }
}

} // namespace sycamorespar::standins
