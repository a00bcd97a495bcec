/// Sends messages to another process of the scheduler.
#ifndef SYCAMORESPAR_PEERS_OUTBOX_HPP
#define SYCAMORESPAR_PEERS_OUTBOX_HPP

#include "libsycamorespar/result.hpp"
#include "peers/message.hpp"

#include <cstdint>
#include <string>

namespace sycamorespar::peers {

/// A push socket to one address. It connects and reconnects by itself, never
/// blocks, and sends each message at most once.
class outbox
{
public:
    /// \param address  the URL of the peer, such as "tcp://127.0.0.1:7001".
    explicit outbox(std::string address);
    ~outbox();
    outbox(outbox const&) = delete;
    outbox& operator=(outbox const&) = delete;

    /// Queues a message for sending. An error proves that it was not sent.
    result<done> send(std::string const& bytes);
    /// The address of the peer.
    std::string const& address() const { return address_; }

private:
    std::string address_;
    std::uint32_t socket_ = 0;
};

} // namespace sycamorespar::peers

#endif
