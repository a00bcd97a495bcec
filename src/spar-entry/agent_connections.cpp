/// A changed address means that the agent has restarted: messages still queued
/// for the old address are dropped with its socket.
#include "spar-entry/agent_connections.hpp"

#include "peers/codec.hpp"

namespace sycamorespar {

agent_connections::agent_connections(
    entry_id self, incarnation self_incarnation)
    : self_(std::move(self)), incarnation_(self_incarnation)
{}

void agent_connections::set_own_address(std::string address)
{
    own_address_ = std::move(address);
}

void agent_connections::connect(
    worker_id const& worker, std::string const& address)
{
    auto& known = outboxes_[worker];
    if (known == nullptr || known->address() != address)
        known = std::make_unique<peers::outbox>(address);
}

void agent_connections::disconnect(worker_id const& worker)
{
    outboxes_.erase(worker);
}

bool agent_connections::send(worker_id const& to, peers::message const& body)
{
    auto const found = outboxes_.find(to);
    if (found == outboxes_.end())
        return false;
    return ok(found->second->send(
        peers::encode({self_.value, incarnation_, own_address_, body})));
}

} // namespace sycamorespar
