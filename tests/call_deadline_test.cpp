/// Tests of the deadline of calls, in virtual time.
#include "common/call_deadline.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

constexpr call_deadline_limits limits{2500ms, 1000ms, 20'000ms};
constexpr monotonic_time begun_at{1h};

} // namespace

TEST_CASE("a call without an answer fails after the limit of silence")
{
    call_deadline const deadline(limits, begun_at);
    CHECK(deadline.at() == begun_at + limits.silence);
    CHECK(deadline.reason() == std::string("no answer in time"));
}

// A byte that came right after the call had begun used to grant a whole
// further timeout at the first deadline.
TEST_CASE("an answer that stops fails after the limit of pauses")
{
    call_deadline deadline(limits, begun_at);
    deadline.on_received(begun_at + 1ms);
    CHECK(deadline.at() == begun_at + 1ms + limits.pause);
    CHECK(
        deadline.reason() == std::string("the answer stopped before its end"));
}

TEST_CASE("a request that stops fails after the limit of silence")
{
    call_deadline deadline(limits, begun_at);
    deadline.on_part_sent(begun_at + 700ms);
    CHECK(deadline.at() == begun_at + 700ms + limits.silence);
    CHECK(deadline.reason() == std::string("no answer in time"));
}

TEST_CASE("a call whose bytes keep moving fails at the end of its total time")
{
    call_deadline deadline(limits, begun_at);
    for (auto now = begun_at; now < begun_at + limits.total; now += 900ms)
        deadline.on_received(now);
    CHECK(deadline.at() == begun_at + limits.total);
    CHECK(deadline.reason() == std::string("no whole answer in time"));
}

TEST_CASE("a silent connection is noticed equally soon at any moment of a call")
{
    CHECK(rc::check("deadline", [](std::vector<std::uint16_t> const& gaps) {
        call_deadline deadline(limits, begun_at);
        auto now = begun_at;
        for (auto const gap : gaps) {
            now += std::chrono::milliseconds(gap % limits.pause.count());
            deadline.on_received(now);
        }
        auto const allowed = gaps.empty() ? limits.silence : limits.pause;
        RC_ASSERT(
            deadline.at() == std::min(now + allowed, begun_at + limits.total));
    }));
}
