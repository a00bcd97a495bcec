/// The history checker accepts a correct history and reports each kind of
/// violation that is added to it.
#include "standins/history-check/history_checker.hpp"

#include <catch2/catch.hpp>
#include <sstream>

namespace {

std::string const clean = R"(
{"event":"worker_capacity","t_us":0,"worker":"w1","millicores":4000,"memory_mib":1000}
{"event":"worker_capacity","t_us":0,"worker":"w2","millicores":4000,"memory_mib":1000}
{"event":"request_sent","t_us":1,"key":"a","repeatable":false}
{"event":"request_start","t_us":2,"key":"a","upstream":"u1"}
{"event":"upstream_stop_planned","t_us":3,"upstream":"u1"}
{"event":"request_end","t_us":4,"key":"a","upstream":"u1","how":"finished"}
{"event":"request_answered","t_us":5,"key":"a","outcome":"ran","body_key":"a","whole":true}
{"event":"request_sent","t_us":6,"key":"b","repeatable":false}
{"event":"request_answered","t_us":7,"key":"b","outcome":"not_run"}
{"event":"task_start","t_us":8,"job":"j","attempt":1,"worker":"w1","failure_domain":"north","millicores":3000,"repeatable":false}
{"event":"task_checkpoint","t_us":9,"job":"j","attempt":1,"worker":"w1"}
{"event":"task_end","t_us":10,"job":"j","attempt":1,"worker":"w1","how":"stopped"}
{"event":"domain_out","t_us":11,"failure_domain":"north"}
{"event":"task_start","t_us":12,"job":"j","attempt":2,"worker":"w2","failure_domain":"south","millicores":3000,"repeatable":false}
{"event":"table_revision_seen","t_us":13,"who":"entry-1","revision":7}
)";

std::vector<history::violation> check(std::string const& text)
{
    std::istringstream from(text);
    std::vector<history::violation> faults;
    std::vector<history::event> const events =
        history::read_history(from, faults);
    std::vector<history::violation> const broken =
        history::check_history(events, history::check_limits{});
    faults.insert(faults.end(), broken.begin(), broken.end());
    return faults;
}

void expect_violation(history::rule expected, std::string const& added_lines)
{
    std::vector<history::violation> const found = check(clean + added_lines);
    REQUIRE(found.size() == 1);
    CHECK(found.front().broken == expected);
}

} // namespace

TEST_CASE("a correct history has no violation")
{
    CHECK(check(clean).empty());
}

TEST_CASE("a job in two places is found")
{
    expect_violation(
        history::rule::one_place,
        R"({"event":"task_start","t_us":20,"job":"k","attempt":1,"worker":"w1"}
{"event":"task_start","t_us":21,"job":"k","attempt":2,"worker":"w2"})");
}

TEST_CASE("an attempt that is started twice is found")
{
    expect_violation(
        history::rule::one_place,
        R"({"event":"task_start","t_us":20,"job":"k","attempt":1,"worker":"w1"}
{"event":"task_start","t_us":21,"job":"k","attempt":1,"worker":"w1"})");
}

TEST_CASE("a non-repeatable request that is started twice is found")
{
    expect_violation(
        history::rule::not_repeated,
        R"({"event":"request_start","t_us":20,"key":"a","upstream":"u2"})");
}

TEST_CASE("a non-repeatable task that is run again after a lapse is found")
{
    expect_violation(
        history::rule::not_repeated,
        R"({"event":"task_end","t_us":20,"job":"j","attempt":2,"worker":"w2","how":"lapsed"}
{"event":"task_start","t_us":21,"job":"j","attempt":3,"worker":"w2","failure_domain":"south","repeatable":false})");
}

TEST_CASE("a false not-run answer is found, also if the run starts later")
{
    expect_violation(
        history::rule::not_run_is_true,
        R"({"event":"request_start","t_us":20,"key":"b","upstream":"u2"})");
}

TEST_CASE("a truncated answer and the answer to another request are found")
{
    expect_violation(
        history::rule::answer_is_own_and_whole,
        R"({"event":"request_answered","t_us":20,"key":"a","outcome":"ran","body_key":"a","whole":false})");
    expect_violation(
        history::rule::answer_is_own_and_whole,
        R"({"event":"request_answered","t_us":20,"key":"a","outcome":"ran","body_key":"b"})");
}

TEST_CASE("each exceeded capacity is found")
{
    expect_violation(
        history::rule::capacity,
        R"({"event":"task_start","t_us":20,"job":"k","attempt":1,"worker":"w2","millicores":1001})");
    expect_violation(
        history::rule::capacity,
        R"({"event":"task_start","t_us":20,"job":"k","attempt":1,"worker":"w2","memory_mib":1001})");
    expect_violation(
        history::rule::capacity,
        R"({"event":"task_start","t_us":20,"job":"k","attempt":1,"worker":"w2","accelerators":1})");
}

TEST_CASE("a late start in a domain that is out is found, one in time is not")
{
    CHECK(check(
              clean + R"({"event":"task_start","t_us":3000011,"job":"k",)"
                      R"("attempt":1,"worker":"w1","failure_domain":"north"})")
              .empty());
    expect_violation(
        history::rule::domain_out,
        R"({"event":"task_start","t_us":3000012,"job":"k","attempt":1,"worker":"w1","failure_domain":"north"})");
    CHECK(check(
              clean + R"({"event":"domain_in","t_us":3000012,)"
                      R"("failure_domain":"north"})"
                      "\n"
                      R"({"event":"task_start","t_us":3000013,"job":"k",)"
                      R"("attempt":1,"worker":"w1","failure_domain":"north"})")
              .empty());
}

TEST_CASE("a revision that goes back is found")
{
    expect_violation(
        history::rule::revision_grows,
        R"({"event":"table_revision_seen","t_us":20,"who":"entry-1","revision":6})");
}

TEST_CASE("a request cut by a planned stop is found, one cut by a crash is not")
{
    expect_violation(
        history::rule::planned_stop_cuts_nothing,
        R"({"event":"request_start","t_us":20,"key":"c","upstream":"u1"}
{"event":"request_end","t_us":21,"key":"c","upstream":"u1","how":"cut"})");
    CHECK(check(
              clean + R"({"event":"request_start","t_us":20,"key":"c",)"
                      R"("upstream":"u2"})"
                      "\n"
                      R"({"event":"request_end","t_us":21,"key":"c",)"
                      R"("upstream":"u2","how":"cut"})")
              .empty());
}

TEST_CASE("a request that a stopped upstream never ended is found")
{
    expect_violation(
        history::rule::planned_stop_cuts_nothing,
        R"({"event":"request_start","t_us":20,"key":"c","upstream":"u1"})");
}

TEST_CASE("a request beyond an upstream's slots is found")
{
    expect_violation(
        history::rule::capacity,
        R"({"event":"request_over_slots","t_us":20,"key":"a","upstream":"u1"})");
}

TEST_CASE("a job submitted as non-repeatable is found when it runs again")
{
    std::string const submitted =
        R"({"event":"job_submitted","t_us":20,"job":"k","repeatable":false}
{"event":"task_start","t_us":21,"job":"k","attempt":1,"worker":"w1"}
)";
    expect_violation(
        history::rule::not_repeated,
        submitted +
            R"({"event":"task_end","t_us":22,"job":"k","attempt":1,"worker":"w1","how":"finished"}
{"event":"task_start","t_us":23,"job":"k","attempt":2,"worker":"w1"})");
    expect_violation(
        history::rule::not_repeated,
        submitted +
            R"({"event":"worker_capacity","t_us":22,"worker":"w1","millicores":4000}
{"event":"task_start","t_us":23,"job":"k","attempt":2,"worker":"w2"})");
}

TEST_CASE("a line that can't be read is a violation")
{
    expect_violation(
        history::rule::readable, R"({"event":"task_start","t_us":20)");
    expect_violation(
        history::rule::readable, R"({"event":"nothing","t_us":20})");
    expect_violation(
        history::rule::readable,
        R"({"event":"task_end","t_us":20,"job":"k","attempt":1,"worker":"w1"})");
}
