/// Tests of the HTTP client and server with peers that disconnect, violate the
/// protocol or stall. The peers are scripted over plain sockets.
#include "common/http_client.hpp"
#include "common/http_server.hpp"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace sycamorespar;

namespace {

// Only ends a test that hangs; no result depends on it.
constexpr std::chrono::seconds test_bound{20};

std::string answer_with(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// The reaction of a scripted peer to a request.
struct reaction
{
    std::string bytes;
    bool close = false;
};

/// Counts requests and connections; a script decides each reaction.
class scripted_peer
{
public:
    using script = std::function<reaction(int request_number)>;

    scripted_peer(event_loop& loop, script reactions)
        : base_(loop.base()), script_(std::move(reactions))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(
            base_, &scripted_peer::on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
            reinterpret_cast<sockaddr*>(&address), sizeof address);
        REQUIRE(listener_ != nullptr);
        socklen_t length = sizeof address;
        getsockname(
            evconnlistener_get_fd(listener_),
            reinterpret_cast<sockaddr*>(&address), &length);
        where = {"127.0.0.1", ntohs(address.sin_port)};
    }

    ~scripted_peer()
    {
        evconnlistener_free(listener_);
        for (auto* each : streams_)
            bufferevent_free(each);
    }
    scripted_peer(scripted_peer const&) = delete;
    scripted_peer& operator=(scripted_peer const&) = delete;

    /// Sends unsolicited bytes on all connections.
    void send_all(std::string const& bytes)
    {
        for (auto* each : streams_)
            bufferevent_write(each, bytes.data(), bytes.size());
    }

    endpoint where;
    /// False if new connections are accepted but never read.
    bool reads = true;
    int connections = 0;
    int requests = 0;

private:
    static void on_accept(
        evconnlistener*, evutil_socket_t descriptor, sockaddr*, int,
        void* argument)
    {
        auto* self = static_cast<scripted_peer*>(argument);
        self->connections += 1;
        auto* stream = bufferevent_socket_new(
            self->base_, descriptor, BEV_OPT_CLOSE_ON_FREE);
        self->streams_.insert(stream);
        bufferevent_setcb(
            stream, &scripted_peer::on_bytes, &scripted_peer::on_sent,
            &scripted_peer::on_event, self);
        bufferevent_enable(stream, self->reads ? EV_READ | EV_WRITE : EV_WRITE);
    }

    static void on_bytes(bufferevent* stream, void* argument)
    {
        auto* self = static_cast<scripted_peer*>(argument);
        auto* input = bufferevent_get_input(stream);
        auto const end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
        if (end.pos < 0)
            return;
        evbuffer_drain(input, evbuffer_get_length(input));
        self->requests += 1;
        reaction const chosen = self->script_(self->requests);
        bufferevent_write(stream, chosen.bytes.data(), chosen.bytes.size());
        if (chosen.close)
            self->closing_.insert(stream);
        if (chosen.close && chosen.bytes.empty())
            self->drop(stream);
    }

    static void on_sent(bufferevent* stream, void* argument)
    {
        auto* self = static_cast<scripted_peer*>(argument);
        if (self->closing_.contains(stream))
            self->drop(stream);
    }

    static void on_event(bufferevent* stream, short what, void* argument)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<scripted_peer*>(argument)->drop(stream);
    }

    void drop(bufferevent* stream)
    {
        closing_.erase(stream);
        streams_.erase(stream);
        bufferevent_free(stream);
    }

    event_base* base_;
    script script_;
    evconnlistener* listener_ = nullptr;
    std::set<bufferevent*> streams_;
    std::set<bufferevent*> closing_;
};

/// A scripted peer and a client that calls it.
struct scripted_pair
{
    event_loop loop;
    scripted_peer peer;
    http_client client;

    explicit scripted_pair(
        scripted_peer::script reactions, http_client_limits const& limits = {})
        : peer(loop, std::move(reactions)), client(loop, peer.where, limits)
    {}

    result<http_response> call(http_request const& request)
    {
        std::optional<result<http_response>> got;
        auto const bound = loop.after(test_bound, [this] { loop.stop(); });
        client.call(request, [&](result<http_response> answer) {
            got = std::move(answer);
            loop.stop();
        });
        loop.run();
        loop.cancel(bound);
        REQUIRE(got.has_value());
        return std::move(*got);
    }

    void run_for(duration span)
    {
        loop.after(span, [this] { loop.stop(); });
        loop.run();
    }
};

http_request const start{"POST", "/start", {}, "work"};

outcome effect_of(result<http_response> const& got)
{
    REQUIRE_FALSE(ok(got));
    return failure(got).effect;
}

} // namespace

TEST_CASE("a call is not retried if a reused connection closes unanswered")
{
    scripted_pair pair([](int number) {
        return number == 1 ? reaction{answer_with("ok")} : reaction{"", true};
    });
    REQUIRE(ok(pair.call(start)));
    CHECK(effect_of(pair.call(start)) == outcome::unknown);
    CHECK(pair.peer.requests == 2);
    CHECK(pair.peer.connections == 1);
}

TEST_CASE("a call is not retried if a new connection closes unanswered")
{
    scripted_pair pair([](int) { return reaction{"", true}; });
    CHECK(effect_of(pair.call(start)) == outcome::unknown);
    pair.run_for(std::chrono::milliseconds(50));
    CHECK(pair.peer.requests == 1);
}

TEST_CASE("a truncated response is an error, never a short success")
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (auto const& cut :
         {head, head + "Content-Length: 100\r\n\r\n",
          head + "Content-Length: 100\r\n\r\nten bytes.", chunked,
          chunked + "5\r\nhel", chunked + "5\r\nhello\r\n",
          chunked + "5\r\nhello\r\n0\r\n", head + "\r\nno length",
          std::string("HTTP/1.0 200 OK\r\n\r\nno length")}) {
        scripted_pair pair([&cut](int) { return reaction{cut, true}; });
        INFO(cut);
        CHECK(effect_of(pair.call(start)) == outcome::unknown);
        CHECK(pair.peer.requests == 1);
    }
}

TEST_CASE("complete responses of every form are accepted")
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    auto const whole = GENERATE_COPY(
        answer_with("hello"),
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + answer_with("hello"));
    scripted_pair pair([&whole](int) { return reaction{whole}; });
    auto const got = pair.call(start);
    REQUIRE(ok(got));
    CHECK(value(got).body == "hello");
}

TEST_CASE("bytes after a response are not parsed as the next response")
{
    scripted_pair pair([](int number) {
        if (number == 1)
            return reaction{answer_with("first") + answer_with("stray")};
        return reaction{answer_with("second")};
    });
    auto const first = pair.call(start);
    REQUIRE(ok(first));
    CHECK(value(first).body == "first");
    auto const second = pair.call(start);
    REQUIRE(ok(second));
    CHECK(value(second).body == "second");
}

TEST_CASE("an unsolicited response on an idle connection is ignored")
{
    scripted_pair pair([](int number) {
        return reaction{answer_with(std::to_string(number))};
    });
    REQUIRE(ok(pair.call(start)));
    pair.peer.send_all(answer_with("stray"));
    pair.run_for(std::chrono::milliseconds(50));
    auto const second = pair.call(start);
    REQUIRE(ok(second));
    CHECK(value(second).body == "2");
}

TEST_CASE("a peer may close its connection between calls")
{
    // The second call starts before the client can notice the close.
    scripted_pair pair([](int) { return reaction{answer_with("ok"), true}; });
    std::optional<result<http_response>> second;
    pair.client.call(start, [&](result<http_response> const& first) {
        CHECK(ok(first));
        pair.client.call(start, [&](result<http_response> got) {
            second = std::move(got);
            pair.loop.stop();
        });
    });
    pair.loop.run();
    REQUIRE(second.has_value());
    if (!ok(*second))
        CHECK(failure(*second).effect == outcome::unknown);
    CHECK(pair.peer.requests <= 2);

    // By now the client has noticed the close and opens a new connection.
    pair.run_for(std::chrono::milliseconds(50));
    int const before = pair.peer.requests;
    CHECK(ok(pair.call(start)));
    CHECK(pair.peer.requests == before + 1);
}

TEST_CASE("a peer that sends byte by byte can't stall a call forever")
{
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(100);
    scripted_pair pair(
        [](int) {
            return reaction{"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"};
        },
        limits);
    pair.loop.every(
        std::chrono::milliseconds(10), [&] { pair.peer.send_all("x"); });
    auto const got = pair.call(start);
    CHECK(effect_of(got) == outcome::unknown);
    CHECK(pair.client.in_flight() == 0);
}

// After a loss of power runners followed the last leader, whose machine was
// still off, and waited for a whole timeout before they looked for another.
TEST_CASE("a call to a machine that accepts no connection is soon not run")
{
    event_loop loop;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int const listener = socket(AF_INET, SOCK_STREAM, 0);
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(listener, raw, sizeof address) == 0);
    REQUIRE(listen(listener, 0) == 0);
    socklen_t length = sizeof address;
    getsockname(listener, raw, &length);
    // Once the queue of new connections is full, attempts are not answered.
    std::vector<int> queued;
    for (int each = 0; each < 4; ++each) {
        queued.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        static_cast<void>(connect(queued.back(), raw, sizeof address));
    }
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(19'000);
    limits.idle = std::chrono::milliseconds(30'000);
    limits.connect_timeout = std::chrono::milliseconds(50);
    http_client client(loop, {"127.0.0.1", ntohs(address.sin_port)}, limits);
    std::optional<result<http_response>> got;
    auto const bound = loop.after(test_bound, [&] { loop.stop(); });
    client.call(start, [&](result<http_response> answer) {
        got = std::move(answer);
        loop.stop();
    });
    auto const begun = event_loop::now();
    loop.run();
    loop.cancel(bound);
    CHECK(event_loop::now() - begun < limits.timeout / 2);
    REQUIRE(got.has_value());
    CHECK(effect_of(*got) == outcome::not_run);
    CHECK(client.in_flight() == 0);
    for (int const each : queued)
        close(each);
    close(listener);
}

// A listing that takes longer than the timeout over a slow link was thrown away
// and begun again, for ever: a new leader never read its records.
TEST_CASE("an answer that keeps coming over a slow link is read to its end")
{
    constexpr int body_bytes = 40;
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(100);
    limits.idle = std::chrono::milliseconds(30'000);
    limits.longest = std::chrono::milliseconds(10'000);
    scripted_pair pair(
        [](int) {
            return reaction{
                "HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body_bytes) + "\r\n\r\n"};
        },
        limits);
    int sent = 0;
    pair.loop.every(std::chrono::milliseconds(10), [&] {
        if (pair.peer.requests > 0 && sent++ < body_bytes)
            pair.peer.send_all("x");
    });
    auto const got = pair.call(start);
    REQUIRE(ok(got));
    CHECK(value(got).body == std::string(body_bytes, 'x'));
    CHECK(pair.peer.requests == 1);
}

TEST_CASE("an answer that stops coming ends its call within two timeouts")
{
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(100);
    limits.idle = std::chrono::milliseconds(30'000);
    limits.longest = std::chrono::milliseconds(20'000);
    scripted_pair pair(
        [](int) {
            return reaction{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"};
        },
        limits);
    auto const begun = event_loop::now();
    CHECK(effect_of(pair.call(start)) == outcome::unknown);
    // Far below the longest time of a call, however busy the machine is.
    CHECK(event_loop::now() - begun < limits.longest / 2);
}

// A call was given another timeout if its answer had begun since the last look,
// however long ago that was.
TEST_CASE("the timeout counts from the last byte of an answer that stops")
{
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(2000);
    limits.idle = std::chrono::milliseconds(30'000);
    limits.longest = std::chrono::milliseconds(20'000);
    scripted_pair pair(
        [](int) {
            return reaction{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"};
        },
        limits);
    auto const begun = event_loop::now();
    auto const got = pair.call(start);
    CHECK(event_loop::now() - begun < 2 * limits.timeout);
    CHECK(effect_of(got) == outcome::unknown);
    CHECK(failure(got).reason == "the answer stopped before its end");
    CHECK(pair.client.in_flight() == 0);
}

// The request goes into the buffers of the system in part; the peer reads none.
TEST_CASE("the timeout counts from the last byte of a request that stops")
{
    constexpr std::size_t body_bytes = 64 * 1024 * 1024;
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(2000);
    limits.idle = std::chrono::milliseconds(30'000);
    limits.longest = std::chrono::milliseconds(20'000);
    scripted_pair pair([](int) { return reaction{}; }, limits);
    pair.peer.reads = false;
    auto const begun = event_loop::now();
    auto const got =
        pair.call({"POST", "/start", {}, std::string(body_bytes, 'x')});
    CHECK(event_loop::now() - begun < 2 * limits.timeout);
    CHECK(effect_of(got) == outcome::unknown);
    CHECK(failure(got).reason == "no answer in time");
}

TEST_CASE("a long poll whose answer stops ends well before its timeout")
{
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(15'000);
    limits.idle = std::chrono::milliseconds(30'000);
    limits.longest = std::chrono::milliseconds(40'000);
    limits.max_pause = std::chrono::milliseconds(100);
    scripted_pair pair([](int) { return reaction{"HTTP/1.1 2"}; }, limits);
    auto const begun = event_loop::now();
    CHECK(effect_of(pair.call(start)) == outcome::unknown);
    CHECK(event_loop::now() - begun < limits.timeout / 2);
    CHECK(pair.peer.requests == 1);
}

TEST_CASE("an answer to a long poll may begin later than it may pause")
{
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(15'000);
    limits.idle = std::chrono::milliseconds(30'000);
    limits.longest = std::chrono::milliseconds(40'000);
    limits.max_pause = std::chrono::milliseconds(50);
    scripted_pair pair([](int) { return reaction{}; }, limits);
    pair.loop.after(std::chrono::milliseconds(300), [&] {
        pair.peer.send_all(answer_with("late"));
    });
    auto const got = pair.call(start);
    REQUIRE(ok(got));
    CHECK(value(got).body == "late");
}

TEST_CASE("a call that times out in the queue is reported as not run")
{
    http_client_limits limits;
    limits.timeout = std::chrono::milliseconds(100);
    limits.max_connections = 1;
    limits.max_waiting = 1;
    scripted_pair pair([](int) { return reaction{}; }, limits);
    std::vector<error> errors;
    auto const record_error = [&](result<http_response> const& got) {
        REQUIRE_FALSE(ok(got));
        errors.push_back(failure(got));
        if (errors.size() == 3)
            pair.loop.stop();
    };
    for (int count = 0; count < 3; ++count)
        pair.client.call(start, record_error);
    CHECK(errors.empty());
    pair.loop.after(test_bound, [&] { pair.loop.stop(); });
    pair.loop.run();
    REQUIRE(errors.size() == 3);
    CHECK(errors[0].step == "http.queue");
    CHECK(errors[0].effect == outcome::not_run);
    CHECK(errors[1].effect == outcome::unknown);
    CHECK(pair.peer.requests <= 2);
}

TEST_CASE("requests that evhttp would alter are rejected")
{
    scripted_pair pair([](int) { return reaction{answer_with("ok")}; });
    for (auto const& bad :
         {http_request{"GET", "/a b", {}, ""},
          http_request{"GET", "/\r\nX: y", {}, ""},
          http_request{"GET", "", {}, ""},
          http_request{"GET", "/", {{"X", "a\r\nY: b"}}, ""},
          http_request{"GET", "/", {{"X y", "a"}}, ""},
          http_request{"GET", "/", {{"", "a"}}, ""}})
        CHECK(effect_of(pair.call(bad)) == outcome::not_run);
    CHECK(pair.peer.requests == 0);
    http_client named(pair.loop, {"localhost", pair.peer.where.port}, {});
    std::optional<result<http_response>> got;
    named.call(start, [&](result<http_response> answer) {
        got = std::move(answer);
        pair.loop.stop();
    });
    pair.loop.run();
    REQUIRE(got.has_value());
    CHECK(effect_of(*got) == outcome::not_run);
}

TEST_CASE("responses over the limits are errors")
{
    http_client_limits limits;
    limits.max_header_bytes = 200;
    limits.max_body_bytes = 100;
    auto const large = GENERATE(
        answer_with(std::string(101, 'x')),
        "HTTP/1.1 200 OK\r\nX: " + std::string(300, 'x') + "\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
            std::string(101, 'x') + "\r\n0\r\n\r\n");
    scripted_pair pair([&large](int) { return reaction{large}; }, limits);
    CHECK(effect_of(pair.call(start)) == outcome::unknown);
}

TEST_CASE("a client may call from its callback and be destroyed in it")
{
    event_loop loop;
    scripted_peer peer(loop, [](int number) {
        return number < 3 ? reaction{answer_with("ok")} : reaction{"", true};
    });
    auto client =
        std::make_unique<http_client>(loop, peer.where, http_client_limits{});
    int answers = 0;
    std::function<void(result<http_response> const&)> next =
        [&](result<http_response> const& got) {
            answers += 1;
            if (ok(got)) {
                client->call(start, next);
                return;
            }
            client.reset();
            loop.stop();
        };
    client->call(start, next);
    loop.run();
    CHECK(answers == 3);
    CHECK(client == nullptr);
}

TEST_CASE("a client may be destroyed in the callback of a refused connection")
{
    event_loop loop;
    endpoint where;
    {
        scripted_peer gone(loop, [](int) { return reaction{}; });
        where = gone.where;
    }
    auto client =
        std::make_unique<http_client>(loop, where, http_client_limits{});
    int answers = 0;
    for (int count = 0; count < 5; ++count)
        client->call(start, [&](result<http_response> const& got) {
            answers += 1;
            CHECK(failure(got).effect == outcome::not_run);
            client.reset();
            loop.stop();
        });
    loop.run();
    CHECK(answers == 1);
}

TEST_CASE(
    "callbacks of calls in flight don't run after the client's destruction")
{
    event_loop loop;
    scripted_peer peer(loop, [](int) { return reaction{}; });
    {
        http_client_limits limits;
        limits.max_connections = 2;
        http_client client(loop, peer.where, limits);
        for (int count = 0; count < 5; ++count)
            client.call(start, [](auto const&) { FAIL("answered"); });
        loop.after(std::chrono::milliseconds(50), [&] { loop.stop(); });
        loop.run();
    }
    loop.after(std::chrono::milliseconds(50), [&] { loop.stop(); });
    loop.run();
    CHECK(peer.requests <= 2);
}

TEST_CASE("a server rejects headers over its limit without calling its handler")
{
    event_loop loop;
    http_server_limits limits;
    limits.max_header_bytes = 500;
    int heard = 0;
    http_server server(loop, limits, [&](exchange_id id, auto const&) {
        heard += 1;
        server.respond(id, {});
    });
    http_client client(loop, take(server.listen({"127.0.0.1", 0})), {});
    http_request const large{"GET", "/", {{"X", std::string(600, 'x')}}, ""};
    std::optional<result<http_response>> got;
    client.call(large, [&](result<http_response> answer) {
        got = std::move(answer);
        loop.stop();
    });
    loop.run();
    CHECK(heard == 0);
    REQUIRE(got.has_value());
    bool const refused = !ok(*got) || value(*got).status >= 400;
    CHECK(refused);
}
