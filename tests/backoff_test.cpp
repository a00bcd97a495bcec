/// Exponential backoff with jitter: bounds, spread and reproducibility.
#include "libsycamorespar/backoff.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace sycamorespar;
using namespace std::chrono_literals;

TEST_CASE(
    "the ceiling doubles up to the longest delay and resets after a success")
{
    backoff delays({100ms, 1000ms}, 7);
    std::vector<duration> ceilings;
    for (int count = 0; count < 6; ++count) {
        ceilings.push_back(delays.ceiling());
        delays.next();
    }
    CHECK(
        ceilings ==
        std::vector<duration>{100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms});
    delays.reset();
    CHECK(delays.ceiling() == 100ms);
}

TEST_CASE("each delay is between zero and the ceiling, for any limits")
{
    CHECK(rc::check("bounds", [](std::uint64_t seed) {
        auto const first = *rc::gen::inRange<std::int64_t>(0, 1'000'000);
        auto const longest = *rc::gen::inRange<std::int64_t>(
            0, std::chrono::milliseconds::max().count() / 1'000'000);
        backoff delays(
            {std::chrono::milliseconds(first),
             std::chrono::milliseconds(longest)},
            seed);
        for (int count = 0; count < 80; ++count) {
            duration const bound = delays.ceiling();
            RC_ASSERT(bound <= duration(std::chrono::milliseconds(longest)));
            duration const delay = delays.next();
            RC_ASSERT(delay >= duration::zero());
            RC_ASSERT(delay <= bound);
        }
    }));
}

TEST_CASE("processes that fail together retry at uniformly spread times")
{
    constexpr int processes = 1000;
    constexpr int parts = 10;
    std::vector<int> counts(parts, 0);
    for (std::uint64_t seed = 1; seed <= processes; ++seed) {
        backoff delays({1000ms, 1000ms}, seed);
        auto const part = delays.next() / 100ms;
        counts[static_cast<std::size_t>(std::min<long>(part, parts - 1))] += 1;
    }
    // On average 100 of 1,000 draws fall into each part, with a standard
    // deviation of 9.5.
    CHECK(*std::min_element(counts.begin(), counts.end()) > 60);
    CHECK(*std::max_element(counts.begin(), counts.end()) < 140);
}

TEST_CASE("the same seed gives the same delays")
{
    backoff one({100ms, 1000ms}, 42);
    backoff two({100ms, 1000ms}, 42);
    for (int count = 0; count < 10; ++count)
        CHECK(one.next() == two.next());
}
