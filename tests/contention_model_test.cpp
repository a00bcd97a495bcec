/// The estimates of the contention model. Backfill tasks raise the tail latency
/// of serving tasks by an amount that differs by pair of images, while the load
/// of the serving task itself also changes.
#include "libsycamorespar/contention_model.hpp"
#include "libsycamorespar/random_engine.hpp"

#include <boost/random/uniform_real_distribution.hpp>
#include <catch2/catch.hpp>
#include <cmath>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

run_id const serving{{job_id{"watch"}, 0, 0, 0}, 1};

/// Tail latency of a queue; it reaches the target at a load of 0.78.
double tail_at(double load)
{
    constexpr double target_over_alone = 4.5;
    return 1.0 / (1.0 - std::min(load, 0.98)) / target_over_alone;
}

/// Feeds a model with one minute of measurements of a serving task whose own
/// load varies between 0.2 and 0.6.
void observe_minute(contention_model& model, double bad_load, double good_load)
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

TEST_CASE("pairs with and without contention are distinguished")
{
    contention_model model;
    observe_minute(model, 1.5, 0.0);
    CHECK(model.pair("web", "bad").mean > 1.0);
    CHECK(model.pair("web", "good").mean < 0.4);
    CHECK(model.pair("web", "never").mean == Approx(0.5));
}

TEST_CASE("contention is estimated by pair, not by backfill image alone")
{
    contention_model model;
    observe_minute(model, 1.5, 0.0);
    CHECK(model.pair("other", "bad").mean == Approx(0.5));
}

TEST_CASE("measurements lower the variance of a pair")
{
    contention_model model;
    observe_minute(model, 1.0, 0.0);
    CHECK(model.pair("web", "bad").variance < 0.3);
    CHECK(model.pair("web", "never").variance == Approx(1.0));
}

TEST_CASE("the upper bound attributes a sudden rise to the task itself")
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

TEST_CASE("a hint is applied if its variance is lower")
{
    contention_model model;
    model.apply_hint({"web", "bad", {1.2, 0.01}});
    CHECK(model.pair("web", "bad").mean == Approx(1.2));
    model.apply_hint({"web", "bad", {0.0, 0.5}});
    CHECK(model.pair("web", "bad").mean == Approx(1.2));
}

TEST_CASE("estimated contention is never negative")
{
    contention_model model;
    observe_minute(model, -2.0, -1.0);
    CHECK(model.pair("web", "bad").mean >= 0.0);
    CHECK(model.pair("web", "good").mean >= 0.0);
}
