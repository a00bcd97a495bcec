/// Receives messages from our processes on the event loop's thread.
#ifndef SYCAMORESPAR_PEERS_INBOX_HPP
#define SYCAMORESPAR_PEERS_INBOX_HPP

#include "common/event_loop.hpp"
#include "libsycamorespar/result.hpp"
#include "peers/message.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace sycamorespar::peers {

/// A pull socket whose messages arrive as callbacks of the loop.
class inbox
{
public:
    /// Receives each message that could be read.
    using handler = std::function<void(envelope const&)>;
    /// Receives the error of each one that could not.
    using fault_handler = std::function<void(error const&)>;

    inbox(event_loop& loop, handler on_message, fault_handler on_fault);
    ~inbox();
    inbox(inbox const&) = delete;
    inbox& operator=(inbox const&) = delete;

    /// Listens at an address and port; port 0 picks one.
    /// \return the transport address in use.
    result<std::string> listen(endpoint const& where);

private:
    void drain();

    event_loop& loop_;
    handler on_message_;
    fault_handler on_fault_;
    std::uint32_t socket_ = 0;
    event_id receive_event_ = 0;
};

} // namespace sycamorespar::peers

#endif
