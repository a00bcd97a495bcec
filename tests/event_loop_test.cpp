/// Tests of the event loop: work that waits until nothing else is ready.
#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/http_server.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds test_bound{20};

/// A server with a loop and thread of its own, as the store has.
class remote_server
{
public:
    explicit remote_server(std::string body)
        : server_(
              loop_, {},
              [this,
               body = std::move(body)](exchange_id id, http_request const&) {
                  server_.respond(id, {200, {}, body});
              }),
          where_(take(server_.listen({"127.0.0.1", 0}))),
          thread_([this] { loop_.run(); })
    {}

    ~remote_server()
    {
        loop_.stop();
        thread_.join();
    }
    remote_server(remote_server const&) = delete;
    remote_server& operator=(remote_server const&) = delete;

    endpoint const& where() const { return where_; }

private:
    event_loop loop_;
    http_server server_;
    endpoint where_;
    std::thread thread_;
};

/// Work of a fixed length that is due again as soon as it has been done.
class constant_work
{
public:
    constant_work(event_loop& loop, duration length, duration latest)
        : loop_(loop), length_(length), latest_(latest)
    {
        request();
    }

    int passes() const { return passes_; }

private:
    void request()
    {
        loop_.when_idle(latest_, [this] {
            ++passes_;
            std::this_thread::sleep_for(length_);
            request();
        });
    }

    event_loop& loop_;
    duration length_;
    duration latest_;
    int passes_ = 0;
};

} // namespace

// Guards against a leader that plans at each turn of its loop and therefore
// reads the store's answers too slowly to learn of cancellations in time.
TEST_CASE("a large answer arrives in time although long work is always due")
{
    // A full page of the store; a scheduler that needs all of its time to plan;
    // and the time in which a cancellation must have an effect.
    constexpr std::size_t page_bytes = 1024 * 1024;
    constexpr auto pass_length = 50ms;
    constexpr auto cancel_time = 3s;

    remote_server const store(std::string(page_bytes, 'x'));
    event_loop loop;
    constant_work const planning(loop, pass_length, pass_length);
    http_client_limits limits;
    limits.timeout = cancel_time;
    limits.idle = keep_alive_time;
    http_client client(loop, store.where(), limits);
    std::optional<result<http_response>> answer;
    client.call({"GET", "/", {}, {}}, [&](result<http_response> got) {
        answer = std::move(got);
        loop.stop();
    });
    loop.after(test_bound, [&] { loop.stop(); });
    loop.run();

    REQUIRE(answer.has_value());
    INFO("passes: " << planning.passes());
    if (!ok(*answer))
        FAIL(failure(*answer).reason);
    CHECK(value(*answer).body.size() == page_bytes);
}

TEST_CASE("idle work runs after all that is ready")
{
    event_loop loop;
    std::string order;
    loop.when_idle(test_bound, [&] {
        order += "idle";
        loop.stop();
    });
    std::function<void(int)> ready = [&](int left) {
        order += '.';
        if (left > 0)
            loop.after(0ms, [&ready, left] { ready(left - 1); });
    };
    loop.after(0ms, [&] { ready(2); });
    loop.run();
    CHECK(order == "...idle");
}

TEST_CASE("idle work runs once, and in time although the loop is never idle")
{
    constexpr auto latest = 100ms;
    event_loop loop;
    int runs = 0;
    int turns_before = 0;
    std::function<void()> keep_busy = [&] {
        turns_before += runs == 0 ? 1 : 0;
        loop.after(0ms, keep_busy);
    };
    keep_busy();
    loop.when_idle(latest, [&] { ++runs; });
    loop.after(latest * 3, [&] { loop.stop(); });
    loop.run();
    CHECK(runs == 1);
    CHECK(turns_before > 1);
}

TEST_CASE("cancelled idle work doesn't run")
{
    event_loop loop;
    bool has_run = false;
    auto const id = loop.when_idle(10ms, [&] { has_run = true; });
    loop.cancel(id);
    loop.after(50ms, [&] { loop.stop(); });
    loop.run();
    CHECK_FALSE(has_run);
}
