/// The row scheduler: shares between rows and callers, order by deadline, and
/// full queues.
#include "libsycamorespar/row_scheduler.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

struct scheduler_fixture
{
    monotonic_time const start{};
    row_scheduler scheduler;
    std::uint64_t last = 0;

    explicit scheduler_fixture(std::uint32_t limit = 10'000)
    {
        table_policy policy;
        for (auto const& [name, weight] :
             {std::pair("a", 3.0), std::pair("b", 1.0)}) {
            row_policy row;
            row.id = row_id(name);
            row.weight = weight;
            row.queue_limit = limit;
            policy.rows[row.id] = row;
        }
        scheduler.adopt_table(policy);
    }

    std::optional<waiting_request>
    push(char const* row, char const* caller, duration wait = 1s)
    {
        request_id const id{incarnation(1), ++last};
        return scheduler.push({id, row_id(row), caller, start + wait});
    }

    std::vector<waiting_request> take(std::size_t count)
    {
        std::vector<waiting_request> taken;
        scheduler.dispatch(
            [&](waiting_request const& next) {
                if (taken.size() == count)
                    return offer_result::blocked;
                taken.push_back(next);
                return offer_result::sent;
            },
            start);
        return taken;
    }
};

template<class Predicate>
long count_if(std::vector<waiting_request> const& requests, Predicate holds)
{
    return std::count_if(requests.begin(), requests.end(), holds);
}

} // namespace

TEST_CASE("backlogged rows share by weight")
{
    scheduler_fixture fixture;
    for (int count = 0; count < 500; ++count) {
        fixture.push("a", "x");
        fixture.push("b", "x");
    }
    auto const taken = fixture.take(400);
    auto const of_a =
        count_if(taken, [](auto const& each) { return each.row.value == "a"; });
    CHECK(of_a >= 299);
    CHECK(of_a <= 301);
}

TEST_CASE("a row is charged by the latency of its requests")
{
    scheduler_fixture fixture;
    fixture.scheduler.set_cost(row_id("a"), 30ms);
    fixture.scheduler.set_cost(row_id("b"), 10ms);
    for (int count = 0; count < 500; ++count) {
        fixture.push("a", "x");
        fixture.push("b", "x");
    }
    auto const taken = fixture.take(400);
    auto const of_a =
        count_if(taken, [](auto const& each) { return each.row.value == "a"; });
    CHECK(of_a >= 199);
    CHECK(of_a <= 201);
}

TEST_CASE("a burst of one caller does not delay another caller of the row")
{
    scheduler_fixture fixture;
    for (int count = 0; count < 1000; ++count)
        fixture.push("a", "wave");
    fixture.take(100);
    fixture.push("a", "other");
    auto const next = fixture.take(2);
    CHECK(count_if(next, [](auto const& each) {
              return each.caller == "other";
          }) == 1);
}

TEST_CASE("an idle row earns no credit")
{
    scheduler_fixture fixture;
    for (int count = 0; count < 1000; ++count)
        fixture.push("a", "x");
    fixture.take(600);
    for (int count = 0; count < 1000; ++count)
        fixture.push("b", "x");
    auto const taken = fixture.take(40);
    auto const of_b =
        count_if(taken, [](auto const& each) { return each.row.value == "b"; });
    CHECK(of_b >= 9);
    CHECK(of_b <= 11);
}

TEST_CASE("the requests of one caller are sent in order of their deadlines")
{
    scheduler_fixture fixture;
    fixture.push("a", "x", 3s);
    fixture.push("a", "x", 1s);
    fixture.push("a", "x", 2s);
    auto const taken = fixture.take(3);
    CHECK(taken.at(0).deadline == fixture.start + 1s);
    CHECK(taken.at(2).deadline == fixture.start + 3s);
}

TEST_CASE("a full queue evicts from the caller with the most requests")
{
    scheduler_fixture fixture(10);
    for (int count = 0; count < 10; ++count)
        CHECK_FALSE(fixture.push("a", "wave").has_value());
    auto const evicted = fixture.push("a", "other");
    REQUIRE(evicted.has_value());
    CHECK(evicted->caller == "wave");
    CHECK(fixture.scheduler.size(row_id("a")) == 10);
}

TEST_CASE("a blocked row does not block the others")
{
    scheduler_fixture fixture;
    fixture.push("a", "x");
    fixture.push("b", "x");
    std::vector<std::string> sent;
    fixture.scheduler.dispatch(
        [&](waiting_request const& next) {
            if (next.row.value == "a")
                return offer_result::blocked;
            sent.push_back(next.row.value);
            return offer_result::sent;
        },
        fixture.start);
    CHECK(sent == std::vector<std::string>{"b"});
}

TEST_CASE("every queued request is sent, dropped or erased exactly once")
{
    setenv("RC_PARAMS", "seed=1", 1);
    bool const holds = rc::check([](std::vector<std::uint8_t> const& steps) {
        scheduler_fixture fixture(20);
        std::size_t pushed = 0;
        std::size_t left = 0;
        for (auto const step : steps) {
            char const* row = (step & 1U) != 0 ? "a" : "b";
            char const* caller = (step & 2U) != 0 ? "x" : "y";
            if (step % 5 == 0)
                left += fixture.take(step / 32).size();
            ++pushed;
            if (fixture.push(row, caller, std::chrono::milliseconds(step)))
                ++left;
            if (step % 7 == 0) {
                auto const before = fixture.scheduler.size();
                fixture.scheduler.erase({incarnation(1), step});
                left += before - fixture.scheduler.size();
            }
        }
        RC_ASSERT(fixture.scheduler.size() == pushed - left);
        auto const rest = fixture.take(10'000).size();
        RC_ASSERT(rest == pushed - left);
        RC_ASSERT(fixture.scheduler.size() == 0U);
    });
    CHECK(holds);
}
