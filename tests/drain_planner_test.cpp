/// Drain and return of failure domains, including repeated and simultaneous
/// drains.
#include "libsycamorespar/drain_planner.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

failure_domain_id const north{"north"};
failure_domain_id const south{"south"};
constexpr monotonic_time epoch{};
constexpr resources no_capacity{};
constexpr resources ample_capacity{1'000'000, 1'000'000, 0};

running_task
task_of(std::string const& name, duration remaining, duration checkpoint)
{
    running_task task;
    task.id = {job_id{name}, attempt_number{1}};
    task.reserved = {1'000, 1'000, 0};
    task.expected_remaining = remaining;
    task.checkpoint_time = checkpoint;
    return task;
}

std::vector<std::string> moved(std::vector<drain_action> const& steps)
{
    std::vector<std::string> names;
    for (auto const& step : steps) {
        if (auto const* move = std::get_if<move_task>(&step))
            names.push_back(move->id.job.value);
    }
    return names;
}

} // namespace

TEST_CASE(
    "short tasks run to their end, long ones move early if capacity is free")
{
    drain_planner planner;
    planner.start_drain(north, epoch + 60s);
    std::vector<running_task> const tasks{
        task_of("short", 20s, 2s), task_of("long", 600s, 2s),
        task_of("slow", 600s, 9s)};
    auto const steps =
        moved(planner.next_steps(north, {tasks, 0, ample_capacity}, epoch));
    CHECK(steps == std::vector<std::string>{"slow", "long"});
    CHECK(moved(planner.next_steps(north, {tasks, 0, no_capacity}, epoch))
              .empty());
    CHECK(planner.next_steps(south, {tasks, 0, ample_capacity}, epoch).empty());
}

TEST_CASE(
    "without free capacity all tasks are checkpointed before the deadline")
{
    drain_planner planner;
    planner.start_drain(north, epoch + 120s);
    std::vector<running_task> tasks;
    tasks.reserve(24);
    for (int i = 0; i < 24; ++i)
        tasks.push_back(task_of(std::to_string(i), 3'600s, (1 + i % 10) * 1s));
    std::vector<monotonic_time> ends;
    for (auto now = epoch; now < epoch + 120s; now += 1s) {
        auto const in_progress =
            std::count_if(ends.begin(), ends.end(), [&](monotonic_time end) {
                return end > now;
            });
        auto const steps = moved(planner.next_steps(
            north, {tasks, unsigned(in_progress), no_capacity}, now));
        for (auto const& name : steps) {
            auto const at = std::find_if(
                tasks.begin(), tasks.end(), [&](running_task const& task) {
                    return task.id.job.value == name;
                });
            ends.push_back(now + at->checkpoint_time);
            tasks.erase(at);
        }
    }
    CHECK(tasks.empty());
    CHECK(ends.size() == 24);
    CHECK(*std::max_element(ends.begin(), ends.end()) <= epoch + 120s);
    // Tasks continue to run for at least half of the time until the deadline.
    CHECK(*std::min_element(ends.begin(), ends.end()) >= epoch + 60s);
}

TEST_CASE("services are replaced at once, even without free capacity")
{
    drain_planner planner;
    planner.start_drain(north, epoch + 60s);
    std::vector<running_task> tasks{task_of("service", 0s, 0s)};
    tasks[0].is_long_lived = true;
    auto const steps =
        planner.next_steps(north, {tasks, 0, no_capacity}, epoch);
    REQUIRE(steps.size() == 1);
    CHECK(std::holds_alternative<replace_task>(steps[0]));
}

TEST_CASE("a returning domain ramps up and may be drained again meanwhile")
{
    drain_planner planner;
    auto const at = [](int seconds) {
        return epoch + std::chrono::seconds(seconds);
    };
    planner.start_drain(north, at(10));
    planner.start_drain(south, at(20));
    CHECK(planner.phase(north, at(5)) == domain_phase::draining);
    CHECK(planner.share(north, at(5)) == 0.0);
    CHECK(planner.phase(north, at(15)) == domain_phase::drained);
    CHECK(planner.phase(south, at(15)) == domain_phase::draining);

    planner.return_to_service(north, at(100));
    CHECK(planner.phase(north, at(110)) == domain_phase::returning);
    CHECK(planner.share(north, at(130)) == Approx(0.55));
    group_totals half{1, 1, {100, 100, 0}, {60, 60, 0}};
    CHECK_FALSE(planner.may_start_in(north, half, at(130)));
    CHECK(planner.may_start_in(north, half, at(150)));

    planner.start_drain(north, at(140));
    CHECK(planner.share(north, at(135)) == 0.0);
    planner.return_to_service(north, at(200));
    CHECK(planner.share(north, at(200)) == Approx(0.1));
    CHECK(planner.phase(north, at(260)) == domain_phase::in_service);

    // A drain that is cancelled before its deadline needs no ramp.
    planner.start_drain(north, at(400));
    planner.return_to_service(north, at(390));
    CHECK(planner.share(north, at(390)) == 1.0);
    CHECK(planner.phase(south, at(390)) == domain_phase::drained);
}
