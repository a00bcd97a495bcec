/// Status 502 is never used, as load balancers repeat such requests by
/// themselves. A request that was not run is answered with 503 and may be
/// repeated. An unknown outcome is answered with 504, as only the caller can
/// decide whether it is safe to repeat the request.
#include "callers/request_http.hpp"

#include <charconv>
#include <fmt/format.h>
#include <strings.h>

namespace sycamorespar::callers {

namespace {

constexpr std::chrono::milliseconds max_deadline{60000};
constexpr std::size_t max_name_bytes = 64;

result<std::chrono::milliseconds> read_deadline(std::string const& text)
{
    std::int64_t number = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, number);
    std::chrono::milliseconds const deadline{number};
    bool const valid = parsed.ec == std::errc() && parsed.ptr == end &&
                       number > 0 && deadline <= max_deadline;
    if (!valid)
        return error{
            "caller.deadline", "",
            "X-Spar-Deadline-Ms must be a number from 1 to 60000"};
    return deadline;
}

bool is_scheduler_header(std::string const& name)
{
    constexpr char const* prefix = "X-Spar-";
    constexpr std::size_t length = 7;
    return strncasecmp(name.c_str(), prefix, length) == 0;
}

} // namespace

result<caller_request> read_request(http_request const& from)
{
    std::string const prefix = request_path;
    std::string const rest = from.target.substr(prefix.size());
    auto const name_end = rest.find_first_of("/?");
    std::string const row = rest.substr(0, name_end);
    if (row.empty() || row.size() > max_name_bytes)
        return error{"caller.row", "", "the path names no row"};
    caller_request read;
    read.row = row_id{row};
    read.forwarded = from;
    read.forwarded.target =
        name_end == std::string::npos ? "/" : rest.substr(name_end);
    if (read.forwarded.target.front() != '/')
        read.forwarded.target = fmt::format("/{}", read.forwarded.target);
    std::erase_if(read.forwarded.headers, [](http_header const& each) {
        return is_scheduler_header(each.name) ||
               strcasecmp(each.name.c_str(), "Host") == 0 ||
               strcasecmp(each.name.c_str(), "Content-Length") == 0;
    });
    if (auto const* caller = find_header(from.headers, "X-Spar-Caller"))
        read.caller = caller->substr(0, max_name_bytes);
    if (auto const* repeat = find_header(from.headers, "X-Spar-Repeat"))
        read.never_repeat = *repeat == "never";
    auto const* deadline = find_header(from.headers, "X-Spar-Deadline-Ms");
    if (deadline == nullptr)
        return read;
    auto const parsed = read_deadline(*deadline);
    if (!ok(parsed))
        return failure(parsed);
    read.deadline = value(parsed);
    return read;
}

char const* outcome_name(outcome what)
{
    switch (what) {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

http_response ran_response(http_response from)
{
    std::erase_if(from.headers, [](http_header const& each) {
        return strcasecmp(each.name.c_str(), "Content-Length") == 0 ||
               strcasecmp(each.name.c_str(), "Transfer-Encoding") == 0 ||
               strcasecmp(each.name.c_str(), "Connection") == 0;
    });
    from.headers.push_back({"X-Spar-Outcome", outcome_name(outcome::ran)});
    return from;
}

http_response failed_response(
    outcome what, std::string const& reason,
    std::chrono::milliseconds retry_after)
{
    constexpr int unavailable = 503;
    constexpr int gateway_timeout = 504;
    http_response response;
    response.status = what == outcome::not_run ? unavailable : gateway_timeout;
    response.headers.push_back({"X-Spar-Outcome", outcome_name(what)});
    if (what == outcome::not_run) {
        auto const seconds =
            std::chrono::ceil<std::chrono::seconds>(retry_after).count();
        response.headers.push_back({"Retry-After", fmt::format("{}", seconds)});
    }
    response.body = reason + "\n";
    return response;
}

} // namespace sycamorespar::callers
