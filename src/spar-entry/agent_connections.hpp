/// The agents that an entry sends to.
#ifndef SYCAMORESPAR_SPAR_ENTRY_AGENT_CONNECTIONS_HPP
#define SYCAMORESPAR_SPAR_ENTRY_AGENT_CONNECTIONS_HPP

#include "libsycamorespar/ids.hpp"
#include "peers/message.hpp"
#include "peers/outbox.hpp"

#include <map>
#include <memory>
#include <string>

namespace sycamorespar {

/// One outbox for each agent that has sent a heartbeat.
class agent_connections
{
public:
    agent_connections(entry_id self, incarnation self_incarnation);

    /// Sets where this entry listens.
    void set_own_address(std::string address);
    /// Connects to an agent; a new address replaces the old one.
    void connect(worker_id const& worker, std::string const& address);
    /// Forgets an agent.
    void disconnect(worker_id const& worker);
    /// Sends a message. \return false where it was proved not sent.
    bool send(worker_id const& to, peers::message const& body);

private:
    entry_id self_;
    incarnation incarnation_;
    std::string own_address_;
    std::map<worker_id, std::unique_ptr<peers::outbox>> outboxes_;
};

} // namespace sycamorespar

#endif
