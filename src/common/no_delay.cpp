/// evhttp writes a message in several pieces with Nagle's algorithm on, so the
/// last piece of a long message would wait for the peer's delayed ACK.
#include "common/no_delay.hpp"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sycamorespar {

void set_no_delay(evhttp_connection* connection)
{
    auto* stream = evhttp_connection_get_bufferevent(connection);
    auto const descriptor = bufferevent_getfd(stream);
    if (descriptor < 0)
        return;
    int const enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

} // namespace sycamorespar
