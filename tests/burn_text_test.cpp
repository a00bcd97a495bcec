/// Tests of the burn report's encoding and formats.
#include "operators/burn_json.hpp"
#include "operators/burn_text.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;
using Catch::Contains;

namespace {

burn_snapshot example_snapshot()
{
    table_policy policy;
    row_id const row{"a<b"};
    policy.rows[row].objective = 100ms;
    policy.rows[row].objective_ratio = 0.9;
    burn_tracker tracker{monotonic_time{}};
    tracker.set_policy(policy);
    burn_key const key{row, failure_domain_id{"north"}};
    for (int i = 0; i < 8; ++i)
        tracker.record(key, 10ms, true, monotonic_time{} + 1s);
    tracker.record(key, 500ms, true, monotonic_time{} + 1s);
    tracker.record(key, 1000h, false, monotonic_time{} + 1s);
    return tracker.snapshot(monotonic_time{} + 59min);
}

burn_page example_page()
{
    burn_page page;
    page.report = evaluate_burn({example_snapshot()});
    page.answered = 1;
    page.missing.push_back({"http.connect", "10.0.0.1:80", "can't connect"});
    return page;
}

} // namespace

TEST_CASE("a burn snapshot is unchanged by a JSON round trip")
{
    auto const before = example_snapshot();
    CHECK(value(decode_burn(encode_burn(before))) == before);
}

TEST_CASE("wrong burn snapshots are refused with the key's path")
{
    auto broken = nlohmann::json::parse(encode_burn(example_snapshot()));
    broken["records"][0]["long"]["bad"] = -1;
    auto const read = decode_burn(broken.dump());
    REQUIRE_FALSE(ok(read));
    CHECK_THAT(failure(read).reason, Contains("records[0].long.bad"));
    CHECK_FALSE(ok(decode_burn("{}")));
    broken = nlohmann::json::parse(encode_burn(example_snapshot()));
    broken["records"][0]["objective_ratio"] = 1;
    CHECK_FALSE(ok(decode_burn(broken.dump())));
}

TEST_CASE("the text shows rates, the budget and its largest consumer")
{
    auto const text = burn_as_text(example_page());
    CHECK_THAT(text, Contains("90% in 100 ms"));
    CHECK_THAT(text, Contains("2.00"));
    CHECK_THAT(text, Contains("north 100%"));
    CHECK_THAT(text, Contains("missing: http.connect at 10.0.0.1:80"));
}

TEST_CASE("the JSON holds numbers, and null if nothing burns")
{
    auto const page = nlohmann::json::parse(burn_as_json(example_page()));
    CHECK(page["rows"][0]["burn_rate_1h"] == Approx(2.0));
    CHECK(page["rows"][0]["bad"] == 2);
    CHECK(page["missing"].size() == 1);
    auto calm = example_page();
    calm.report.rows[0].exhausted_in.reset();
    auto const text = burn_as_json(calm);
    CHECK(nlohmann::json::parse(text)["rows"][0]["exhausted_in_min"].is_null());
}

TEST_CASE("the HTML page escapes names and draws charts inline")
{
    auto const html = burn_as_html(example_page());
    CHECK_THAT(html, Contains("<h2>a&lt;b</h2>") && Contains("<svg"));
    CHECK_THAT(html, !Contains("a<b") && !Contains("src=") && !Contains("nan"));
}
