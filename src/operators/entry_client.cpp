/// A blocking client that runs its own event loop for each call.
#include "operators/entry_client.hpp"

#include "common/event_loop.hpp"
#include "common/http_client.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace sycamorespar {

namespace {

constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;

result<http_response> call_one(
    endpoint const& entry, http_request const& request,
    std::chrono::milliseconds timeout)
{
    event_loop loop;
    http_client_limits limits;
    limits.timeout = timeout;
    limits.max_body_bytes = max_answer_bytes;
    http_client client(loop, entry, limits);
    std::optional<result<http_response>> answer;
    client.call(request, [&](result<http_response> got) {
        answer = std::move(got);
        loop.stop();
    });
    if (!answer)
        loop.run();
    return std::move(*answer);
}

bool may_try_next(result<http_response> const& answer)
{
    return !ok(answer) && failure(answer).effect == outcome::not_run;
}

} // namespace

result<endpoint> parse_entry_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    endpoint where;
    if (colon != std::string::npos && colon != 0) {
        where.address = text.substr(0, colon);
        auto const* end = text.data() + text.size();
        auto const read =
            std::from_chars(text.data() + colon + 1, end, where.port);
        if (read.ec == std::errc{} && read.ptr == end && where.port != 0)
            return where;
    }
    return error{"endpoint.read", "", "\"" + text + "\" is not IP:PORT"};
}

entry_client::entry_client(
    std::vector<endpoint> entries, std::chrono::milliseconds timeout)
    : entries_(std::move(entries)), timeout_(timeout)
{}

result<http_response> entry_client::call(http_request const& request) const
{
    result<http_response> answer =
        error{"entry.call", "", "no entry was given"};
    for (auto const& entry : entries_) {
        answer = call_one(entry, request, timeout_);
        if (!may_try_next(answer))
            break;
    }
    return answer;
}

} // namespace sycamorespar
