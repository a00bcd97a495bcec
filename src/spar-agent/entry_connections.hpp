/// The entries that an agent knows, and what it last heard from each.
#ifndef SYCAMORESPAR_SPAR_AGENT_ENTRY_CONNECTIONS_HPP
#define SYCAMORESPAR_SPAR_AGENT_ENTRY_CONNECTIONS_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "peers/message.hpp"
#include "peers/outbox.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar {

/// Where an entry listens for agents, as it registered itself.
struct entry_address
{
    /// The entry.
    entry_id id;
    /// Its transport address.
    std::string address;
};

/// One outbox for each home entry, and the asks that are not answered yet.
class entry_connections
{
public:
    /// \param self sent with each message.
    entry_connections(
        worker_id self, incarnation own_incarnation,
        std::uint32_t home_entries);

    /// Sets where this agent listens.
    void set_own_address(std::string address);
    /// Takes a new list of registered entries and keeps the home ones.
    void update(std::vector<entry_address> const& registered);
    /// Sends to one entry; dropped where it is unknown.
    /// \return false where it was proved not sent.
    bool send(entry_id const& to, peers::message const& body);
    /// Sends a heartbeat to all home entries: the whole report where it has
    /// changed or was asked for, else only its version.
    void send_heartbeats(agent_report report, monotonic_time now);
    /// The entry does not have the report.
    void on_report_request(entry_id const& from);
    /// Notes an answer. \return when its heartbeat was sent, if known.
    std::optional<monotonic_time>
    on_answer(entry_id const& from, peers::heartbeat_answer const& answer);
    /// The entries that last claimed this shard.
    std::vector<entry_id> holders_of(shard_id shard) const;
    /// The home entries.
    std::vector<entry_id> entries() const;
    /// When an entry last answered; empty where none ever did.
    std::optional<monotonic_time> last_answer() const { return last_answer_; }

private:
    struct connection
    {
        std::unique_ptr<peers::outbox> out;
        std::uint64_t last_sequence = 0;
        std::uint64_t sent_version = 0;
        std::map<std::uint64_t, monotonic_time> sent_at;
        std::set<shard_id> shards;
    };

    worker_id self_;
    incarnation incarnation_;
    std::uint32_t home_entries_;
    std::string own_address_;
    std::map<entry_id, connection> connections_;
    agent_report last_report_;
    std::uint64_t version_ = 0;
    std::optional<monotonic_time> last_answer_;
};

} // namespace sycamorespar

#endif
