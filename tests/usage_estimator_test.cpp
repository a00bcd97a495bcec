/// Estimates of resource usage and run times from inaccurate declarations.
#include "libsycamorespar/random_engine.hpp"
#include "libsycamorespar/usage_estimator.hpp"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <catch2/catch.hpp>
#include <cmath>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

constexpr resources largest{16'000, 64'000, 2};
constexpr class_number batch{1};

// A class whose declarations are off by a fixed factor and whose actual usage
// varies by about a third.
struct drawn_class
{
    random_engine engine;
    double factor;
    boost::random::lognormal_distribution<double> vary{0.0, 0.3};

    task_usage draw()
    {
        auto const size = vary(engine);
        return {
            {std::llround(1'000 * size), std::llround(2'000 * size), 0},
            std::chrono::seconds(std::llround(600 * size))};
    }

    task_declaration declared() const
    {
        return {
            {std::llround(1'000 * factor), std::llround(2'000 * factor), 0},
            std::chrono::seconds(std::llround(600 * factor))};
    }
};

estimator_settings safe_settings()
{
    estimator_settings settings;
    settings.processor_quantile = 0.90;
    settings.memory_quantile = 0.97;
    settings.memory_margin = 1.10;
    return settings;
}

} // namespace

TEST_CASE("a declaration without observations is reserved unchanged")
{
    usage_estimator const estimator;
    resources const declared{99'000, 1, 0};
    CHECK(estimator.reservation(batch, declared, largest) == declared);
    CHECK(estimator.run_time(batch, 5s) == duration(5s));
}

TEST_CASE("declarations off by a factor of ten either way are corrected")
{
    auto const factor = GENERATE(0.1, 0.3, 1.0, 3.0, 10.0);
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        drawn_class real{random_engine(seed), factor};
        usage_estimator estimator(safe_settings());
        for (int i = 0; i < 100; ++i)
            estimator.observe_finished(batch, real.declared(), real.draw());
        auto const declared = real.declared();
        auto const held = estimator.reservation(batch, declared.size, largest);
        int covered = 0;
        for (int i = 0; i < 1'000; ++i)
            covered += real.draw().peak.memory_mib <= held.memory_mib ? 1 : 0;
        CHECK(covered >= 950);
        CHECK(held.memory_mib < 3 * 2'000);
        CHECK(held.millicores < 3 * 1'000);
        auto const run = estimator.run_time(batch, declared.run_time);
        CHECK(run > 400s);
        CHECK(run < 900s);
    }
}

TEST_CASE("a reservation covers the quantile in the settings")
{
    auto const asked = GENERATE(0.5, 0.75, 0.9, 0.97);
    estimator_settings settings;
    settings.processor_quantile = asked;
    settings.memory_quantile = asked;
    settings.memory_margin = 1.0;
    usage_estimator estimator(settings);
    std::vector<task_usage> seen;
    drawn_class real{random_engine(4), 3.0};
    for (int i = 0; i < 200; ++i) {
        seen.push_back(real.draw());
        estimator.observe_finished(batch, real.declared(), seen.back());
    }
    auto const held =
        estimator.reservation(batch, real.declared().size, largest);
    auto const covered =
        std::count_if(seen.begin(), seen.end(), [&](task_usage const& used) {
            return fits(used.peak, held);
        });
    // Processors and memory of a task scale with the same factor, so one
    // quantile applies to both. The margin is for older tasks, whose weight
    // decays.
    CHECK(double(covered) >= (asked - 0.05) * double(seen.size()));
}

TEST_CASE("one larger task raises the estimate, few smaller don't lower it")
{
    usage_estimator estimator(safe_settings());
    task_declaration const declared{{1'000, 1'000, 0}, 60s};
    for (int i = 0; i < 5; ++i)
        estimator.observe_finished(batch, declared, {{100, 100, 0}, 60s});
    CHECK(
        estimator.reservation(batch, declared.size, largest).memory_mib >=
        1'000);
    estimator.observe_running(batch, declared, {{1'000, 8'000, 0}, 60s});
    CHECK(
        estimator.reservation(batch, declared.size, largest).memory_mib >=
        8'000);
}

TEST_CASE("with observations no reservation exceeds the largest worker")
{
    random_engine engine{5};
    boost::random::uniform_real_distribution<double> draw(0.0, 18.0);
    usage_estimator estimator;
    for (int i = 0; i < 500; ++i) {
        auto const amount = [&] {
            return std::llround(std::exp(draw(engine)));
        };
        task_declaration const declared{{amount(), amount(), 1}, 60s};
        estimator.observe_finished(
            batch, declared, {{amount(), amount(), 1}, 60s});
        auto const held = estimator.reservation(batch, declared.size, largest);
        CHECK(fits(held, largest));
        CHECK(is_valid_demand(held));
    }
}
