/// The store's client against the in-process stand-in and bad peers.
#include "common/base64.hpp"
#include "common/http_server.hpp"
#include "platform/kv_client.hpp"
#include "standins/kv/kv_service.hpp"
#include "store/list_all.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <rapidcheck.h>

using namespace sycamorespar;
using namespace sycamorespar::platform;
using namespace std::chrono_literals;
using verdict = kv_written::verdict;

namespace {

// Only ends a test that hangs; no verdict waits for it.
constexpr std::chrono::seconds test_bound{20};
// Far above any honest answer, sanitizers included; far below the slow ones.
constexpr std::chrono::milliseconds call_timeout{3000};

template<class T>
result<T>
wait_for(event_loop& loop, std::function<void(kv_store::callback<T>)> start)
{
    std::optional<result<T>> got;
    auto const bound = loop.after(test_bound, [&loop] { loop.stop(); });
    start([&](result<T> answer) {
        got = std::move(answer);
        loop.stop();
    });
    if (!got)
        loop.run();
    loop.cancel(bound);
    REQUIRE(got.has_value());
    return std::move(*got);
}

/// Makes each call of a client wait for its answer.
struct waiting_client
{
    event_loop& loop;
    kv_client client;
    kv_store store = client.store();

    waiting_client(
        event_loop& on, std::vector<endpoint> const& endpoints,
        std::chrono::milliseconds timeout = call_timeout)
        : loop(on), client(on, endpoints, limits(timeout))
    {}

    static kv_client_limits limits(std::chrono::milliseconds timeout)
    {
        kv_client_limits chosen;
        chosen.timeout = timeout;
        return chosen;
    }

    result<std::optional<kv_item>> get(std::string const& key)
    {
        return wait_for<std::optional<kv_item>>(
            loop, [&](auto on_result) { store.get(key, on_result); });
    }
    result<kv_listing> list(std::string const& prefix)
    {
        return wait_for<kv_listing>(
            loop, [&](auto on_result) { list_all(store, prefix, on_result); });
    }
    result<kv_written> write(kv_write const& what)
    {
        return wait_for<kv_written>(
            loop, [&](auto on_result) { store.write(what, on_result); });
    }
    result<kv_changes> watch(
        std::string const& prefix, kv_revision after,
        std::chrono::milliseconds wait)
    {
        return wait_for<kv_changes>(loop, [&](auto on_result) {
            store.watch(prefix, after, wait, on_result);
        });
    }
    result<kv_lease> grant(std::chrono::milliseconds ttl)
    {
        return wait_for<kv_lease>(
            loop, [&](auto on_result) { store.grant_lease(ttl, on_result); });
    }
    result<bool> keep(kv_lease_id lease)
    {
        return wait_for<bool>(
            loop, [&](auto on_result) { store.keep_lease(lease, on_result); });
    }
    result<bool> end(kv_lease_id lease)
    {
        return wait_for<bool>(
            loop, [&](auto on_result) { store.end_lease(lease, on_result); });
    }
};

/// The stand-in and a client of it.
struct store_pair
{
    event_loop loop;
    standins::kv_service service{loop};
    endpoint where = take(service.listen({"127.0.0.1", 0}));
    waiting_client client{loop, {where}};

    void set(nlohmann::json const& settings)
    {
        REQUIRE(ok(service.control(settings)));
    }
};

/// A peer that gives every call the same answer.
struct fixed_pair
{
    event_loop loop;
    http_response response;
    http_server server{loop, {}, [this](exchange_id id, http_request const&) {
                           server.respond(id, response);
                       }};
    endpoint where = take(server.listen({"127.0.0.1", 0}));
    waiting_client client{loop, {where}};

    explicit fixed_pair(http_response answer) : response(std::move(answer)) {}
};

kv_write create(std::string const& key, std::string const& text)
{
    return {{{key, 0}}, {{key, text, {}}}, {}};
}

} // namespace

TEST_CASE("bytes survive base64")
{
    CHECK(to_base64("").empty());
    CHECK(to_base64("f") == "Zg==");
    CHECK(to_base64("fo") == "Zm8=");
    CHECK(to_base64("foobar") == "Zm9vYmFy");
    for (auto const* bad :
         {"Z", "Zg", "Zg=", "====", "Zg==Zg==", "Zm=8", "Z\n=="})
        CHECK_FALSE(from_base64(bad).has_value());
    CHECK(rc::check("round trip", [](std::string const& bytes) {
        RC_ASSERT(from_base64(to_base64(bytes)) == bytes);
    }));
}

TEST_CASE("a compare-and-swap succeeds once")
{
    store_pair pair;
    auto const first = pair.client.write(create("k", "one"));
    REQUIRE(ok(first));
    CHECK(value(first).is == verdict::written);
    auto const again = pair.client.write(create("k", "two"));
    REQUIRE(ok(again));
    CHECK(value(again).is == verdict::conflict);
    REQUIRE(value(again).current.size() == 1);
    CHECK(value(again).current[0].value == "one");

    auto const read = pair.client.get("k");
    REQUIRE(ok(read));
    REQUIRE(value(read).has_value());
    auto const& stored = *value(read);
    CHECK(stored.value == "one");
    CHECK(stored.revision == value(first).revision);
    CHECK(stored.created == value(first).revision);

    kv_write const swap{{{"k", stored.revision}}, {{"k", "three", {}}}, {}};
    CHECK(value(pair.client.write(swap)).is == verdict::written);
    CHECK(value(pair.client.write(swap)).is == verdict::conflict);
    CHECK(value(pair.client.get("k"))->created == value(first).revision);
}

TEST_CASE("a list holds the prefix's keys in order, and removals remove them")
{
    store_pair pair;
    kv_write fill;
    fill.puts = {
        {"a/2", "x", {}}, {"a/1", std::string(3, '\0'), {}}, {"b", "y", {}}};
    REQUIRE(ok(pair.client.write(fill)));
    auto const listed = value(pair.client.list("a/"));
    REQUIRE(listed.items.size() == 2);
    CHECK(listed.items[0].key == "a/1");
    CHECK(listed.items[0].value == std::string(3, '\0'));
    CHECK(value(pair.client.list("")).items.size() == 3);

    REQUIRE(ok(pair.client.write({{}, {}, {"a/1", "a/2"}})));
    CHECK(value(pair.client.list("")).items.size() == 1);
    REQUIRE(ok(pair.client.write({{}, {}, {"b"}})));
    CHECK_FALSE(value(pair.client.get("b")).has_value());
}

TEST_CASE("a listing of many pages is whole")
{
    store_pair pair;
    pair.service.kv().page_size = 7;
    for (int key = 100; key < 150; ++key)
        pair.service.kv().put("p/" + std::to_string(key), "v");
    auto const before = pair.service.kv().revision();
    auto const listed = value(pair.client.list("p/"));
    REQUIRE(listed.items.size() == 50);
    CHECK(listed.items.back().key == "p/149");
    CHECK(listed.revision == before);
}

TEST_CASE("keys and prefixes may hold any text")
{
    store_pair pair;
    std::string const key = "a/b c&d=e%f+\xc3\xa9";
    REQUIRE(ok(pair.client.write(create(key, "v"))));
    CHECK(value(pair.client.get(key))->value == "v");
    CHECK(value(pair.client.list("a/b c&")).items.size() == 1);
}

TEST_CASE("a watch tells what changed behind a revision, or that it was quiet")
{
    store_pair pair;
    pair.service.kv().put("w/a", "1");
    auto const from = pair.service.kv().revision();
    auto const quiet = value(pair.client.watch("w/", from, 20ms));
    CHECK(quiet.changes.empty());
    CHECK(quiet.revision == from);
    pair.service.kv().put("w/a", "2");
    pair.service.kv().put("x", "3");
    pair.service.kv().remove("w/a");
    auto const seen = value(pair.client.watch("w/", from, 1000ms));
    REQUIRE(seen.changes.size() == 2);
    CHECK(seen.changes[0].item.value == "2");
    CHECK(seen.changes[1].is_removal);
    CHECK(seen.changes[1].item.key == "w/a");
    pair.service.kv().drop_history();
    CHECK(value(pair.client.watch("w/", from, 1000ms)).is_history_lost);
}

TEST_CASE("a lease that lapsed takes its keys and says so")
{
    store_pair pair;
    auto const lease = value(pair.client.grant(60s));
    CHECK(lease.ttl == 60s);
    REQUIRE(ok(pair.client.write({{}, {{"k", "v", lease.id}}, {}})));
    CHECK(pair.service.kv().lease_of("k") == lease.id);
    CHECK(value(pair.client.keep(lease.id)));

    pair.set({{"expire_lease", lease.id.value}});
    CHECK_FALSE(value(pair.client.get("k")).has_value());
    CHECK_FALSE(value(pair.client.keep(lease.id)));
    auto const write = pair.client.write({{}, {{"k", "v", lease.id}}, {}});
    REQUIRE(ok(write));
    CHECK(value(write).is == verdict::lease_ended);
    CHECK_FALSE(value(pair.client.get("k")).has_value());
    CHECK_FALSE(value(pair.client.end(lease.id)));
}

TEST_CASE("a lease that is ended takes its keys")
{
    store_pair pair;
    auto const lease = value(pair.client.grant(60s));
    REQUIRE(ok(pair.client.write({{}, {{"k", "v", lease.id}}, {}})));
    CHECK(value(pair.client.end(lease.id)));
    CHECK_FALSE(value(pair.client.get("k")).has_value());
}

TEST_CASE("leases of the stand-in run from their last renewal")
{
    store_pair pair;
    auto& kv = pair.service.kv();
    auto const lease = value(pair.client.grant(10s));
    REQUIRE(ok(pair.client.write({{}, {{"k", "v", lease.id}}, {}})));
    auto const renewed_after = event_loop::now();
    CHECK(value(pair.client.keep(lease.id)));
    auto const renewed_before = event_loop::now();
    kv.expire(renewed_after + 9'999ms);
    CHECK(kv.items().contains("k"));
    auto const before = kv.revision();
    kv.expire(renewed_before + 10s);
    CHECK_FALSE(kv.items().contains("k"));
    CHECK(kv.revision() == before + 1);
}

TEST_CASE("a lost answer is unknown, and the write is there")
{
    store_pair pair;
    pair.set({{"lose_answers", 1}});
    auto const lost = pair.client.write(create("k", "v"));
    REQUIRE_FALSE(ok(lost));
    CHECK(failure(lost).effect == outcome::unknown);
    CHECK(failure(lost).step == "store.write");
    CHECK(failure(lost).peer == to_string(pair.where));
    CHECK(value(pair.client.get("k"))->value == "v");
    CHECK(pair.service.counts().at("kv-txn") == 1);
}

TEST_CASE("a store that is down is an error, and applies nothing")
{
    store_pair pair;
    pair.set({{"mode", "down"}});
    auto const failed = pair.client.write(create("k", "v"));
    REQUIRE_FALSE(ok(failed));
    CHECK(failure(failed).effect == outcome::unknown);
    pair.set({{"mode", "up"}});
    CHECK_FALSE(value(pair.client.get("k")).has_value());
}

TEST_CASE("a store that is busy has done nothing")
{
    store_pair pair;
    pair.set({{"mode", "busy"}});
    auto const failed = pair.client.write(create("k", "v"));
    REQUIRE_FALSE(ok(failed));
    CHECK(failure(failed).effect == outcome::not_run);
}

TEST_CASE("a slow or silent answer is unknown after the timeout")
{
    for (auto const* mode : {"slow", "silent"}) {
        store_pair pair;
        waiting_client hasty(pair.loop, {pair.where}, 100ms);
        pair.set({{"mode", mode}, {"delay_ms", 60'000}});
        auto const failed = hasty.write(create("k", "v"));
        REQUIRE_FALSE(ok(failed));
        CHECK(failure(failed).effect == outcome::unknown);
        pair.set({{"mode", "up"}});
        bool const is_applied = std::string(mode) == "slow";
        CHECK(value(pair.client.get("k")).has_value() == is_applied);
    }
}

TEST_CASE("a refused connect moves on to the next endpoint")
{
    store_pair pair;
    endpoint refusing;
    {
        http_server closed(pair.loop, {}, [](exchange_id, auto const&) {});
        refusing = take(closed.listen({"127.0.0.1", 0}));
    }
    waiting_client both(pair.loop, {refusing, pair.where});
    CHECK(ok(both.write(create("k", "v"))));
    CHECK(ok(both.get("k")));

    waiting_client none(pair.loop, {refusing, refusing});
    auto const failed = none.write(create("k", "v"));
    REQUIRE_FALSE(ok(failed));
    CHECK(failure(failed).effect == outcome::not_run);
    CHECK_FALSE(ok(waiting_client(pair.loop, {}).get("k")));
}

TEST_CASE("a write that may have left is not sent to the next endpoint")
{
    store_pair first;
    first.set({{"lose_answers", 1}});
    standins::kv_service second(first.loop);
    auto const other = take(second.listen({"127.0.0.1", 0}));
    waiting_client both(first.loop, {first.where, other});
    auto const lost = both.write(create("k", "v"));
    REQUIRE_FALSE(ok(lost));
    CHECK(failure(lost).effect == outcome::unknown);
    CHECK(second.counts().empty());
}

TEST_CASE("a value over the store's limit is refused as not run")
{
    store_pair pair;
    std::string const large(standins::default_value_limit, 'x');
    CHECK(ok(pair.client.write(create("k", large))));
    auto const refused = pair.client.write(create("l", large + "x"));
    REQUIRE_FALSE(ok(refused));
    CHECK(failure(refused).effect == outcome::not_run);
}

TEST_CASE("too many entries, and keys of the operator, are refused as not run")
{
    store_pair pair;
    kv_write many;
    for (std::size_t at = 0; at <= max_kv_write_size; ++at)
        many.puts.push_back({"k" + std::to_string(at), "v", {}});
    auto const refused = pair.client.write(many);
    REQUIRE_FALSE(ok(refused));
    CHECK(failure(refused).effect == outcome::not_run);
    many.puts.pop_back();
    CHECK(ok(pair.client.write(many)));
    auto const forbidden = pair.client.write(create("op/config", "v"));
    REQUIRE_FALSE(ok(forbidden));
    CHECK(failure(forbidden).effect == outcome::not_run);
}

TEST_CASE("answers that can't be read are errors, and a write's fate unknown")
{
    std::string const deep(100'000, '[');
    for (auto const& body :
         {std::string("garbage"), std::string(), std::string("{}"),
          std::string("[]"), deep, R"({"rev":"x"})" + deep,
          std::string(R"({"rev":"99999999999999999999"})"),
          std::string(R"({"rev":"2"})"), std::string(R"({"rev":2,"rev":{}})"),
          std::string(R"({"key":"k","rev":2,"value":7})"),
          std::string(R"({"key":"k","rev":2,"value":"*"})"),
          std::string(9 * 1024 * 1024, ' ')}) {
        fixed_pair pair({200, {}, body});
        CHECK_FALSE(ok(pair.client.get("k")));
        auto const written = pair.client.write(create("k", "v"));
        if (!ok(written))
            CHECK(failure(written).effect == outcome::unknown);
        CHECK_FALSE(ok(pair.client.list("k")));
        CHECK_FALSE(ok(pair.client.watch("k", 1, 10ms)));
        CHECK_FALSE(ok(pair.client.grant(1000ms)));
    }
}

TEST_CASE("only a status from before the write proves it didn't run")
{
    auto const effect = [](int status, std::string const& body) {
        fixed_pair pair({status, {}, body});
        return failure(pair.client.write(create("k", "v"))).effect;
    };
    CHECK(effect(400, "{}") == outcome::not_run);
    CHECK(effect(403, "{}") == outcome::not_run);
    CHECK(effect(429, "") == outcome::not_run);
    CHECK(effect(503, "") == outcome::not_run);
    CHECK(effect(500, "") == outcome::unknown);
    CHECK(effect(502, "") == outcome::unknown);
    CHECK(effect(504, "") == outcome::unknown);
    CHECK(effect(412, "garbage") == outcome::unknown);
}

TEST_CASE("a client may be destroyed with calls in flight")
{
    store_pair pair;
    pair.set({{"mode", "slow"}, {"delay_ms", 60'000}});
    bool called = false;
    {
        kv_client client(pair.loop, {pair.where}, {});
        client.store().get("k", [&called](auto const&) { called = true; });
    }
    pair.set({{"mode", "up"}});
    CHECK(ok(pair.client.get("k")));
    CHECK_FALSE(called);
}
