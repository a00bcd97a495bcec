/// An agent's connections to its home entries.
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

/// The address that an entry has registered for messages from agents.
struct entry_address
{
    /// The entry.
    entry_id id;
    /// Its transport address.
    std::string address;
};

/// Holds an outbox for each home entry, tracks the unanswered heartbeats and
/// the ledger shards that each entry has last reported as held.
class entry_connections
{
public:
    /// \param self             sent with each message.
    /// \param own_incarnation  sent with each message.
    /// \param home_entries     the number of entries to connect to.
    entry_connections(
        worker_id self, incarnation own_incarnation,
        std::uint32_t home_entries);

    /// Sets the address of this agent that is sent with each message.
    void set_own_address(std::string address);
    /// Selects the home entries from the registered ones, connects to new ones
    /// and closes the connections to all others.
    void update(std::vector<entry_address> const& registered);
    /// Sends a message to a home entry. Does nothing for another entry.
    /// \return false if the message was certainly not sent.
    bool send(entry_id const& to, peers::message const& body);
    /// Sends a heartbeat to all home entries: the whole report if it has
    /// changed or was requested, otherwise only its version.
    void send_heartbeats(agent_report report, monotonic_time now);
    /// Makes the next heartbeat to this entry carry the whole report.
    void on_report_request(entry_id const& from);
    /// Processes the answer to a heartbeat.
    /// \return when the heartbeat was sent; empty if that is no longer known.
    std::optional<monotonic_time>
    on_answer(entry_id const& from, peers::heartbeat_answer const& answer);
    /// The entries whose last answer names this shard as held.
    std::vector<entry_id> holders_of(shard_id shard) const;
    /// The home entries.
    std::vector<entry_id> entries() const;
    /// The time of sending of the latest answered heartbeat; empty before the
    /// first answer.
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
