/// Uses nng's push pattern, which unlike its request pattern never sends a
/// message again by itself. A message that is buffered while the peer is
/// unreachable may be delivered much later; permits and nonces make such a
/// message harmless.
#include "peers/outbox.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

namespace sycamorespar::peers {

namespace {

constexpr int send_buffer_messages = 512;
constexpr nng_duration reconnect_min_ms = 50;
constexpr nng_duration reconnect_max_ms = 1000;

} // namespace

outbox::outbox(std::string address) : address_(std::move(address))
{
    nng_socket socket{};
    nng_push0_open(&socket);
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, send_buffer_messages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
    nng_dial(socket, address_.c_str(), nullptr, NNG_FLAG_NONBLOCK);
    socket_ = socket.id;
}

outbox::~outbox()
{
    nng_close(nng_socket{socket_});
}

result<done> outbox::send(std::string const& bytes)
{
    nng_msg* raw = nullptr;
    if (nng_msg_alloc(&raw, 0) != 0)
        return error{"peer.send", address_, "out of memory"};
    nng_msg_append(raw, bytes.data(), bytes.size());
    int const code = nng_sendmsg(nng_socket{socket_}, raw, NNG_FLAG_NONBLOCK);
    if (code == 0)
        return done{};
    nng_msg_free(raw);
    return error{"peer.send", address_, nng_strerror(code)};
}

} // namespace sycamorespar::peers
