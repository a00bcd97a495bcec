/// An HTTP server on evhttp. evhttp has no limits by default, so header size,
/// body size and idle time are limited here.
#include "common/http_server.hpp"

#include "common/no_delay.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdexcept>
#include <sys/socket.h>

namespace sycamorespar {

namespace {

char const* method_name(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

std::string read_body(evbuffer* from)
{
    std::string body(evbuffer_get_length(from), '\0');
    evbuffer_copyout(from, body.data(), body.size());
    return body;
}

http_request read_request(evhttp_request* raw)
{
    http_request request;
    request.method = method_name(evhttp_request_get_command(raw));
    char const* uri = evhttp_request_get_uri(raw);
    request.target = uri != nullptr ? uri : "/";
    for (auto* header = evhttp_request_get_input_headers(raw)->tqh_first;
         header != nullptr; header = header->next.tqe_next)
        request.headers.push_back({header->key, header->value});
    request.body = read_body(evhttp_request_get_input_buffer(raw));
    return request;
}

} // namespace

http_server::http_server(
    event_loop& loop, http_server_limits const& limits, handler on_request)
    : loop_(loop), limits_(limits), on_request_(std::move(on_request)),
      server_(evhttp_new(loop.base())), alive_(std::make_shared<bool>(true))
{
    if (server_ == nullptr)
        throw std::runtime_error("evhttp_new failed");
    evhttp_set_max_headers_size(
        server_, static_cast<ev_ssize_t>(limits.max_header_bytes));
    evhttp_set_max_body_size(
        server_, static_cast<ev_ssize_t>(limits.max_body_bytes));
    evhttp_set_timeout(server_, static_cast<int>(limits.timeout.count()));
    evhttp_set_allowed_methods(
        server_,
        EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(server_, &http_server::on_raw_request, this);
}

http_server::~http_server()
{
    evhttp_free(server_);
}

result<endpoint> http_server::listen(endpoint const& where)
{
    auto* bound = evhttp_bind_socket_with_handle(
        server_, where.address.c_str(), where.port);
    if (bound == nullptr)
        return error{"http.listen", to_string(where), "can't bind the address"};
    listener_ = bound;
    sockaddr_in chosen{};
    socklen_t length = sizeof chosen;
    getsockname(
        evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&chosen),
        &length);
    return endpoint{where.address, ntohs(chosen.sin_port)};
}

void http_server::on_raw_request(evhttp_request* raw, void* argument)
{
    static_cast<http_server*>(argument)->handle(raw);
}

void http_server::on_closed(evhttp_connection* raw, void* argument)
{
    static_cast<http_server*>(argument)->remove_exchanges(raw);
}

void http_server::remove_exchanges(evhttp_connection* connection)
{
    std::erase_if(exchanges_, [connection](auto const& open) {
        return evhttp_request_get_connection(open.second) == connection;
    });
}

void http_server::handle(evhttp_request* raw)
{
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(raw), &http_server::on_closed, this);
    set_no_delay(evhttp_request_get_connection(raw));
    exchange_id const id = next_id_++;
    exchanges_.emplace(id, raw);
    on_request_(id, read_request(raw));
}

void http_server::respond(exchange_id exchange, http_response const& response)
{
    auto const found = exchanges_.find(exchange);
    if (found == exchanges_.end())
        return;
    evhttp_request* raw = found->second;
    exchanges_.erase(found);
    auto* headers = evhttp_request_get_output_headers(raw);
    for (auto const& header : response.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    if (!accepting_)
        evhttp_add_header(headers, "Connection", "close");
    auto* body = evhttp_request_get_output_buffer(raw);
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(raw, response.status, nullptr, nullptr);
}

void http_server::close_unanswered(exchange_id exchange)
{
    // Deferred: evhttp may still use the connection after the handler that
    // called this returns.
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(duration::zero(), [this, exchange, guard] {
        if (guard.expired())
            return;
        auto const found = exchanges_.find(exchange);
        if (found == exchanges_.end())
            return;
        evhttp_request* raw = found->second;
        exchanges_.erase(found);
        evhttp_connection* connection = evhttp_request_get_connection(raw);
        if (connection != nullptr)
            evhttp_connection_free(connection);
        else
            evhttp_request_free(raw);
    });
}

void http_server::stop_accepting()
{
    accepting_ = false;
    if (listener_ == nullptr)
        return;
    evhttp_del_accept_socket(server_, listener_);
    listener_ = nullptr;
}

} // namespace sycamorespar
