/// The token bucket: burst, rate and waiting times.
#include "libsycamorespar/rate_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

monotonic_time const start{1h};

} // namespace

TEST_CASE("a full burst is allowed at once, then calls at the rate")
{
    rate_budget budget({10, 3}, start);
    for (int count = 0; count < 3; ++count)
        CHECK(budget.take(start));
    CHECK_FALSE(budget.take(start));
    CHECK(budget.wait(start) == 100ms);
    CHECK_FALSE(budget.take(start + 99ms));
    CHECK(budget.take(start + 100ms));
    CHECK_FALSE(budget.take(start + 100ms));
}

TEST_CASE("a long pause allows no more than the burst")
{
    rate_budget budget({10, 2}, start);
    auto const later = start + 24h;
    CHECK(budget.take(later));
    CHECK(budget.take(later));
    CHECK_FALSE(budget.take(later));
}

TEST_CASE("no time span has more calls than burst and rate allow")
{
    CHECK(rc::check("bound", [] {
        auto const rate = *rc::gen::inRange<std::int64_t>(1, 5000);
        auto const burst = *rc::gen::inRange<std::int64_t>(1, 50);
        auto const steps = *rc::gen::container<std::vector<int>>(
            400, rc::gen::inRange(0, 20'000));
        rate_budget budget({rate, burst}, start);
        monotonic_time now = start;
        std::vector<monotonic_time> taken;
        for (int const step : steps) {
            now += std::chrono::microseconds(step);
            if (budget.take(now))
                taken.push_back(now);
        }
        for (std::size_t first = 0; first < taken.size(); ++first) {
            auto const calls = static_cast<std::int64_t>(taken.size() - first);
            auto const earned =
                (now - taken[first]).count() * rate / duration(1s).count();
            RC_ASSERT(calls <= burst + earned + 1);
        }
    }));
}

TEST_CASE("a call is available after the returned waiting time")
{
    CHECK(rc::check("wait", [] {
        auto const rate = *rc::gen::inRange<std::int64_t>(1, 5000);
        rate_budget budget({rate, 1}, start);
        monotonic_time now = start;
        for (int count = 0; count < 50; ++count) {
            RC_ASSERT(budget.take(now));
            RC_ASSERT(budget.wait(now) > duration::zero());
            now += budget.wait(now);
        }
    }));
}
