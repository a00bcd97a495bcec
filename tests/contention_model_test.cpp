/// The pattern: a filling task shows in the tails of the serving tasks beside
/// it by an amount that differs by pair of images, on top of a load that moves
/// by itself.
#include "libsycamorespar/contention_model.hpp"
#include "libsycamorespar/random_engine.hpp"

#include <boost/random/uniform_real_distribution.hpp>
#include <catch2/catch.hpp>
#include <cmath>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

run_id const serving{{job_id{"watch"}, 0, 0, 0}, 1};

/// A queue: the tail grows with the load, to the target at a load of 0.78.
double tail_at(double load)
{
    constexpr double target_over_alone = 4.5;
    return 1.0 / (1.0 - std::min(load, 0.98)) / target_over_alone;
}

/// Shows a model a minute of a task whose load swings between 0.2 and 0.6.
void show(contention_model& model, double bad_load, double good_load)
{
    random_engine random(7);
    boost::random::uniform_real_distribution<double> share(0.0, 0.15);
    monotonic_time now{std::chrono::hours(1)};
    for (int at = 0; at < 150; ++at) {
        double const own = 0.4 + 0.2 * std::sin(at * 0.25);
        double const bad = share(random);
        double const good = share(random);
        model.observe(
            serving, "web", tail_at(own + bad * bad_load + good * good_load),
            {{"bad", bad}, {"good", good}}, now);
        now += 400ms;
    }
}

} // namespace

TEST_CASE("a pair that harms is told from one that doesn't")
{
    contention_model model;
    show(model, 1.5, 0.0);
    CHECK(model.pair("web", "bad").mean > 1.0);
    CHECK(model.pair("web", "good").mean < 0.4);
    CHECK(model.pair("web", "never").mean == Approx(0.5));
}

TEST_CASE("harm is that of the pair, not of the filler alone")
{
    contention_model model;
    show(model, 1.5, 0.0);
    CHECK(model.pair("other", "bad").mean == Approx(0.5));
}

TEST_CASE("evidence makes a pair more certain")
{
    contention_model model;
    show(model, 1.0, 0.0);
    CHECK(model.pair("web", "bad").variance < 0.3);
    CHECK(model.pair("web", "never").variance == Approx(1.0));
}

TEST_CASE("what rises beyond the expected counts as the task's own at once")
{
    contention_model model;
    monotonic_time now{std::chrono::hours(1)};
    for (int at = 0; at < 20; ++at) {
        model.observe(serving, "web", tail_at(0.3), {}, now);
        now += 400ms;
    }
    model.observe(serving, "web", tail_at(0.8), {}, now);
    CHECK(model.own_load_upper_bound(serving) > model.own_load(serving));
    CHECK(model.own_load_upper_bound(serving) > 0.65);
}

TEST_CASE("a hint is taken where it is more certain than what is known")
{
    contention_model model;
    model.apply_hint({"web", "bad", {1.2, 0.01}});
    CHECK(model.pair("web", "bad").mean == Approx(1.2));
    model.apply_hint({"web", "bad", {0.0, 0.5}});
    CHECK(model.pair("web", "bad").mean == Approx(1.2));
}

TEST_CASE("no harm is ever below zero, whatever the figures say")
{
    contention_model model;
    show(model, -2.0, -1.0);
    CHECK(model.pair("web", "bad").mean >= 0.0);
    CHECK(model.pair("web", "good").mean >= 0.0);
}
