/// Outgoing connections from an entry to its agents.
#ifndef SYCAMORESPAR_SPAR_ENTRY_AGENT_CONNECTIONS_HPP
#define SYCAMORESPAR_SPAR_ENTRY_AGENT_CONNECTIONS_HPP

#include "libsycamorespar/ids.hpp"
#include "peers/message.hpp"
#include "peers/outbox.hpp"

#include <map>
#include <memory>
#include <string>

namespace sycamorespar {

/// Keeps one outbox for each agent that has sent a message.
class agent_connections
{
public:
    agent_connections(entry_id self, incarnation self_incarnation);

    /// Sets the address at which agents reach this entry; sent in each message.
    void set_own_address(std::string address);
    /// Connects to an agent; a changed address replaces the old connection.
    void connect(worker_id const& worker, std::string const& address);
    /// Closes the connection and drops its queued messages.
    void disconnect(worker_id const& worker);
    /// Sends a message.
    /// \return false if it was certainly not sent.
    bool send(worker_id const& to, peers::message const& body);

private:
    entry_id self_;
    incarnation incarnation_;
    std::string own_address_;
    std::map<worker_id, std::unique_ptr<peers::outbox>> outboxes_;
};

} // namespace sycamorespar

#endif
