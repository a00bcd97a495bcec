/// A TCP proxy that can let a connection go silent in the middle of an answer.
#ifndef REVIEW_STAND_2_CUTTING_PROXY_HPP
#define REVIEW_STAND_2_CUTTING_PROXY_HPP

#include "common/event_loop.hpp"
#include "common/http_message.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

struct evconnlistener;
struct sockaddr;

namespace review {

/// Listens at one endpoint and passes connections on to another.
class cutting_proxy
{
public:
    cutting_proxy(
        sycamorespar::event_loop& loop, sycamorespar::endpoint target);
    ~cutting_proxy();
    cutting_proxy(cutting_proxy const&) = delete;
    cutting_proxy& operator=(cutting_proxy const&) = delete;

    /// Starts to listen. \return false if that failed.
    bool listen(sycamorespar::endpoint const& where);
    /// Of the next answer with a body of this size at least, on a connection
    /// whose last request contains this text, half of the body is passed on.
    /// Then that connection is silent for good.
    void cut_next(
        std::string const& request_text, std::size_t least_body,
        std::function<void()> on_cut);

private:
    struct connection;

    static void on_accepted(
        evconnlistener* listener, int descriptor, sockaddr* peer, int length,
        void* argument);
    void close(connection& of);

    sycamorespar::event_loop& loop_;
    sycamorespar::endpoint target_;
    evconnlistener* listener_ = nullptr;
    std::set<std::unique_ptr<connection>> connections_;
    std::string cut_text_;
    std::size_t least_body_ = 0;
    std::function<void()> on_cut_;
};

} // namespace review

#endif
