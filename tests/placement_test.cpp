/// The totals of the fleet view, and the choice of a worker.
#include "libsycamorespar/placement.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace sycamorespar;

namespace {

constexpr resources worker_size{16'000, 64'000, 0};
row_id const settle{"settle"};

worker_description describe(int number, int domains = 3)
{
    auto const domain = "d" + std::to_string(number % domains);
    auto const rack = "r" + std::to_string(number / (3 * domains));
    return {
        worker_id{"w" + std::to_string(number)}, failure_domain_id{domain},
        rack_id{rack}, worker_size};
}

table_policy policy_with_row()
{
    table_policy policy;
    for (auto const* name : {"d0", "d1", "d2"})
        policy.domains.emplace_back(name);
    policy.rows[settle].id = settle;
    policy.rows[settle].kind = row_kind::batch;
    return policy;
}

fleet_view fleet_of(int workers)
{
    fleet_view fleet;
    for (int i = 0; i < workers; ++i)
        fleet.add_worker(describe(i));
    fleet.set_complete(true);
    return fleet;
}

refusal_reason reason_of(placement_choice const& choice)
{
    REQUIRE(std::holds_alternative<placement_refusal>(choice));
    return std::get<placement_refusal>(choice).reason;
}

} // namespace

TEST_CASE("the totals of the fleet equal a recount after any changes")
{
    auto const held = rc::check([] {
        fleet_view fleet;
        auto const number = fleet.class_of(settle);
        std::map<int, int> tasks;
        auto const steps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        for (auto const step : steps) {
            auto const worker = step % 12;
            auto const id = describe(worker).id;
            switch (step / 12) {
            case 0:
                fleet.add_worker(describe(worker));
                tasks.try_emplace(worker, 0);
                break;
            case 1:
                RC_ASSERT(fleet.remove_worker(id) == (tasks.erase(worker) > 0));
                break;
            case 2:
                if (fleet.commit(id, number, {1'000, 500, 0}))
                    ++tasks[worker];
                break;
            case 3:
                if (fleet.release(id, number, {1'000, 500, 0}))
                    --tasks[worker];
                break;
            default:
                fleet.set_available(id, false);
            }
        }
        int sum = 0;
        for (auto const& entry : tasks) {
            auto const* found = fleet.find_worker(describe(entry.first).id);
            RC_ASSERT(found != nullptr);
            RC_ASSERT(found->committed.millicores == entry.second * 1'000);
            sum += entry.second;
        }
        RC_ASSERT(fleet.totals().workers == tasks.size());
        RC_ASSERT(fleet.totals().committed.millicores == sum * 1'000);
        RC_ASSERT(fleet.class_totals(number).tasks == unsigned(sum));
        std::uint32_t in_domains = 0;
        for (std::size_t at = 0; at < fleet.domain_count(); ++at)
            in_domains += fleet.tasks_at(at, number);
        RC_ASSERT(in_domains == unsigned(sum));
    });
    REQUIRE(held);
}

TEST_CASE("the only worker with free capacity is found among many")
{
    auto fleet = fleet_of(1'000);
    auto const number = fleet.class_of(settle);
    for (int i = 0; i < 1'000; ++i) {
        if (i != 617)
            fleet.commit(describe(i).id, number, worker_size);
    }
    random_engine engine{1};
    auto const choice = choose_worker(
        {4'000, 8'000, 0}, settle, policy_with_row(), fleet, engine);
    REQUIRE(std::get<worker_id>(choice) == worker_id{"w617"});
}

TEST_CASE("placement never exceeds the capacity of a worker")
{
    auto fleet = fleet_of(11);
    auto const number = fleet.class_of(settle);
    auto const policy = policy_with_row();
    random_engine engine{7};
    constexpr resources demand{3'000, 9'000, 0};
    int placed = 0;
    for (;; ++placed) {
        auto const choice =
            choose_worker(demand, settle, policy, fleet, engine);
        auto const* id = std::get_if<worker_id>(&choice);
        if (id == nullptr)
            break;
        REQUIRE(fits(demand, fleet.find_worker(*id)->free_capacity()));
        fleet.commit(*id, number, demand);
    }
    REQUIRE(placed == 55);
}

TEST_CASE("each refusal has its reason")
{
    auto fleet = fleet_of(3);
    auto policy = policy_with_row();
    random_engine engine{1};
    auto const reason = [&](resources const& demand) {
        return reason_of(choose_worker(demand, settle, policy, fleet, engine));
    };
    constexpr resources too_large{17'000, 1, 0};
    constexpr resources small{1'000, 1, 0};

    CHECK(reason(too_large) == refusal_reason::never_fits);
    CHECK(reason({-1, 0, 0}) == refusal_reason::invalid_demand);
    fleet.set_complete(false);
    CHECK(reason(too_large) == refusal_reason::no_room_now);

    policy.rows[settle].millicores_limit = 999;
    CHECK(reason(small) == refusal_reason::quota);
    policy.rows[settle].millicores_limit.reset();

    for (auto const* name : {"d0", "d1", "d2"})
        policy.rows[settle].domain_limits[failure_domain_id{name}] = 0;
    CHECK(reason(small) == refusal_reason::quota);
    policy.rows[settle].domain_limits.clear();

    policy.domains_out = {failure_domain_id{"d0"}, failure_domain_id{"d1"}};
    policy.rows[settle].out_of = {failure_domain_id{"d2"}};
    CHECK(reason(small) == refusal_reason::domain_out);
    policy.domains_out.clear();

    fleet.set_available(worker_id{"w0"}, false);
    fleet.set_available(worker_id{"w1"}, false);
    CHECK(reason(small) == refusal_reason::no_room_now);
    policy.rows.clear();
    CHECK(reason(small) == refusal_reason::unknown_row);
}

TEST_CASE("interference and idle accelerators affect the choice")
{
    auto fleet = fleet_of(2);
    fleet.class_of(settle);
    auto const policy = policy_with_row();
    placement_hooks hooks;
    hooks.interference = [](class_number, worker_state const& worker) {
        return worker.description.id == worker_id{"w0"} ? 1.0 : 0.0;
    };
    placement_weights weights;
    weights.choices = 32;
    random_engine engine{3};
    auto choice = choose_worker(
        {1'000, 1, 0}, settle, policy, fleet, engine, hooks, weights);
    CHECK(std::get<worker_id>(choice) == worker_id{"w1"});

    // No worker above the limit is chosen, and the limit rises with the wait.
    weights.interference_limit = 0.5;
    fleet.set_available(worker_id{"w1"}, false);
    choice = choose_worker(
        {1'000, 1, 0}, settle, policy, fleet, engine, hooks, weights);
    CHECK(reason_of(choice) == refusal_reason::no_room_now);
    weights.interference_limit =
        interference_limit_after(std::chrono::hours(1));
    choice = choose_worker(
        {1'000, 1, 0}, settle, policy, fleet, engine, hooks, weights);
    CHECK(std::get<worker_id>(choice) == worker_id{"w0"});
    fleet.set_available(worker_id{"w1"}, true);

    auto with_accelerators = describe(2);
    with_accelerators.capacity.accelerators = 2;
    fleet.add_worker(with_accelerators);
    for (int i = 0; i < 20; ++i) {
        choice = choose_worker(
            {1'000, 1, 0}, settle, policy, fleet, engine, {}, weights);
        CHECK(std::get<worker_id>(choice) != worker_id{"w2"});
    }
}
