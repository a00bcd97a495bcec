/// The router: one copy of work that is not repeatable, "not run" only with
/// proof, shares by weight, and upstreams picked by load and latency.
#include "libsycamorespar/request_router.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

row_policy service_row(char const* name, double weight = 1.0)
{
    row_policy row;
    row.id = row_id(name);
    row.weight = weight;
    row.queue_limit = 100;
    return row;
}

table_policy table_of(std::vector<row_policy> const& rows)
{
    table_policy policy;
    policy.revision = table_revision(1);
    policy.domains = {failure_domain_id("reghin"), failure_domain_id("tulcea")};
    for (row_policy const& row : rows)
        policy.rows[row.id] = row;
    return policy;
}

/// A router with the actions of its last tick.
struct router_fixture
{
    monotonic_time const start{};
    request_router router;
    std::vector<send_request_action> sent;
    std::vector<reject_request_action> rejected;

    explicit router_fixture(router_settings settings = {})
        : router([&settings] {
              settings.entry = incarnation(1);
              settings.picker.domain = failure_domain_id("reghin");
              return settings;
          }())
    {
        router.adopt_table(table_of(
            {service_row("check"), service_row("bulk"),
             service_row("light", 4.0)}));
    }

    void add_agent(
        char const* worker, std::uint32_t slots, bool leaving = false,
        char const* domain = "reghin")
    {
        agent_report report;
        report.worker = worker_id(worker);
        report.domain = failure_domain_id(domain);
        report.leaving = leaving;
        report.upstreams = {
            {"u",
             {row_id("check"), row_id("bulk"), row_id("light")},
             slots,
             0}};
        router.on_agent(report, start);
    }

    request_id submit(
        char const* row, bool repeatable, duration wait = 1s,
        char const* caller = "c")
    {
        request_id const id = router.next_id();
        router.submit(
            {id, row_id(row), caller, repeatable, start + wait}, start);
        return id;
    }

    void tick(duration after = {})
    {
        sent.clear();
        rejected.clear();
        for (router_action const& action : router.tick(start + after)) {
            if (auto const* copy = std::get_if<send_request_action>(&action))
                sent.push_back(*copy);
            else
                rejected.push_back(std::get<reject_request_action>(action));
        }
    }
};

} // namespace

TEST_CASE("a copy that may have run makes the outcome unknown")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    auto const id = fixture.submit("check", true);
    fixture.tick();
    REQUIRE(fixture.sent.size() == 1);
    fixture.add_agent("w1", 8, true);
    fixture.router.on_unknown(id, "connection lost", fixture.start + 100ms);
    fixture.tick(100ms);
    REQUIRE(fixture.rejected.empty());
    fixture.tick(1s);
    REQUIRE(fixture.rejected.size() == 1);
    CHECK(fixture.rejected[0].effect == outcome::unknown);
}

TEST_CASE("a request queued past its deadline is rejected as not run")
{
    router_fixture fixture;
    fixture.submit("check", false);
    fixture.tick();
    CHECK(fixture.sent.empty());
    fixture.tick(1s);
    REQUIRE(fixture.rejected.size() == 1);
    CHECK(fixture.rejected[0].effect == outcome::not_run);
    CHECK(fixture.router.open_requests() == 0);
}

TEST_CASE(
    "work that is not repeatable isn't sent again after an unknown outcome")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    fixture.add_agent("w2", 8);
    auto const id = fixture.submit("check", false);
    fixture.tick();
    fixture.router.on_unknown(id, "connection lost", fixture.start);
    fixture.tick();
    CHECK(fixture.sent.empty());
    REQUIRE(fixture.rejected.size() == 1);
    CHECK(fixture.rejected[0].effect == outcome::unknown);
}

TEST_CASE("a refused copy is sent again under a new id, elsewhere if possible")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    fixture.add_agent("w2", 8);
    auto const id = fixture.submit("check", false);
    fixture.tick();
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent[0].sent_as == id);
    auto const first = fixture.sent[0];
    fixture.router.on_refused(
        first.sent_as, refusal::no_slot, "", fixture.start);
    fixture.tick();
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent[0].id == id);
    CHECK(fixture.sent[0].sent_as != first.sent_as);
    CHECK(fixture.sent[0].worker != first.worker);
    CHECK_FALSE(fixture.router.on_answer(first.sent_as, false, fixture.start));
    CHECK(
        fixture.router.on_answer(
            fixture.sent[0].sent_as, false, fixture.start) == id);
}

TEST_CASE("copies are limited, and a refusal of each one proves not run")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    fixture.submit("check", false);
    duration at{};
    for (std::uint32_t count = 0; count < router_settings{}.max_copies;
         ++count) {
        at += 10ms;
        fixture.tick(at);
        REQUIRE(fixture.sent.size() == 1);
        fixture.router.on_refused(
            fixture.sent[0].sent_as, refusal::no_slot, "", fixture.start + at);
    }
    fixture.tick(at);
    REQUIRE(fixture.rejected.size() == 1);
    CHECK(fixture.rejected[0].effect == outcome::not_run);
}

TEST_CASE("an agent whose domain is out isn't picked again at once")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    fixture.submit("check", false);
    fixture.tick();
    fixture.router.on_refused(
        fixture.sent.at(0).sent_as, refusal::domain_out, "", fixture.start);
    fixture.tick(100ms);
    CHECK(fixture.sent.empty());
    fixture.tick(300ms);
    CHECK(fixture.sent.size() == 1);
}

TEST_CASE("retries after unknown outcomes stop with the budget")
{
    router_settings settings;
    settings.retries = {0.0, 2.0};
    router_fixture fixture(settings);
    fixture.add_agent("w1", 8);
    fixture.submit("check", true);
    for (int count = 0; count < 3; ++count) {
        fixture.tick();
        REQUIRE(fixture.sent.size() == 1);
        fixture.router.on_unknown(
            fixture.sent[0].sent_as, "lost", fixture.start);
    }
    fixture.tick();
    REQUIRE(fixture.rejected.size() == 1);
    CHECK(fixture.rejected[0].effect == outcome::unknown);
    CHECK(fixture.router.counts().retried == 2);
}

TEST_CASE(
    "repeatable work without a timely answer is hedged once; one answer counts")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    fixture.add_agent("w2", 8);
    for (int count = 0; count < 200; ++count) {
        auto const id = fixture.submit("check", true);
        fixture.tick();
        fixture.router.on_answer(id, false, fixture.start + 10ms);
    }
    auto const id = fixture.submit("check", true);
    fixture.tick();
    auto const first = fixture.sent.at(0);
    fixture.tick(9ms);
    CHECK(fixture.sent.empty());
    fixture.tick(20ms);
    REQUIRE(fixture.sent.size() == 1);
    auto const hedge = fixture.sent[0];
    CHECK(hedge.worker != first.worker);
    fixture.tick(60ms);
    CHECK(fixture.sent.empty());
    CHECK(
        fixture.router.on_answer(hedge.sent_as, false, fixture.start + 60ms) ==
        id);
    CHECK_FALSE(
        fixture.router.on_answer(first.sent_as, false, fixture.start + 70ms));
    CHECK(fixture.router.counts().hedged == 1);
}

TEST_CASE("work that is not repeatable isn't hedged")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    fixture.add_agent("w2", 8);
    for (int count = 0; count < 200; ++count) {
        auto const id = fixture.submit("check", false);
        fixture.tick();
        fixture.router.on_answer(id, false, fixture.start + 10ms);
    }
    fixture.submit("check", false);
    fixture.tick();
    fixture.tick(500ms);
    CHECK(fixture.sent.empty());
}

TEST_CASE("a row with little in flight may use the reserved slots")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8);
    for (int count = 0; count < 20; ++count)
        fixture.submit("bulk", false);
    fixture.tick();
    CHECK(fixture.sent.size() == 7);
    fixture.submit("light", false);
    fixture.tick();
    REQUIRE(fixture.sent.size() == 1);
}

TEST_CASE("a failure domain that is out gets nothing")
{
    router_fixture fixture;
    fixture.add_agent("w1", 8, false, "tulcea");
    auto policy = table_of({service_row("check")});
    policy.revision = table_revision(2);
    policy.domains_out.insert(failure_domain_id("tulcea"));
    fixture.router.adopt_table(policy);
    fixture.submit("check", false);
    fixture.tick();
    CHECK(fixture.sent.empty());
}

TEST_CASE("a slow upstream gets less than a fast one")
{
    router_fixture fixture;
    fixture.add_agent("slow", 8);
    fixture.add_agent("fast", 8);
    int to_slow = 0;
    for (int count = 0; count < 1000; ++count) {
        auto const id = fixture.submit("check", false);
        fixture.tick();
        bool const is_slow = fixture.sent.at(0).worker == worker_id("slow");
        to_slow += is_slow ? 1 : 0;
        fixture.router.on_answer(
            id, false, fixture.start + (is_slow ? 50ms : 10ms));
    }
    CHECK(to_slow < 100);
}

TEST_CASE("an upstream that fails at once does not look fast")
{
    router_fixture fixture;
    fixture.add_agent("broken", 8);
    fixture.add_agent("good", 8);
    int to_broken = 0;
    for (int count = 0; count < 1000; ++count) {
        auto const id = fixture.submit("check", false);
        fixture.tick();
        bool const broken = fixture.sent.at(0).worker == worker_id("broken");
        to_broken += broken ? 1 : 0;
        fixture.router.on_answer(
            id, broken, fixture.start + (broken ? 1ms : 10ms));
    }
    CHECK(to_broken < 100);
}
