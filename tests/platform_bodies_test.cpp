/// Parsing of valid and invalid data from the platform's clients, workers and
/// operators.
#include "platform/configuration.hpp"
#include "platform/job_body.hpp"
#include "platform/worker_client.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

job_id const job{"5c0e7a21d94b36f8"};

result<job_graph> read(std::string const& body)
{
    return platform::read_job_body(job, queue_id{"r-1"}, body);
}

std::string const valid_announcement =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"north","version":"v1",
    "slots":8,"state":"ready","cold_remaining_ms":0,
    "capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],
    "clock_ms":482113,"born":1775540114535,"sequence":4})";

std::string
replaced(std::string text, std::string const& from, std::string const& to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a job is parsed, with defaults for missing members")
{
    auto const graph = read(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,
        "estimated_ms":900,"data_rack":"r1-3"},{"count":20,"cpu":2000,
        "mem_mb":1024,"gpu":1,"after":[0],"saves_progress":true,
        "required_labels":"large","anti_affinity":2,"target_ms":18,
        "fills":true,"image":"x","may_miss":1}],
        "repeat_count":3,"first_ms":1700000000000,"interval_ms":500})");
    REQUIRE(ok(graph));
    auto const& steps = value(graph).steps;
    REQUIRE(steps.size() == 2);
    CHECK(steps[0].need == resources{500, 256, 0});
    CHECK(steps[0].data_rack == rack_id{"r1-3"});
    CHECK_FALSE(steps[0].saves_progress);
    CHECK(steps[1].after == std::vector<std::uint32_t>{0});
    CHECK(steps[1].required_label == "large");
    CHECK(steps[1].max_per_worker == 2);
    CHECK(steps[1].target == 18ms);
    CHECK(value(graph).schedule.count == 3);
    CHECK(value(graph).schedule.interval == 500ms);
}

TEST_CASE("an invalid job body is an error with a reason")
{
    for (auto const* body :
         {"", "x", "[]", "{}", R"({"steps":[]})", R"({"steps":[{}]})",
          R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":"4"}]})",
          R"({"steps":[{"count":1,"after":[0]}]})",
          R"({"steps":[{"count":1,"cpu":-5}]})", R"({"steps":{"count":1}})",
          R"({"spec":7,"steps":[{"count":1}]})", "\xff\xfe\x00"}) {
        auto const graph = read(body);
        REQUIRE_FALSE(ok(graph));
        CHECK_FALSE(failure(graph).reason.empty());
    }
}

TEST_CASE("deeply nested JSON is rejected")
{
    CHECK_FALSE(ok(read(std::string(100'000, '['))));
}

TEST_CASE("a job id has sixteen hexadecimal digits")
{
    CHECK(platform::is_job_id("5c0e7a21d94b36f8"));
    for (auto const* text :
         {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f8a", "5c0e7a21d94b36g8",
          "5c0e7a21/94b36f8"})
        CHECK_FALSE(platform::is_job_id(text));
}

TEST_CASE("a worker's announcement is parsed")
{
    auto const read = platform::read_announcement("i-1", valid_announcement);
    REQUIRE(ok(read));
    auto const& facts = value(read).facts;
    CHECK(facts.incarnation == worker_incarnation{"i-1", 1775540114535ms});
    CHECK(facts.pool == pool_id{"s"});
    CHECK(facts.domain == failure_domain_id{"north"});
    CHECK(facts.capacity == resources{16000, 32768, 1});
    CHECK_FALSE(facts.is_draining);
    CHECK(value(read).at == 482113ms);
}

TEST_CASE("an invalid announcement does not describe a usable worker")
{
    CHECK_FALSE(ok(platform::read_announcement("", valid_announcement)));
    for (auto const& body :
         {std::string(), std::string("{}"), std::string("\x80\x81"),
          replaced(valid_announcement, "\"ready\"", "\"sleeping\""),
          replaced(valid_announcement, "\"ready\"", "3"),
          replaced(valid_announcement, "\"service\"", "\"servus\""),
          replaced(valid_announcement, "16000", "\"many\""),
          replaced(valid_announcement, "1775540114535", "null"),
          replaced(valid_announcement, "\"zone\":\"north\"", "\"zone\":7")})
        CHECK_FALSE(ok(platform::read_announcement("i-1", body)));
}

TEST_CASE("a draining worker announces its remaining time")
{
    auto const read = platform::read_announcement(
        "i-1", replaced(
                   valid_announcement, "\"ready\"",
                   "\"draining\",\"drain_remaining_ms\":1500"));
    REQUIRE(ok(read));
    CHECK(value(read).facts.is_draining);
    CHECK(value(read).facts.drain_remaining == 1500ms);
}

TEST_CASE("a configuration is parsed, and an invalid one is an error")
{
    auto const read = platform::read_configuration(
        R"({"version":7,"routes":[{"name":"r-1","host":"h.example",
        "prefix":"/p/","service":"s","priority":2,"max_attempts":3}],
        "services":[],"limits":{"max_body_bytes":1000}})");
    REQUIRE(ok(read));
    CHECK(value(read).version == 7);
    CHECK(
        value(read).queues.at(queue_id{"r-1"}) ==
        queue_policy{pool_id{"s"}, 2, 3});
    CHECK(value(read).max_body_bytes == 1000);
    for (auto const* text :
         {"", "{}", "[]", R"({"version":"7","routes":[]})",
          R"({"version":7,"routes":[{"name":"r"}]})"})
        CHECK_FALSE(ok(platform::read_configuration(text)));
}

TEST_CASE("the operator's keys are classified")
{
    CHECK(platform::classify_operator_key("op/config").is_configuration);
    auto const closed = platform::classify_operator_key("op/evacuate/north");
    CHECK(closed.closed_domain == failure_domain_id{"north"});
    auto const other = platform::classify_operator_key("op/else");
    CHECK_FALSE(other.is_configuration);
    CHECK_FALSE(other.closed_domain);
}

TEST_CASE("the route with the longest matching prefix of the host is chosen")
{
    queue_routes const routes(
        {{queue_id{"short"}, "h.example", "/p/"},
         {queue_id{"long"}, "h.example", "/p/q/"},
         {queue_id{"other"}, "o.example", "/p/"}});
    CHECK(routes.find("h.example", "/p/x")->queue == queue_id{"short"});
    CHECK(routes.find("h.example:80", "/p/q/x")->queue == queue_id{"long"});
    CHECK(routes.find("o.example", "/p/q/x")->rest == "q/x");
    CHECK_FALSE(routes.find("h.example", "/q/x"));
    CHECK_FALSE(routes.find("x.example", "/p/x"));
}
