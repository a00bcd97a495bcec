/// nng receives on threads of its own. The event loop polls the socket's
/// receive descriptor and reads the messages itself, so no state is shared
/// between threads.
#include "peers/inbox.hpp"

#include "peers/codec.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <string_view>

namespace sycamorespar::peers {

namespace {

/// Number of messages handled before the loop continues with other events.
constexpr int batch_messages = 256;

} // namespace

inbox::inbox(event_loop& loop, handler on_message, fault_handler on_fault)
    : loop_(loop), on_message_(std::move(on_message)),
      on_fault_(std::move(on_fault))
{
    nng_socket socket{};
    nng_pull0_open(&socket);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_message_bytes);
    socket_ = socket.id;
}

inbox::~inbox()
{
    loop_.cancel(receive_event_);
    nng_close(nng_socket{socket_});
}

result<std::string> inbox::listen(endpoint const& where)
{
    std::string const url = "tcp://" + to_string(where);
    nng_listener listener{};
    int code = nng_listen(nng_socket{socket_}, url.c_str(), &listener, 0);
    if (code != 0)
        return error{"peer.listen", url, nng_strerror(code)};
    int port = 0;
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    int descriptor = -1;
    code = nng_socket_get_int(nng_socket{socket_}, NNG_OPT_RECVFD, &descriptor);
    if (code != 0)
        return error{"peer.listen", url, nng_strerror(code)};
    receive_event_ =
        loop_.on_readable(descriptor, [this] { receive_pending(); });
    return "tcp://" + where.address + ":" + std::to_string(port);
}

void inbox::receive_pending()
{
    for (int count = 0; count < batch_messages; ++count) {
        nng_msg* raw = nullptr;
        if (nng_recvmsg(nng_socket{socket_}, &raw, NNG_FLAG_NONBLOCK) != 0)
            return;
        auto received = decode(
            {static_cast<char const*>(nng_msg_body(raw)), nng_msg_len(raw)});
        nng_msg_free(raw);
        if (ok(received))
            on_message_(value(received));
        else
            on_fault_(failure(received));
    }
}

} // namespace sycamorespar::peers
