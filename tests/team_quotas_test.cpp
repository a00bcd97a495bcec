/// Team quotas, and plans that free capacity for urgent tasks.
#include "libsycamorespar/team_quotas.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

team_id const growers{"growers"};
team_id const sorters{"sorters"};
constexpr resources fleet{100'000, 100'000, 0};
constexpr resources task_size{1'000, 1'000, 0};
constexpr duration urgent_bound = 1'200ms;

running_task task_of(std::string const& name, duration checkpoint)
{
    running_task task;
    task.id = {job_id{name}, attempt_number{1}};
    task.reserved = {4'000, 4'000, 0};
    task.cores_used = 4.0;
    task.checkpoint_time = checkpoint;
    return task;
}

} // namespace

TEST_CASE("teams share capacity by weight, up to their limits")
{
    team_quotas quotas;
    quotas.set_quota(growers, {std::nullopt, 3.0});
    quotas.set_quota(sorters, {resources{10'000, 10'000, 0}, 1.0});
    std::vector<waiting_demand> const waiting{
        {growers, task_size}, {sorters, task_size}};
    for (int i = 0; i < 40; ++i) {
        auto const next = quotas.next(waiting, fleet);
        REQUIRE(next);
        quotas.commit(waiting[*next].team, task_size);
    }
    CHECK(quotas.reserved(growers).millicores == 30'000);
    CHECK(quotas.reserved(sorters).millicores == 10'000);
    CHECK_FALSE(quotas.allows(sorters, task_size));
    CHECK(quotas.next(waiting, fleet) == 0U);
    quotas.release(sorters, task_size);
    CHECK(quotas.allows(sorters, task_size));
}

TEST_CASE(
    "a reclaim plan loses the least work and only uses tasks that stop in time")
{
    std::vector<running_task> first{
        task_of("slow", 60s), task_of("quick", 1s), task_of("quicker", 500ms)};
    std::vector<running_task> second{task_of("one", 1s), task_of("two", 1s)};
    std::vector<reclaim_candidate> const candidates{
        {worker_id{"w1"}, {0, 0, 0}, first},
        {worker_id{"w2"}, {0, 0, 0}, second}};

    auto plan = plan_reclaim({4'000, 1, 0}, candidates, urgent_bound);
    REQUIRE(plan);
    CHECK(plan->where == worker_id{"w1"});
    REQUIRE(plan->move.size() == 1);
    CHECK(plan->move[0].job == job_id{"quicker"});

    plan = plan_reclaim({8'000, 1, 0}, candidates, urgent_bound);
    REQUIRE(plan);
    CHECK(plan->move.size() == 2);
    CHECK_FALSE(plan_reclaim({9'000, 1, 0}, candidates, urgent_bound));
    CHECK(reclaimable(first, urgent_bound).millicores == 8'000);
}

TEST_CASE("a reclaim plan leaves out tasks that need not move")
{
    std::vector<running_task> tasks{
        task_of("small", 100ms), task_of("big", 1s)};
    tasks[0].reserved = {1'000, 1'000, 0};
    std::vector<reclaim_candidate> const candidates{
        {worker_id{"w1"}, {0, 0, 0}, tasks}};
    auto const plan = plan_reclaim({4'000, 4'000, 0}, candidates, urgent_bound);
    REQUIRE(plan);
    REQUIRE(plan->move.size() == 1);
    CHECK(plan->move[0].job == job_id{"big"});
}
