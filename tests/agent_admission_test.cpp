/// Admission: permits, duplicates, slots and the worker's capacity.
#include "libsycamorespar/agent_admission.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

struct admission_fixture
{
    monotonic_time now{100s};
    agent_admission agent{incarnation{5}, failure_domain_id{"north"}};
    permit issued;

    admission_fixture()
    {
        agent.set_capacity({4000, 4096, 1});
        agent.set_ready();
        agent.announce_upstream({"u1", {row_id{"check"}}, 2});
        issued = agent.renew_permit(now);
        agent.adopt_table(table_with_rows(1));
    }

    static table_policy table_with_rows(std::uint64_t revision)
    {
        table_policy made;
        made.revision = table_revision{revision};
        made.domains.emplace_back("north");
        for (char const* name : {"check", "reduction"}) {
            row_policy row;
            row.id = row_id{name};
            made.rows.emplace(row.id, row);
        }
        return made;
    }

    request_start request(std::uint64_t number) const
    {
        return {
            {incarnation{9}, number},
            issued,
            table_revision{1},
            row_id{"check"}};
    }

    task_start task(char const* job, std::int64_t millicores) const
    {
        return {
            {job_id{job}, attempt_number{1}},
            issued,
            table_revision{1},
            row_id{"reduction"},
            {millicores, 100, 0}};
    }

    template<class Verdict>
    static std::optional<refusal> refused(Verdict const& verdict)
    {
        auto const* why = std::get_if<refusal>(&verdict);
        return why != nullptr ? std::optional(*why) : std::nullopt;
    }
};

} // namespace

TEST_CASE("an upstream gets no more requests than it has slots")
{
    admission_fixture fixture;
    CHECK_FALSE(fixture.refused(
        fixture.agent.admit_request(fixture.request(1), fixture.now)));
    CHECK_FALSE(fixture.refused(
        fixture.agent.admit_request(fixture.request(2), fixture.now)));
    CHECK(
        fixture.refused(fixture.agent.admit_request(
            fixture.request(3), fixture.now)) == refusal::no_slot);
    fixture.agent.finish_request(fixture.request(1).id);
    CHECK_FALSE(fixture.refused(
        fixture.agent.admit_request(fixture.request(4), fixture.now)));
}

TEST_CASE("a start that was delayed beyond its permit's validity is refused")
{
    admission_fixture fixture;
    fixture.now += permit_lifetime;
    CHECK(
        fixture.refused(fixture.agent.admit_request(
            fixture.request(1), fixture.now)) == refusal::stale_permit);
    CHECK(
        fixture.refused(fixture.agent.admit_task(
            fixture.task("a", 100), fixture.now)) == refusal::stale_permit);
}

TEST_CASE("another incarnation's permit is refused")
{
    admission_fixture fixture;
    auto start = fixture.request(1);
    start.quoted.agent = incarnation{4};
    CHECK(
        fixture.refused(fixture.agent.admit_request(start, fixture.now)) ==
        refusal::stale_permit);
}

TEST_CASE("a duplicate never runs, whatever the outcome of the first")
{
    admission_fixture fixture;
    fixture.agent.admit_request(fixture.request(1), fixture.now);
    CHECK(
        fixture.refused(fixture.agent.admit_request(
            fixture.request(1), fixture.now)) == refusal::duplicate);
    fixture.agent.finish_request(fixture.request(1).id);
    // A copy that arrives after the permit has expired is still a duplicate.
    fixture.now += 10s;
    CHECK(
        fixture.refused(fixture.agent.admit_request(
            fixture.request(1), fixture.now)) == refusal::duplicate);
}

TEST_CASE("a duplicate of a refused start stays refused")
{
    admission_fixture fixture;
    fixture.agent.admit_request(fixture.request(1), fixture.now);
    fixture.agent.admit_request(fixture.request(2), fixture.now);
    fixture.agent.admit_request(fixture.request(3), fixture.now);
    fixture.agent.finish_request(fixture.request(1).id);
    CHECK(
        fixture.refused(fixture.agent.admit_request(
            fixture.request(3), fixture.now)) == refusal::duplicate);
    CHECK(
        fixture.agent.outcome_of(
            fixture.request(3).id, fixture.issued, fixture.now) ==
        start_outcome::never);
}

TEST_CASE("tasks hold no more than the worker's capacity")
{
    admission_fixture fixture;
    CHECK_FALSE(fixture.refused(
        fixture.agent.admit_task(fixture.task("a", 3000), fixture.now)));
    CHECK(
        fixture.refused(fixture.agent.admit_task(
            fixture.task("b", 1001), fixture.now)) == refusal::no_room);
    fixture.agent.release_task({job_id{"a"}, attempt_number{1}});
    CHECK_FALSE(fixture.refused(
        fixture.agent.admit_task(fixture.task("c", 4000), fixture.now)));
}

TEST_CASE("no task is admitted before the worker's tasks are known")
{
    admission_fixture fixture;
    agent_admission fresh(incarnation{6}, failure_domain_id{"north"});
    auto start = fixture.task("a", 100);
    start.quoted = fresh.renew_permit(fixture.now);
    CHECK(
        fixture.refused(fresh.admit_task(start, fixture.now)) ==
        refusal::not_ready);
}

TEST_CASE("a start by an older table is refused")
{
    admission_fixture fixture;
    REQUIRE(fixture.agent.adopt_table(admission_fixture::table_with_rows(4)));
    CHECK_FALSE(
        fixture.agent.adopt_table(admission_fixture::table_with_rows(3)));
    CHECK(
        fixture.refused(fixture.agent.admit_request(
            fixture.request(1), fixture.now)) == refusal::stale_table);
}

TEST_CASE(
    "an unseen request counts as never run only after its permit has expired")
{
    admission_fixture fixture;
    auto const id = fixture.request(1).id;
    CHECK(
        fixture.agent.outcome_of(id, fixture.issued, fixture.now) ==
        start_outcome::unknown);
    fixture.now += permit_lifetime;
    CHECK(
        fixture.agent.outcome_of(id, fixture.issued, fixture.now) ==
        start_outcome::never);
    fixture.now += 2min;
    CHECK(
        fixture.agent.outcome_of(id, fixture.issued, fixture.now) ==
        start_outcome::unknown);
}
