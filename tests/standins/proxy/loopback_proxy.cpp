/// A request that is to be delayed, or whose answer is to be cut, must arrive
/// in one piece; the calls of our clients do.
#include "standins/proxy/loopback_proxy.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace sycamorespar::standins {

namespace {

constexpr int backlog = 64;

sockaddr_in to_address(endpoint const& where)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &out.sin_addr);
    return out;
}

void reset_on_close(int descriptor)
{
    linger const at_once{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bufferevent* connect_to(event_loop& loop, endpoint const& where)
{
    auto* const stream =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto const address = to_address(where);
    bufferevent_socket_connect(
        stream, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    return stream;
}

} // namespace

struct loopback_proxy::connection
{
    loopback_proxy& owner;
    bufferevent* near = nullptr;
    bufferevent* far = nullptr;
    bool is_silent = false;
    std::string last_request;

    connection(loopback_proxy& of, int descriptor)
        : owner(of), near(bufferevent_socket_new(
                         of.loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)),
          far(connect_to(of.loop_, of.target_))
    {
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
        auto* const input = bufferevent_get_input(from);
        if (self.is_silent) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        if (from == self.far) {
            if (!self.owner.holds_answers())
                self.pass_answer(input);
            return;
        }
        if (self.owner.holds_requests())
            return;
        self.last_request = self.unsent_request();
        if (!self.owner.delayed_text_.empty()) {
            auto const& request = self.last_request;
            if (self.owner.is_delayed(request)) {
                self.is_silent = true;
                evbuffer_drain(input, request.size());
                self.owner.send_later(request, self.owner.delay_);
                return;
            }
        }
        evbuffer_add_buffer(bufferevent_get_output(self.far), input);
    }

    /// Passes the bytes of an answer on, or half of them if it is to be cut.
    void pass_answer(evbuffer* input)
    {
        auto* const output = bufferevent_get_output(near);
        if (evbuffer_get_length(input) > 1 && owner.is_cut(last_request)) {
            is_silent = true;
            evbuffer_remove_buffer(
                input, output, evbuffer_get_length(input) / 2);
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        evbuffer_add_buffer(output, input);
    }

    /// The bytes of the caller that were not passed on.
    std::string unsent_request() const
    {
        auto* const input = bufferevent_get_input(near);
        std::string request(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, request.data(), request.size());
        return request;
    }

    static void on_event(bufferevent* at, short what, void* argument)
    {
        auto& self = *static_cast<connection*>(argument);
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        bool const is_abandoned =
            at == self.near && !self.is_silent && self.owner.holds_requests();
        if (is_abandoned)
            self.owner.abandoned_.push_back(self.unsent_request());
        self.owner.close(self, false);
    }
};

loopback_proxy::loopback_proxy(event_loop& loop, endpoint target)
    : loop_(loop), target_(std::move(target)),
      alive_(std::make_shared<bool>(true))
{}

loopback_proxy::~loopback_proxy()
{
    for (auto* const each : late_)
        bufferevent_free(each);
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

result<done> loopback_proxy::listen(endpoint const& where)
{
    auto const address = to_address(where);
    listener_ = evconnlistener_new_bind(
        loop_.base(), &on_accepted, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<sockaddr const*>(&address), sizeof address);
    if (listener_ == nullptr)
        return error{"proxy.listen", to_string(where), "can't listen"};
    return done{};
}

void loopback_proxy::on_accepted(
    evconnlistener* /*listener*/, int descriptor, sockaddr* /*peer*/,
    int /*length*/, void* argument)
{
    static_cast<loopback_proxy*>(argument)->open(descriptor);
}

void loopback_proxy::open(int descriptor)
{
    if (mode_ == proxy_mode::reset) {
        reset_on_close(descriptor);
        ::close(descriptor);
        return;
    }
    auto made = std::make_unique<connection>(*this, descriptor);
    made->is_silent = mode_ == proxy_mode::silent;
    connections_.insert(std::move(made));
}

void loopback_proxy::close(connection& of, bool with_reset)
{
    if (with_reset)
        reset_on_close(bufferevent_getfd(of.near));
    std::erase_if(
        connections_, [&](auto const& each) { return each.get() == &of; });
}

void loopback_proxy::set_mode(proxy_mode mode)
{
    mode_ = mode;
    if (mode == proxy_mode::reset)
        reset_connections();
    else if (mode == proxy_mode::silent)
        silence_connections();
    release();
}

bool loopback_proxy::holds_requests() const
{
    return mode_ == proxy_mode::hold_requests || mode_ == proxy_mode::hold;
}

bool loopback_proxy::holds_answers() const
{
    return mode_ == proxy_mode::hold_answers || mode_ == proxy_mode::hold;
}

// Passes on what was held back, as far as the mode still allows it.
void loopback_proxy::release()
{
    for (auto const& each : connections_) {
        connection::on_read(each->far, each.get());
        connection::on_read(each->near, each.get());
    }
    if (holds_requests())
        return;
    for (auto const& request : std::exchange(abandoned_, {})) {
        if (!request.empty())
            send_later(request, std::chrono::milliseconds::zero());
    }
}

void loopback_proxy::reset_connections()
{
    std::vector<connection*> open;
    for (auto const& each : connections_)
        open.push_back(each.get());
    for (auto* const each : open)
        close(*each, true);
}

void loopback_proxy::silence_connections()
{
    for (auto const& each : connections_)
        each->is_silent = true;
}

void loopback_proxy::delay_next(
    std::string const& text, std::chrono::milliseconds delay)
{
    delayed_text_ = text;
    delay_ = delay;
}

bool loopback_proxy::is_delayed(std::string const& request)
{
    if (request.find(delayed_text_) == std::string::npos)
        return false;
    delayed_text_.clear();
    return true;
}

void loopback_proxy::cut_next_answer(std::string const& text)
{
    cut_text_ = text;
}

bool loopback_proxy::is_cut(std::string const& request)
{
    if (!cut_text_ || request.find(*cut_text_) == std::string::npos)
        return false;
    cut_text_.reset();
    return true;
}

// The answer isn't read: nobody waits for it any more.
void loopback_proxy::send_later(
    std::string const& request, std::chrono::milliseconds delay)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(delay, [this, guard, request] {
        if (guard.expired())
            return;
        auto* const stream = connect_to(loop_, target_);
        late_.insert(stream);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        bufferevent_write(stream, request.data(), request.size());
    });
}

} // namespace sycamorespar::standins
