#include "cutting_proxy.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <utility>

namespace review {

using namespace sycamorespar;

namespace {

sockaddr_in to_address(endpoint const& where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    return address;
}

std::string take_all(evbuffer* from)
{
    std::string bytes(evbuffer_get_length(from), '\0');
    evbuffer_remove(from, bytes.data(), bytes.size());
    return bytes;
}

} // namespace

struct cutting_proxy::connection
{
    cutting_proxy& owner;
    bufferevent* near;
    bufferevent* far;
    std::string last_request;
    bool is_silent = false;

    connection(cutting_proxy& of, int descriptor)
        : owner(of), near(bufferevent_socket_new(
                         of.loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)),
          far(bufferevent_socket_new(
              of.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        auto const address = to_address(of.target_);
        bufferevent_socket_connect(
            far, reinterpret_cast<sockaddr const*>(&address), sizeof address);
        bufferevent_setcb(near, &on_read, nullptr, &on_event, this);
        bufferevent_setcb(far, &on_read, nullptr, &on_event, this);
        bufferevent_enable(near, EV_READ | EV_WRITE);
        bufferevent_enable(far, EV_READ | EV_WRITE);
    }
    ~connection()
    {
        bufferevent_free(near);
        bufferevent_free(far);
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    static void on_read(bufferevent* from, void* argument)
    {
        auto& self = *static_cast<connection*>(argument);
        auto bytes = take_all(bufferevent_get_input(from));
        if (self.is_silent)
            return;
        if (from == self.near) {
            self.last_request = bytes;
            bufferevent_write(self.far, bytes.data(), bytes.size());
            return;
        }
        auto const body = bytes.find("\r\n\r\n");
        bool const is_cut =
            !self.owner.cut_text_.empty() && body != std::string::npos &&
            self.last_request.find(self.owner.cut_text_) != std::string::npos &&
            bytes.size() - body - 4 >= self.owner.least_body_;
        if (is_cut) {
            self.is_silent = true;
            self.owner.cut_text_.clear();
            bytes.resize(body + 4 + (bytes.size() - body - 4) / 2);
        }
        bufferevent_write(self.near, bytes.data(), bytes.size());
        if (is_cut)
            self.owner.on_cut_();
    }

    static void on_event(bufferevent* at, short what, void* argument)
    {
        auto& self = *static_cast<connection*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        // Of a silent connection the peer hears nothing.
        if (at == self.far && self.is_silent)
            return;
        self.owner.close(self);
    }
};

cutting_proxy::cutting_proxy(event_loop& loop, endpoint target)
    : loop_(loop), target_(std::move(target))
{}

cutting_proxy::~cutting_proxy()
{
    connections_.clear();
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

bool cutting_proxy::listen(endpoint const& where)
{
    constexpr int backlog = 128;
    auto const address = to_address(where);
    listener_ = evconnlistener_new_bind(
        loop_.base(), &on_accepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<sockaddr const*>(&address), sizeof address);
    return listener_ != nullptr;
}

void cutting_proxy::on_accepted(
    evconnlistener* /*listener*/, int descriptor, sockaddr* /*peer*/,
    int /*length*/, void* argument)
{
    auto& self = *static_cast<cutting_proxy*>(argument);
    self.connections_.insert(std::make_unique<connection>(self, descriptor));
}

void cutting_proxy::close(connection& of)
{
    std::erase_if(
        connections_, [&](auto const& each) { return each.get() == &of; });
}

void cutting_proxy::cut_next(
    std::string const& request_text, std::size_t least_body,
    std::function<void()> on_cut)
{
    cut_text_ = request_text;
    least_body_ = least_body;
    on_cut_ = std::move(on_cut);
}

} // namespace review
