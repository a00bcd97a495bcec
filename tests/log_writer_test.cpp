/// Tests of the non-blocking log writer and the filter of repeated errors.
#include "common/log_writer.hpp"
#include "libsycamorespar/repeat_filter.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <unistd.h>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

/// A pipe that is read only on request.
struct slow_reader
{
    std::array<int, 2> ends{-1, -1};

    slow_reader() { REQUIRE(pipe(ends.data()) == 0); }
    ~slow_reader()
    {
        close(ends[0]);
        close(ends[1]);
    }
    slow_reader(slow_reader const&) = delete;
    slow_reader& operator=(slow_reader const&) = delete;

    std::string read_some() const
    {
        std::array<char, 65536> buffer{};
        auto const got = read(ends[0], buffer.data(), buffer.size());
        return {buffer.data(), static_cast<std::size_t>(got)};
    }
};

} // namespace

TEST_CASE(
    "a stalled reader doesn't block the writer, and dropped lines are counted")
{
    slow_reader reader;
    log_writer writer(reader.ends[1], 4096);
    std::string const line(1000, 'x');
    // The pipe's buffer is 64 KiB; a blocking write would never return.
    for (int count = 0; count < 200; ++count)
        writer.write(line);
    CHECK(writer.left_out() > 0);
    auto const left_out = writer.left_out();
    std::string text = reader.read_some();
    writer.write("the next line");
    text += reader.read_some();
    CHECK(writer.left_out() == left_out);
    CHECK(
        text.find(
            "event=log_lines_left_out count=" + std::to_string(left_out)) !=
        std::string::npos);
    CHECK(text.ends_with("the next line\n"));
}

TEST_CASE("a repeated error is reported once per period, with its count")
{
    repeat_filter filter(1s);
    monotonic_time now{1h};
    CHECK(filter.pass("a", now) == 0U);
    CHECK(filter.pass("b", now) == 0U);
    for (int count = 0; count < 5; ++count)
        CHECK_FALSE(filter.pass("a", now + 500ms).has_value());
    CHECK(filter.pass("a", now + 1s) == 5U);
    CHECK(filter.pass("b", now + 2s) == 0U);
}
