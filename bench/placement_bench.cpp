/// Measures time and heap allocations per placement decision for several fleet
/// sizes. Replaces the global operator new to count the allocations.
#include "libsycamorespar/placement.hpp"

#include <atomic>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <cstdlib>
#include <fmt/core.h>
#include <new>

using namespace sycamorespar;

namespace {

std::atomic<std::uint64_t> allocations{0};

constexpr int domains = 12;
constexpr int workers_in_rack = 3;
constexpr int classes = 40;
constexpr int decisions = 200'000;
constexpr double fill = 0.9;

struct setup
{
    fleet_view fleet;
    table_policy policy;
    std::vector<row_id> rows;
};

setup make(int workers)
{
    setup made;
    for (int i = 0; i < classes; ++i) {
        made.rows.emplace_back("batch-class-" + std::to_string(i));
        made.policy.rows[made.rows.back()].id = made.rows.back();
        made.fleet.class_of(made.rows.back());
    }
    for (int i = 0; i < domains; ++i)
        made.policy.domains.emplace_back("domain-" + std::to_string(i));
    for (int i = 0; i < workers; ++i) {
        made.fleet.add_worker(
            {worker_id{"worker-" + std::to_string(i)},
             failure_domain_id{"domain-" + std::to_string(i % domains)},
             rack_id{"rack-" + std::to_string(i / (domains * workers_in_rack))},
             {64'000, 250'000, i % 3}});
    }
    made.fleet.set_complete(true);
    return made;
}

struct task
{
    worker_id where;
    class_number task_class;
};

constexpr resources demand{2'000, 7'000, 0};

// Fills the fleet, then measures placement decisions. Before each decision a
// random older task ends; after it the new task is committed.
void measure(int workers)
{
    auto made = make(workers);
    random_engine engine{42};
    placement_hooks hooks;
    hooks.interference = [](class_number, worker_state const& worker) {
        double sum = 0.0;
        for (auto const& usage : worker.running)
            sum += 0.01 * usage.tasks;
        return sum;
    };
    boost::random::uniform_int_distribution<std::size_t> draw_row(
        0, classes - 1);
    std::vector<task> running;
    auto const start_one = [&] {
        auto const& row = made.rows[draw_row(engine)];
        auto const choice =
            choose_worker(demand, row, made.policy, made.fleet, engine, hooks);
        auto const* id = std::get_if<worker_id>(&choice);
        if (id == nullptr)
            return;
        auto const number = made.fleet.class_of(row);
        made.fleet.commit(*id, number, demand);
        running.push_back({*id, number});
    };
    auto const end_one = [&] {
        boost::random::uniform_int_distribution<std::size_t> draw(
            0, running.size() - 1);
        std::swap(running[draw(engine)], running.back());
        made.fleet.release(
            running.back().where, running.back().task_class, demand);
        running.pop_back();
    };
    auto const wanted = static_cast<int>(workers * 32 * fill);
    for (int i = 0; i < wanted; ++i)
        start_one();

    std::chrono::nanoseconds choosing{0};
    std::uint64_t chosen_allocations = 0;
    for (int i = 0; i < decisions; ++i) {
        end_one();
        auto const& row = made.rows[draw_row(engine)];
        auto const before = allocations.load();
        auto const from = std::chrono::steady_clock::now();
        auto const choice =
            choose_worker(demand, row, made.policy, made.fleet, engine, hooks);
        choosing += std::chrono::steady_clock::now() - from;
        chosen_allocations += allocations.load() - before;
        if (auto const* id = std::get_if<worker_id>(&choice)) {
            auto const number = made.fleet.class_of(row);
            made.fleet.commit(*id, number, demand);
            running.push_back({*id, number});
        }
    }
    auto const update_from = std::chrono::steady_clock::now();
    for (int i = 0; i < decisions; ++i) {
        auto const& last = running.back();
        made.fleet.release(last.where, last.task_class, demand);
        made.fleet.commit(last.where, last.task_class, demand);
    }
    std::chrono::nanoseconds const updating =
        std::chrono::steady_clock::now() - update_from;

    fmt::print(
        "| {} | {:.2f} | {:.2f} | {:.2f} |\n", workers,
        static_cast<double>(choosing.count()) / decisions / 1000.0,
        static_cast<double>(chosen_allocations) / decisions,
        static_cast<double>(updating.count()) / decisions / 2 / 1000.0);
}

} // namespace

// NOLINTBEGIN(misc-new-delete-overloads)
void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc{};
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
// NOLINTEND(misc-new-delete-overloads)

int main()
{
    fmt::print("| workers | decision, us | allocations | update, us |\n");
    fmt::print("|--:|--:|--:|--:|\n");
    for (auto const workers : {11, 100, 1'000, 9'800})
        measure(workers);
}
