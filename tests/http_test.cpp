/// Tests of the HTTP client with our own server: responses, limits, failures.
#include "common/http_client.hpp"
#include "common/http_server.hpp"

#include <catch2/catch.hpp>
#include <optional>

using namespace sycamorespar;

namespace {

constexpr std::chrono::seconds test_bound{20};

/// A server that echoes bodies and a client that calls it.
struct echo_pair
{
    event_loop loop;
    http_server server;
    endpoint where;
    std::optional<result<http_response>> answer;

    explicit echo_pair(http_server_limits const& limits = {})
        : server(
              loop, limits,
              [this](exchange_id id, http_request const& request) {
                  server.respond(id, {200, {}, request.body});
              })
    {
        where = take(server.listen({"127.0.0.1", 0}));
        loop.after(test_bound, [this] { loop.stop(); });
    }

    void call(http_client& client, http_request const& request)
    {
        client.call(request, [this](result<http_response> got) {
            answer = std::move(got);
            loop.stop();
        });
        loop.run();
    }
};

} // namespace

TEST_CASE("a response carries the whole body")
{
    echo_pair pair;
    http_client client(pair.loop, pair.where, {});
    std::string const body(100'000, 'x');
    pair.call(client, {"POST", "/echo", {}, body});
    REQUIRE(pair.answer.has_value());
    REQUIRE(ok(*pair.answer));
    CHECK(value(*pair.answer).body == body);
}

TEST_CASE("a refused connection is reported as not run")
{
    echo_pair pair;
    pair.server.stop_accepting();
    http_client client(pair.loop, pair.where, {});
    pair.call(client, {"POST", "/echo", {}, "x"});
    REQUIRE(pair.answer.has_value());
    REQUIRE_FALSE(ok(*pair.answer));
    CHECK(failure(*pair.answer).effect == outcome::not_run);
    CHECK(failure(*pair.answer).step == "http.connect");
}

TEST_CASE("the server rejects a body over the limit")
{
    http_server_limits limits;
    limits.max_body_bytes = 10;
    echo_pair pair(limits);
    http_client client(pair.loop, pair.where, {});
    pair.call(client, {"POST", "/echo", {}, std::string(1000, 'x')});
    REQUIRE(pair.answer.has_value());
    if (ok(*pair.answer))
        CHECK(value(*pair.answer).status == 413);
    else
        CHECK(failure(*pair.answer).effect == outcome::unknown);
}
