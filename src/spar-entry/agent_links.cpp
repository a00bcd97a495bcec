/// An address that changed means a new life of the agent: what still waits for
/// the old one is dropped with its socket.
#include "spar-entry/agent_links.hpp"

#include "peers/codec.hpp"

namespace sycamorespar {

agent_links::agent_links(entry_id self, incarnation life)
    : self_(std::move(self)), life_(life)
{}

void agent_links::set_own_address(std::string address)
{
    own_address_ = std::move(address);
}

void agent_links::connect(worker_id const& worker, std::string const& address)
{
    auto& known = links_[worker];
    if (known == nullptr || known->address() != address)
        known = std::make_unique<peers::outbox>(address);
}

void agent_links::forget(worker_id const& worker)
{
    links_.erase(worker);
}

bool agent_links::send(worker_id const& to, peers::message const& body)
{
    auto const found = links_.find(to);
    if (found == links_.end())
        return false;
    return ok(found->second->send(
        peers::encode({self_.value, life_, own_address_, body})));
}

} // namespace sycamorespar
