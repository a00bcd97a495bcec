/// Counters and gauges, and their Prometheus text format.
#include "libsycamorespar/counters.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;

TEST_CASE("metrics are rendered with units, below one heading per name")
{
    counter_set set;
    auto const shed = set.add_counter(
        {"spar_requests_shed", "Refused.", {}, {{"row", "a\"\\\n"}}});
    auto const other =
        set.add_counter({"spar_requests_shed", "Refused.", {}, {{"row", "b"}}});
    auto const sent = set.add_counter(
        {"spar_sent", "Sent to peers.", metric_unit::bytes, {}});
    auto const age =
        set.add_gauge({"spar_table_age", "Age.", metric_unit::seconds, {}});
    set.increment(shed);
    set.increment(other, 2);
    set.increment(sent, 1'000'000'000'000);
    set.set(age, 0.25);
    CHECK(
        set.render() == "# HELP spar_requests_shed_total Refused.\n"
                        "# TYPE spar_requests_shed_total counter\n"
                        "spar_requests_shed_total{row=\"a\\\"\\\\\\n\"} 1\n"
                        "spar_requests_shed_total{row=\"b\"} 2\n"
                        "# HELP spar_sent_bytes_total Sent to peers.\n"
                        "# TYPE spar_sent_bytes_total counter\n"
                        "spar_sent_bytes_total 1000000000000\n"
                        "# HELP spar_table_age_seconds Age.\n"
                        "# TYPE spar_table_age_seconds gauge\n"
                        "spar_table_age_seconds 0.25\n");
}

TEST_CASE(
    "adding a metric with the same name and labels returns the existing one")
{
    counter_set set;
    auto const first = set.add_counter({"spar_starts", "Starts.", {}, {}});
    auto const again = set.add_counter({"spar_starts", "Starts.", {}, {}});
    set.increment(first);
    set.increment(again);
    CHECK(set.counter_value(first) == 2);
}

TEST_CASE("a counter that is set from an external count never decreases")
{
    counter_set set;
    auto const id = set.add_counter({"spar_faults", "Faults.", {}, {}});
    set.raise_to(id, 5);
    set.raise_to(id, 3);
    CHECK(set.counter_value(id) == 5);
}
