/// HTTP client on evhttp. If connecting fails, evhttp runs the request's
/// callback without its error callback; any later failure runs both. Only a
/// failed connect proves that the request was not sent, so only it is reported
/// as not_run.
#include "common/http_client.hpp"

#include "common/call_deadline.hpp"
#include "common/no_delay.hpp"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace sycamorespar {

namespace {

/// The most bytes of an answer that are read in one turn of the loop. With few,
/// a large answer takes many turns, which are long in a busy process.
constexpr std::size_t max_single_read = 256 * 1024;

evhttp_cmd_type method_type(std::string const& name)
{
    if (name == "POST")
        return EVHTTP_REQ_POST;
    if (name == "PUT")
        return EVHTTP_REQ_PUT;
    if (name == "DELETE")
        return EVHTTP_REQ_DELETE;
    return EVHTTP_REQ_GET;
}

char const* describe(evhttp_request_error code)
{
    switch (code) {
    case EVREQ_HTTP_TIMEOUT:
        return "no answer in time";
    case EVREQ_HTTP_EOF:
        return "connection closed before the whole answer";
    case EVREQ_HTTP_INVALID_HEADER:
        return "invalid header in the answer";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "connection failed while in use";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "answer larger than the limit";
    }
    return "failed";
}

http_response read_response(evhttp_request* raw)
{
    http_response response;
    response.status = evhttp_request_get_response_code(raw);
    for (auto* header = evhttp_request_get_input_headers(raw)->tqh_first;
         header != nullptr; header = header->next.tqe_next)
        response.headers.push_back({header->key, header->value});
    auto* body = evhttp_request_get_input_buffer(raw);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, response.body.data(), response.body.size());
    return response;
}

/// True if the end of the body is delimited. A body that ends with the
/// connection can't be distinguished from a truncated one.
bool has_known_length(http_response const& response)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return response.status == no_content || response.status == not_modified ||
           find_header(response.headers, "Content-Length") != nullptr ||
           find_header(response.headers, "Transfer-Encoding") != nullptr;
}

bool is_visible_ascii(char each)
{
    constexpr unsigned char first_printable = 0x21;
    constexpr unsigned char delete_character = 0x7f;
    auto const code = static_cast<unsigned char>(each);
    return code >= first_printable && code != delete_character;
}

/// evhttp resolves anything else as a host name, which blocks.
bool is_ip_address(std::string const& address)
{
    in6_addr number{};
    return evutil_inet_pton(AF_INET, address.c_str(), &number) == 1 ||
           evutil_inet_pton(AF_INET6, address.c_str(), &number) == 1;
}

/// The longest time of a call, unless moving bytes keep it going.
std::chrono::milliseconds total_timeout(http_client_limits const& limits)
{
    // evhttp's timeout also closes idle connections. If it is longer than the
    // call timeout, only the deadline limits the time of a call.
    constexpr int total_timeouts = 2;
    return limits.idle.count() == 0 ? limits.timeout * total_timeouts
                                    : limits.timeout;
}

call_deadline_limits deadline_limits(http_client_limits const& limits)
{
    auto const total = total_timeout(limits);
    // Moving bytes don't extend the call.
    if (limits.longest <= total)
        return {total, total, total};
    bool const has_pause = limits.max_pause.count() > 0;
    return {
        limits.timeout, has_pause ? limits.max_pause : limits.timeout,
        limits.longest};
}

/// evhttp writes the target unescaped and silently drops invalid headers, so
/// both are checked here.
bool is_well_formed(http_request const& request)
{
    constexpr std::string_view line_ends("\r\n\0", 3);
    bool const is_target_valid = std::all_of(
        request.target.begin(), request.target.end(), &is_visible_ascii);
    return is_target_valid && !request.target.empty() &&
           std::all_of(
               request.headers.begin(), request.headers.end(),
               [&](http_header const& header) {
                   return !header.name.empty() &&
                          std::all_of(
                              header.name.begin(), header.name.end(),
                              &is_visible_ascii) &&
                          header.name.find(':') == std::string::npos &&
                          header.value.find_first_of(line_ends) ==
                              std::string::npos;
               });
}

} // namespace

struct http_client::pending
{
    std::uint64_t number = 0;
    event_id timer = 0;
    monotonic_time begun_at{};
    http_request request;
    callback on_result;
};

struct http_client::connection
{
    http_client* owner = nullptr;
    evhttp_connection* handle = nullptr;
    bool busy = false;
    bool starting = false;
    bool failed_after_connect = false;
    evhttp_request_error failure_code = EVREQ_HTTP_EOF;
    std::uint64_t call_number = 0;
    event_id timer = 0;
    event_id connect_timer = 0;
    call_deadline deadline;
    callback on_result;

    ~connection() { close(); }

    /// Closes the connection and its request without running callbacks.
    void close()
    {
        if (handle != nullptr)
            evhttp_connection_free(handle);
        handle = nullptr;
    }

    static void on_error(evhttp_request_error code, void* argument)
    {
        auto* self = static_cast<connection*>(argument);
        self->failed_after_connect = true;
        self->failure_code = code;
    }

    static void on_done(evhttp_request* raw, void* argument)
    {
        static_cast<connection*>(argument)->finish(raw);
    }

    /// Excess bytes after a response would be parsed as the next response, so
    /// such a connection is not reused.
    void drop_if_not_drained()
    {
        auto* stream = evhttp_connection_get_bufferevent(handle);
        if (evbuffer_get_length(bufferevent_get_input(stream)) > 0)
            unusable = true;
    }

    /// Runs when bytes are added to the input buffer, or removed.
    static void on_input(
        evbuffer* /*input*/, evbuffer_cb_info const* change, void* argument)
    {
        auto* self = static_cast<connection*>(argument);
        if (!self->busy || change->n_added == 0)
            return;
        auto const before = self->deadline.at();
        self->deadline.on_received(event_loop::now());
        if (self->deadline.at() < before)
            self->owner->start_timer(*self);
    }

    /// Runs when bytes are added to the output buffer, or sent.
    static void
    on_output(evbuffer* output, evbuffer_cb_info const* change, void* argument)
    {
        auto* self = static_cast<connection*>(argument);
        if (change->n_deleted > 0 && evbuffer_get_length(output) > 0)
            self->deadline.on_part_sent(event_loop::now());
    }

    bool unusable = false;

    result<http_response> read_result(evhttp_request* raw) const
    {
        auto const peer = to_string(owner->where_);
        if (failed_after_connect)
            return error{
                "http.call", peer, describe(failure_code), outcome::unknown};
        if (raw == nullptr || evhttp_request_get_response_code(raw) == 0)
            return error{
                "http.connect", peer, "can't connect", outcome::not_run};
        auto response = read_response(raw);
        if (!has_known_length(response))
            return error{
                "http.call", peer, "answer without a length", outcome::unknown};
        return response;
    }

    bool is_connected() const
    {
        auto* stream = evhttp_connection_get_bufferevent(handle);
        sockaddr_storage peer{};
        socklen_t length = sizeof peer;
        auto const descriptor = bufferevent_getfd(stream);
        return descriptor >= 0 &&
               getpeername(
                   descriptor, reinterpret_cast<sockaddr*>(&peer), &length) ==
                   0;
    }

    callback end_call()
    {
        owner->loop_.cancel(timer);
        owner->loop_.cancel(connect_timer);
        busy = false;
        return std::exchange(on_result, nullptr);
    }

    void finish(evhttp_request* raw)
    {
        auto answer = read_result(raw);
        if (ok(answer))
            drop_if_not_drained();
        auto const call = end_call();
        if (starting) {
            owner->fail_later(call, failure(answer));
            return;
        }
        std::weak_ptr<bool> const guard = owner->alive_;
        call(std::move(answer));
        if (!guard.expired())
            owner->start_waiting();
    }
};

http_client::http_client(
    event_loop& loop, endpoint where, http_client_limits const& limits)
    : loop_(loop), where_(std::move(where)), limits_(limits),
      alive_(std::make_shared<bool>(true))
{}

http_client::~http_client()
{
    for (auto const& each : waiting_)
        loop_.cancel(each->timer);
    for (auto const& each : connections_) {
        loop_.cancel(each->timer);
        loop_.cancel(each->connect_timer);
    }
}

std::size_t http_client::in_flight() const
{
    return static_cast<std::size_t>(std::count_if(
        connections_.begin(), connections_.end(),
        [](auto const& each) { return each->busy; }));
}

void http_client::fail_later(callback on_result, error why)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(
        duration::zero(),
        [this, guard, on_result = std::move(on_result), why = std::move(why)] {
            if (guard.expired())
                return;
            on_result(why);
            if (!guard.expired())
                start_waiting();
        });
}

void http_client::call(http_request request, callback on_result)
{
    auto const peer = to_string(where_);
    if (!is_ip_address(where_.address)) {
        fail_later(
            std::move(on_result),
            {"http.connect", peer, "not an IP number", outcome::not_run});
        return;
    }
    if (!is_well_formed(request)) {
        fail_later(
            std::move(on_result),
            {"http.request", peer, "invalid target or header",
             outcome::not_run});
        return;
    }
    if (waiting_.size() >= limits_.max_waiting) {
        fail_later(
            std::move(on_result),
            {"http.queue", peer, "too many calls are waiting",
             outcome::not_run});
        return;
    }
    std::uint64_t const number = next_call_++;
    auto const timer = loop_.after(
        total_timeout(limits_), [this, number] { on_deadline(number); });
    waiting_.push_back(std::make_unique<pending>(pending{
        number, timer, event_loop::now(), std::move(request),
        std::move(on_result)}));
    start_waiting();
}

void http_client::on_deadline(std::uint64_t call_number)
{
    auto const peer = to_string(where_);
    auto const waiting =
        std::find_if(waiting_.begin(), waiting_.end(), [&](auto const& each) {
            return each->number == call_number;
        });
    if (waiting != waiting_.end()) {
        auto const on_result = std::move((*waiting)->on_result);
        waiting_.erase(waiting);
        on_result(error{
            "http.queue", peer, "no connection in time", outcome::not_run});
        return;
    }
    auto* const sent = find_call(call_number);
    if (sent == nullptr)
        return;
    if (event_loop::now() < sent->deadline.at())
        start_timer(*sent);
    else
        fail_sent(
            *sent,
            {"http.call", peer, sent->deadline.reason(), outcome::unknown});
}

void http_client::start_timer(connection& of)
{
    loop_.cancel(of.timer);
    of.timer = loop_.after(
        of.deadline.at() - event_loop::now(),
        [this, number = of.call_number] { on_deadline(number); });
}

http_client::connection* http_client::find_call(std::uint64_t call_number)
{
    auto const found = std::find_if(
        connections_.begin(), connections_.end(), [&](auto const& each) {
            return each->busy && each->call_number == call_number;
        });
    return found == connections_.end() ? nullptr : found->get();
}

void http_client::fail_sent(connection& chosen, error why)
{
    chosen.close();
    auto const on_result = chosen.end_call();
    std::weak_ptr<bool> const guard = alive_;
    on_result(std::move(why));
    if (!guard.expired())
        start_waiting();
}

// evhttp writes a request only once its connection is established, so that a
// call which is given up before was certainly not sent.
void http_client::on_connect_timeout(std::uint64_t call_number)
{
    auto* const sent = find_call(call_number);
    if (sent == nullptr || sent->is_connected())
        return;
    fail_sent(
        *sent, {"http.connect", to_string(where_), "no connection in time",
                outcome::not_run});
}

void http_client::watch_connecting(connection& chosen)
{
    if (limits_.connect_timeout.count() == 0)
        return;
    chosen.connect_timer = loop_.after(
        limits_.connect_timeout,
        [this, number = chosen.call_number] { on_connect_timeout(number); });
}

http_client::connection* http_client::find_connection()
{
    auto const free = std::find_if(
        connections_.begin(), connections_.end(),
        [](auto const& each) { return !each->busy; });
    if (free != connections_.end())
        return free->get();
    if (connections_.size() >= limits_.max_connections)
        return nullptr;
    connections_.push_back(std::make_unique<connection>());
    connections_.back()->owner = this;
    return connections_.back().get();
}

void http_client::start_waiting()
{
    while (!waiting_.empty()) {
        connection* const chosen = find_connection();
        if (chosen == nullptr)
            return;
        pending next = std::move(*waiting_.front());
        waiting_.erase(waiting_.begin());
        start(*chosen, std::move(next));
    }
}

void http_client::open(connection& chosen)
{
    chosen.unusable = false;
    chosen.handle = evhttp_connection_base_new(
        loop_.base(), nullptr, where_.address.c_str(), where_.port);
    evhttp_connection_set_retries(chosen.handle, 0);
    evhttp_connection_set_max_headers_size(
        chosen.handle, static_cast<ev_ssize_t>(limits_.max_header_bytes));
    evhttp_connection_set_max_body_size(
        chosen.handle, static_cast<ev_ssize_t>(limits_.max_body_bytes));
    auto const micros = std::chrono::duration_cast<std::chrono::microseconds>(
        std::max({limits_.timeout, limits_.idle, limits_.longest}));
    constexpr std::int64_t per_second = 1'000'000;
    timeval const timeout{
        micros.count() / per_second, micros.count() % per_second};
    evhttp_connection_set_timeout_tv(chosen.handle, &timeout);
    auto* const stream = evhttp_connection_get_bufferevent(chosen.handle);
    bufferevent_set_max_single_read(stream, max_single_read);
    evbuffer_add_cb(
        bufferevent_get_input(stream), &connection::on_input, &chosen);
    evbuffer_add_cb(
        bufferevent_get_output(stream), &connection::on_output, &chosen);
    if (limits_.is_urgent)
        bufferevent_priority_set(stream, event_loop::urgent_priority);
}

void http_client::start(connection& chosen, pending next)
{
    if (chosen.unusable)
        chosen.close();
    bool const is_new = chosen.handle == nullptr;
    if (is_new)
        open(chosen);
    chosen.busy = true;
    chosen.failed_after_connect = false;
    chosen.call_number = next.number;
    if (is_new)
        watch_connecting(chosen);
    chosen.timer = next.timer;
    chosen.deadline = call_deadline(deadline_limits(limits_), next.begun_at);
    chosen.on_result = std::move(next.on_result);
    auto* raw = evhttp_request_new(&connection::on_done, &chosen);
    evhttp_request_set_error_cb(raw, &connection::on_error);
    auto* headers = evhttp_request_get_output_headers(raw);
    evhttp_add_header(headers, "Host", to_string(where_).c_str());
    for (auto const& header : next.request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    auto* body = evhttp_request_get_output_buffer(raw);
    evbuffer_add(body, next.request.body.data(), next.request.body.size());
    chosen.starting = true;
    int const code = evhttp_make_request(
        chosen.handle, raw, method_type(next.request.method),
        next.request.target.c_str());
    chosen.starting = false;
    if (chosen.handle != nullptr)
        set_no_delay(chosen.handle);
    // evhttp runs no callback if it can't start to connect.
    if (code != 0 && chosen.busy)
        fail_later(
            chosen.end_call(), {"http.begin", to_string(where_),
                                "can't begin to connect", outcome::not_run});
}

} // namespace sycamorespar
