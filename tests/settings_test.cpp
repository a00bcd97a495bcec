/// Tests of settings files and daemons' command lines, and their errors.
#include "common/json_text.hpp"
#include "common/program.hpp"
#include "common/settings.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace sycamorespar;

namespace {

char const* const schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["name"],
  "properties": {
    "name": {"type": "string", "minLength": 1},
    "upstreams": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "properties": {
          "port": {"type": "integer", "minimum": 1, "maximum": 65535}
        }
      }
    }
  }
})";

/// A settings file that is removed at the end of the test.
struct settings_file
{
    std::string path =
        "/tmp/settings_test." + std::to_string(getpid()) + ".json";

    explicit settings_file(std::string const& text)
    {
        std::ofstream(path) << text;
    }
    ~settings_file() { std::remove(path.c_str()); }
};

std::string reason_of(std::string const& text)
{
    settings_file const file(text);
    auto const loaded = load_settings(file.path, schema);
    if (ok(loaded))
        return "";
    CHECK(failure(loaded).peer == file.path);
    CHECK(failure(loaded).reason.find('\n') == std::string::npos);
    return failure(loaded).reason;
}

program_description const description{"spar-test", "Tests.", schema};

template<std::size_t Size>
std::variant<started_program, early_exit>
start(std::array<char const*, Size> const& words)
{
    return start_program(static_cast<int>(Size), words.data(), description);
}

} // namespace

TEST_CASE("valid settings are loaded")
{
    CHECK(reason_of(R"({"name": "a", "upstreams": [{"port": 80}]})").empty());
}

TEST_CASE("an error starts with the path of the key")
{
    using Catch::StartsWith;
    CHECK(
        reason_of(R"({"name": "a", "upstreams": [{}, {"prot": 1}]})") ==
        "upstreams[1].prot: unknown key");
    CHECK(reason_of(R"({"name": "a", "extra": 1})") == "extra: unknown key");
    CHECK_THAT(
        reason_of(R"({"name": "a", "upstreams": [{"port": "80"}]})"),
        StartsWith("upstreams[0].port: "));
    CHECK_THAT(
        reason_of(R"({"name": "a", "upstreams": [{"port": 70000}]})"),
        StartsWith("upstreams[0].port: "));
    CHECK_THAT(reason_of("{}"), StartsWith("(top level): Missing required"));
}

TEST_CASE("duplicate keys are rejected at any depth")
{
    CHECK(reason_of(R"({"name": "a", "name": "b"})") == "name: duplicate key");
    CHECK(
        reason_of(R"({"upstreams": [{}, {"port": 1, "port": 2}]})") ==
        "upstreams[1].port: duplicate key");
}

TEST_CASE("size, depth and syntax are checked")
{
    using Catch::Contains;
    CHECK_THAT(
        reason_of(std::string(max_settings_bytes + 1, ' ')),
        Contains("longer than"));
    CHECK_THAT(reason_of(std::string(100'000, '[')), Contains("nested deeper"));
    CHECK_THAT(reason_of("{\"name\": }"), Contains("line 1, column 10"));
    CHECK_FALSE(ok(load_settings("/no/such/file", schema)));
    CHECK(ok(parse_json("[[1]]", {100, 2})));
    CHECK_FALSE(ok(parse_json("[[[1]]]", {100, 2})));
}

TEST_CASE("the command line ends early with the right code")
{
    using words_1 = std::array<char const*, 1>;
    using words_2 = std::array<char const*, 2>;
    auto const help = start(words_2{"spar-test", "--help"});
    CHECK(std::get<early_exit>(help).code == exit_success);
    auto const version = start(words_2{"spar-test", "--version"});
    CHECK(std::get<early_exit>(version).code == exit_success);
    auto const missing = start(words_1{"spar-test"});
    CHECK(std::get<early_exit>(missing).code == exit_usage);
    auto const stray = start(words_2{"spar-test", "word"});
    CHECK(std::get<early_exit>(stray).code == exit_usage);
    auto const unknown = start(words_2{"spar-test", "--unknown"});
    CHECK(std::get<early_exit>(unknown).code == exit_usage);
}

TEST_CASE("settings are checked without starting")
{
    using words = std::array<char const*, 4>;
    settings_file const good(R"({"name": "a"})");
    auto const checked = start(words{
        "spar-test", "--settings", good.path.c_str(), "--check-settings"});
    CHECK(std::get<early_exit>(checked).code == exit_success);
    auto const started = start(words{
        "spar-test", "--settings", good.path.c_str(), "--log-level=error"});
    CHECK(std::get<started_program>(started).settings["name"] == "a");
    auto const wrong_level = start(words{
        "spar-test", "--settings", good.path.c_str(), "--log-level=loud"});
    CHECK(std::get<early_exit>(wrong_level).code == exit_usage);
    auto const absent =
        start(words{"spar-test", "--settings", "/no/such", "--check-settings"});
    CHECK(std::get<early_exit>(absent).code == exit_usage);
}
