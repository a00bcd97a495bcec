// A stand-in for the platform's store (PROTOCOL.md, "The platform's metadata
// store"): one revision counter, conditional writes, leases, watches.
#pragma once

#include "http.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>

namespace stand {

using nlohmann::json;
using std::chrono::milliseconds;

inline std::string to_base64(std::string const& bytes)
{
    static char const digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::size_t at = 0;
    while (at < bytes.size()) {
        unsigned group = 0;
        auto const left = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t next = 0; next < 3; ++next)
            group = group << 8U |
                    (next < left ? static_cast<unsigned char>(bytes[at + next])
                                 : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            out +=
                digit <= left ? digits[group >> (18 - 6 * digit) & 63U] : '=';
        at += left;
    }
    return out;
}

class store
{
public:
    // Decides of each write that would be carried out whether its answer is
    // lost, and how much later it is carried out then. None: no trouble.
    using trouble =
        std::function<std::optional<milliseconds>(json const& write)>;
    // Sees each write that has been carried out.
    using observer = std::function<void(json const& write, bool is_late)>;

    bool listen(address const& where)
    {
        std::thread([this] { end_leases(); }).detach();
        return server_.listen(
            where, [this](request const& from) { return handle(from); });
    }

    void set_trouble(trouble decide)
    {
        std::lock_guard const lock(mutex_);
        trouble_ = std::move(decide);
    }

    void set_observer(observer see)
    {
        std::lock_guard const lock(mutex_);
        observer_ = std::move(see);
    }

    // A write of the operator.
    void put(std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        change(key, to_base64(value), 0, ++revision_);
        changed_.notify_all();
    }

    bool has(std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        return items_.count(key) != 0;
    }

    // The value as base64 text; empty where there is none.
    std::string value_of(std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        auto const found = items_.find(key);
        return found == items_.end() ? std::string() : found->second.value;
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t rev = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::uint64_t rev = 0;
        std::string key;
        bool is_removal = false;
        item what;
    };
    struct lease
    {
        milliseconds ttl{0};
        clock_type::time_point ends;
    };

    static json to_json(std::string const& key, item const& what)
    {
        return {
            {"key", key},
            {"value", what.value},
            {"rev", what.rev},
            {"created", what.created},
            {"lease", what.lease}};
    }

    void change(
        std::string const& key, std::string const& value, std::uint64_t of,
        std::uint64_t rev)
    {
        auto& changed = items_[key];
        if (changed.rev == 0)
            changed.created = rev;
        changed.value = value;
        changed.rev = rev;
        changed.lease = of;
        history_.push_back({rev, key, false, changed});
    }

    void remove(std::string const& key, std::uint64_t rev)
    {
        if (items_.erase(key) != 0)
            history_.push_back({rev, key, true, {}});
    }

    void end_lease(std::uint64_t id)
    {
        std::vector<std::string> keys;
        for (auto const& [key, what] : items_) {
            if (what.lease == id)
                keys.push_back(key);
        }
        leases_.erase(id);
        if (keys.empty())
            return;
        ++revision_;
        for (auto const& key : keys)
            remove(key, revision_);
        changed_.notify_all();
    }

    void end_leases()
    {
        for (;;) {
            std::this_thread::sleep_for(milliseconds(10));
            std::lock_guard const lock(mutex_);
            std::vector<std::uint64_t> over;
            for (auto const& [id, each] : leases_) {
                if (each.ends < clock_type::now())
                    over.push_back(id);
            }
            for (auto const id : over)
                end_lease(id);
        }
    }

    response handle(request const& from)
    {
        auto const& path = from.path;
        if (path == "/-/kv-key")
            return get(from);
        if (path == "/-/kv-range")
            return range(from);
        if (path == "/-/kv-watch")
            return watch(from);
        if (path == "/-/kv-txn")
            return write(json::parse(from.body));
        if (path == "/-/kv-lease")
            return grant(json::parse(from.body));
        if (path.starts_with("/-/kv-keep/"))
            return keep(std::stoull(path.substr(11)));
        if (path.starts_with("/-/kv-lease-end/"))
            return end(std::stoull(path.substr(16)));
        return {404, "{}", false};
    }

    response get(request const& from)
    {
        std::lock_guard const lock(mutex_);
        auto const found = items_.find(from.query.at("key"));
        if (found == items_.end())
            return {404, "{}", false};
        auto body = to_json(found->first, found->second);
        body["current_rev"] = revision_;
        return {200, body.dump(), false};
    }

    response range(request const& from)
    {
        constexpr std::size_t page = 500;
        std::lock_guard const lock(mutex_);
        auto const& prefix = from.query.at("prefix");
        auto const after = from.query.count("after") != 0
                               ? from.query.at("after")
                               : std::string();
        json items = json::array();
        bool has_more = false;
        for (auto next = items_.lower_bound(prefix);
             next != items_.end() && next->first.starts_with(prefix); ++next) {
            if (!after.empty() && next->first <= after)
                continue;
            has_more = items.size() == page;
            if (has_more)
                break;
            items.push_back(to_json(next->first, next->second));
        }
        return {
            200,
            json{
                {"items", items},
                {"more_pages", has_more},
                {"current_rev", revision_}}
                .dump(),
            false};
    }

    response watch(request const& from)
    {
        auto const& prefix = from.query.at("prefix");
        auto const after = std::stoull(from.query.at("after"));
        auto const until = clock_type::now() +
                           milliseconds(std::stoll(from.query.at("wait_ms")));
        std::unique_lock lock(mutex_);
        for (;;) {
            json events = json::array();
            for (auto const& each : history_) {
                if (each.rev <= after || !each.key.starts_with(prefix))
                    continue;
                events.push_back(
                    each.is_removal
                        ? json{{"key", each.key}, {"rev", each.rev}, {"tombstone", true}}
                        : to_json(each.key, each.what));
            }
            bool const is_over = clock_type::now() >= until;
            if (!events.empty() || is_over)
                return {
                    200,
                    json{{"events", events}, {"current_rev", revision_}}.dump(),
                    false};
            changed_.wait_until(lock, until);
        }
    }

    // The size of a value that is given as base64 text.
    static std::size_t decoded_size(std::string const& text)
    {
        auto const padding = std::count(text.begin(), text.end(), '=');
        return text.size() / 4 * 3 - static_cast<std::size_t>(padding);
    }

    // The answer, and whether the write was carried out.
    std::pair<response, bool> apply(json const& what)
    {
        auto const none = json::array();
        json current = json::array();
        bool is_conflict = false;
        for (auto const& each : what.value("expected", none)) {
            auto const key = each.at("key").get<std::string>();
            auto const found = items_.find(key);
            auto const rev = found == items_.end() ? 0 : found->second.rev;
            is_conflict =
                is_conflict || rev != each.at("rev").get<std::uint64_t>();
            current.push_back(
                found == items_.end() ? json{{"key", key}, {"rev", 0}}
                                      : to_json(key, found->second));
        }
        if (is_conflict)
            return {{412, json{{"items", current}}.dump(), false}, false};
        for (auto const& each : what.value("puts", none)) {
            auto const of = each.value("lease", std::uint64_t{0});
            if (of != 0 && leases_.count(of) == 0)
                return {{404, "{}", false}, false};
        }
        for (auto const& each : what.value("puts", none)) {
            constexpr std::size_t value_bytes = 1'048'576;
            if (decoded_size(each.at("value").get<std::string>()) > value_bytes)
                return {{400, "{}", false}, false};
        }
        ++revision_;
        for (auto const& each : what.value("puts", none))
            change(
                each.at("key").get<std::string>(),
                each.at("value").get<std::string>(),
                each.value("lease", std::uint64_t{0}), revision_);
        for (auto const& key : what.value("remove", none))
            remove(key.get<std::string>(), revision_);
        changed_.notify_all();
        return {{200, json{{"rev", revision_}}.dump(), false}, true};
    }

    response write(json const& what)
    {
        std::lock_guard const lock(mutex_);
        auto const late = trouble_ ? trouble_(what) : std::nullopt;
        if (!late) {
            auto const [answer, is_done] = apply(what);
            if (is_done && observer_)
                observer_(what, false);
            return answer;
        }
        std::thread([this, what, wait = *late] {
            std::this_thread::sleep_for(wait);
            std::lock_guard const again(mutex_);
            bool const is_done = apply(what).second;
            if (is_done && observer_)
                observer_(what, true);
        }).detach();
        return {0, "", true};
    }

    response grant(json const& what)
    {
        std::lock_guard const lock(mutex_);
        auto const ttl = std::max(
            milliseconds(what.at("ttl_ms").get<std::int64_t>()),
            milliseconds(1000));
        leases_[++last_lease_] = {ttl, clock_type::now() + ttl};
        return {
            200, json{{"lease", last_lease_}, {"ttl_ms", ttl.count()}}.dump(),
            false};
    }

    response keep(std::uint64_t id)
    {
        std::lock_guard const lock(mutex_);
        auto const found = leases_.find(id);
        if (found == leases_.end())
            return {404, "{}", false};
        found->second.ends = clock_type::now() + found->second.ttl;
        return {200, json{{"ttl_ms", found->second.ttl.count()}}.dump(), false};
    }

    response end(std::uint64_t id)
    {
        std::lock_guard const lock(mutex_);
        if (leases_.count(id) == 0)
            return {404, "{}", false};
        end_lease(id);
        return {200, "{}", false};
    }

    server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::deque<event> history_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t last_lease_ = 0;
    trouble trouble_;
    observer observer_;
};

} // namespace stand
