/// Receives messages from other processes of the scheduler.
#ifndef SYCAMORESPAR_PEERS_INBOX_HPP
#define SYCAMORESPAR_PEERS_INBOX_HPP

#include "common/event_loop.hpp"
#include "libsycamorespar/result.hpp"
#include "peers/message.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace sycamorespar::peers {

/// A pull socket whose messages are delivered on the event loop's thread.
class inbox
{
public:
    /// Called for each decoded message.
    using handler = std::function<void(envelope const&)>;
    /// Called with the error for each message that could not be decoded.
    using fault_handler = std::function<void(error const&)>;

    inbox(event_loop& loop, handler on_message, fault_handler on_fault);
    ~inbox();
    inbox(inbox const&) = delete;
    inbox& operator=(inbox const&) = delete;

    /// Listens at an address and port; port 0 selects a free one.
    /// \return the URL that peers send to, such as "tcp://127.0.0.1:7001".
    result<std::string> listen(endpoint const& where);

private:
    void receive_pending();

    event_loop& loop_;
    handler on_message_;
    fault_handler on_fault_;
    std::uint32_t socket_ = 0;
    event_id receive_event_ = 0;
};

} // namespace sycamorespar::peers

#endif
