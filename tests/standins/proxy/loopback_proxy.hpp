/// A TCP proxy between processes on this machine that can cut connections off.
#ifndef SYCAMORESPAR_TESTS_STANDINS_PROXY_LOOPBACK_PROXY_HPP
#define SYCAMORESPAR_TESTS_STANDINS_PROXY_LOOPBACK_PROXY_HPP

#include "common/event_loop.hpp"
#include "common/http_message.hpp"
#include "libsycamorespar/result.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace sycamorespar::standins {

/// What a proxy does with connections.
enum class proxy_mode : std::uint8_t
{
    /// Passes the bytes on.
    pass,
    /// Resets all connections, and each new one.
    reset,
    /// Passes nothing on; connections stay open.
    silent,
    /// Holds the requests back until the mode changes; they arrive then, also
    /// those whose callers have given up.
    hold_requests,
    /// Holds the answers back until the mode changes.
    hold_answers,
    /// Holds both back.
    hold
};

/// Listens at one endpoint and passes connections on to another.
class loopback_proxy
{
public:
    loopback_proxy(event_loop& loop, endpoint target);
    ~loopback_proxy();
    loopback_proxy(loopback_proxy const&) = delete;
    loopback_proxy& operator=(loopback_proxy const&) = delete;

    /// Starts to listen.
    /// \return done; or an error of step "proxy.listen".
    result<done> listen(endpoint const& where);
    /// Changes the mode. Connections that were silent stay so.
    void set_mode(proxy_mode mode);
    /// Resets the connections that are open.
    void reset_connections();
    /// Silences the connections that are open; new ones work.
    void silence_connections();
    /// The next request that contains this text gets no answer, and reaches the
    /// target after the delay.
    void delay_next(std::string const& text, std::chrono::milliseconds delay);
    /// The next answer to a request that contains this text arrives in part;
    /// its connection is silent from then on.
    void cut_next_answer(std::string const& text);
    /// Forgets the answer that was to be cut.
    void cancel_cut() { cut_text_.reset(); }

private:
    struct connection;

    static void on_accepted(
        evconnlistener* listener, int descriptor, sockaddr* peer, int length,
        void* argument);
    void open(int descriptor);
    void close(connection& of, bool with_reset);
    bool is_delayed(std::string const& request);
    bool is_cut(std::string const& request);
    bool holds_requests() const;
    bool holds_answers() const;
    void release();
    void
    send_later(std::string const& request, std::chrono::milliseconds delay);

    event_loop& loop_;
    endpoint target_;
    evconnlistener* listener_ = nullptr;
    proxy_mode mode_ = proxy_mode::pass;
    std::set<std::unique_ptr<connection>> connections_;
    std::set<bufferevent*> late_;
    std::string delayed_text_;
    std::chrono::milliseconds delay_{0};
    std::optional<std::string> cut_text_;
    /// Requests that are held back and whose callers have closed.
    std::vector<std::string> abandoned_;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar::standins

#endif
