/// Tests parsing of upstreams' announcements and forwarding to upstreams.
#include "common/http_server.hpp"
#include "upstreams/announcement.hpp"
#include "upstreams/upstream_client.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>

using namespace sycamorespar;
using namespace sycamorespar::upstreams;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds test_timeout{20};

nlohmann::json valid_announcement()
{
    return {
        {"upstream", "ledger-1"},
        {"address", "127.0.0.1"},
        {"port", 8080},
        {"rows", {"weigh-in", "pricing"}},
        {"slots", 8},
        {"connections", 64},
        {"incarnation", 7}};
}

/// An HTTP server whose request handler is set by each test.
struct served_endpoint
{
    event_loop loop;
    http_server::handler on_request;
    http_server server{loop, {}, [this](auto id, auto const& request) {
                           on_request(id, request);
                       }};
    endpoint where = take(server.listen({"127.0.0.1", 0}));

    served_endpoint()
    {
        loop.after(test_timeout, [this] { loop.stop(); });
    }
};

} // namespace

TEST_CASE("an announcement is read whole")
{
    auto const got = parse_announcement(valid_announcement().dump());
    REQUIRE(ok(got));
    CHECK(value(got).upstream == "ledger-1");
    CHECK(value(got).where == endpoint{"127.0.0.1", 8080});
    CHECK(value(got).rows.size() == 2);
    CHECK(value(got).slots == 8);
    CHECK(value(got).connections == 64);
    CHECK(value(got).incarnation == incarnation(7));
}

TEST_CASE("an announcement out of bounds names the member")
{
    auto const [member, text] = GENERATE(
        std::pair("upstream", R"("a/b")"), std::pair("upstream", R"("")"),
        std::pair("address", R"("host.example")"), std::pair("port", "0"),
        std::pair("port", "65536"), std::pair("rows", "[]"),
        std::pair("rows", "[1]"), std::pair("slots", "0"),
        std::pair("slots", "1e3"), std::pair("connections", "7"),
        std::pair("incarnation", "0"), std::pair("incarnation", "-1"));
    auto changed = valid_announcement();
    changed[member] = nlohmann::json::parse(text);
    auto const got = parse_announcement(changed.dump());
    REQUIRE_FALSE(ok(got));
    CHECK(failure(got).step == std::string("announcement.") + member);
}

TEST_CASE("an announcement that is not valid JSON is refused")
{
    auto const text = GENERATE(
        std::string("{"), std::string("[]"),
        std::string(R"({"slots":1,"slots":2})"), std::string(100'000, ' '),
        std::string(1000, '[') + std::string(1000, ']'));
    CHECK_FALSE(ok(parse_announcement(text)));
}

TEST_CASE("headers for one connection are dropped")
{
    auto const kept = end_to_end_headers(
        {{"Connection", "close, X-Hop"},
         {"x-hop", "1"},
         {"transfer-encoding", "chunked"},
         {"Content-Length", "3"},
         {"Host", "a"},
         {"X-Test-Key", "k"}});
    REQUIRE(kept.size() == 1);
    CHECK(kept[0].name == "X-Test-Key");
}

TEST_CASE("a request is forwarded whole and the answer comes back")
{
    served_endpoint peer;
    peer.on_request = [&](exchange_id id, http_request const& request) {
        auto const* key = find_header(request.headers, "X-Test-Key");
        peer.server.respond(
            id, {201, {{"X-Seen", key != nullptr ? *key : ""}}, request.body});
    };
    upstream_client client(peer.loop, peer.where, 4, 5s);
    std::optional<result<http_response>> got;
    client.forward(
        {"POST", "/weigh-in", {{"X-Test-Key", "k1"}}, "42 kg"},
        [&](auto answer) {
            got = std::move(answer);
            peer.loop.stop();
        });
    peer.loop.run();
    REQUIRE(got.has_value());
    REQUIRE(ok(*got));
    CHECK(value(*got).status == 201);
    CHECK(value(*got).body == "42 kg");
    CHECK(*find_header(value(*got).headers, "X-Seen") == "k1");
}

TEST_CASE("no more requests are forwarded than there are connections")
{
    served_endpoint peer;
    std::vector<exchange_id> held;
    peer.on_request = [&](exchange_id id, http_request const&) {
        held.push_back(id);
        if (held.size() == 2)
            peer.loop.stop();
    };
    upstream_client client(peer.loop, peer.where, 2, 5s);
    std::vector<result<http_response>> got;
    for (int count = 0; count < 3; ++count)
        client.forward({}, [&](auto answer) { got.push_back(answer); });
    REQUIRE(got.size() == 1);
    CHECK(failure(got[0]).effect == outcome::not_run);
    CHECK(client.in_flight() == 2);
    peer.loop.run();
    CHECK(held.size() == 2);
}

TEST_CASE("an answer that never comes is unknown")
{
    served_endpoint peer;
    peer.on_request = [](exchange_id, http_request const&) {
    };
    upstream_client client(peer.loop, peer.where, 1, 100ms);
    std::optional<result<http_response>> got;
    client.forward({"POST", "/", {}, "x"}, [&](auto answer) {
        got = std::move(answer);
        peer.loop.stop();
    });
    peer.loop.run();
    REQUIRE(got.has_value());
    CHECK(failure(*got).effect == outcome::unknown);
    CHECK(client.in_flight() == 0);
}
