/// Home entries are chosen by rendezvous hashing, so that agents are spread
/// evenly over the entries and the agents of a lost entry are spread over all
/// remaining ones.
#include "spar-agent/entry_connections.hpp"

#include "peers/codec.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

/// Number of unanswered heartbeats whose time of sending is kept for each
/// entry. The answer to an older heartbeat is ignored.
constexpr std::size_t max_unanswered_heartbeats = 16;

} // namespace

entry_connections::entry_connections(
    worker_id self, incarnation own_incarnation, std::uint32_t home_entries)
    : self_(std::move(self)), incarnation_(own_incarnation),
      home_entries_(home_entries)
{}

void entry_connections::set_own_address(std::string address)
{
    own_address_ = std::move(address);
}

void entry_connections::update(std::vector<entry_address> const& registered)
{
    std::vector<entry_address> ranked = registered;
    auto const rank = [this](entry_address const& each) {
        return peers::checksum(self_.value + "/" + each.id.value);
    };
    std::sort(
        ranked.begin(), ranked.end(),
        [&rank](entry_address const& left, entry_address const& right) {
            return rank(left) > rank(right);
        });
    if (ranked.size() > home_entries_)
        ranked.resize(home_entries_);
    std::erase_if(connections_, [&ranked](auto const& known) {
        return std::none_of(
            ranked.begin(), ranked.end(), [&known](entry_address const& each) {
                return each.id == known.first &&
                       each.address == known.second.out->address();
            });
    });
    for (entry_address const& each : ranked) {
        auto& known = connections_[each.id];
        if (known.out == nullptr)
            known.out = std::make_unique<peers::outbox>(each.address);
    }
}

bool entry_connections::send(entry_id const& to, peers::message const& body)
{
    auto const found = connections_.find(to);
    if (found == connections_.end())
        return false;
    return ok(found->second.out->send(
        peers::encode({self_.value, incarnation_, own_address_, body})));
}

void entry_connections::send_heartbeats(agent_report report, monotonic_time now)
{
    permit const issued = report.issued;
    // The permit is left out of the comparison, as it changes with each
    // heartbeat.
    report.issued = {};
    if (version_ == 0 || report != last_report_) {
        ++version_;
        last_report_ = report;
    }
    report.issued = issued;
    report.version = version_;
    for (auto& [id, each] : connections_) {
        ++each.last_sequence;
        each.sent_at.emplace(each.last_sequence, now);
        if (each.sent_at.size() > max_unanswered_heartbeats)
            each.sent_at.erase(each.sent_at.begin());
        if (each.sent_version == version_) {
            send(
                id, peers::repeated_heartbeat{
                        issued, version_, each.last_sequence});
            continue;
        }
        if (send(id, peers::heartbeat{report, each.last_sequence}))
            each.sent_version = version_;
    }
}

void entry_connections::on_report_request(entry_id const& from)
{
    auto const found = connections_.find(from);
    if (found != connections_.end())
        found->second.sent_version = 0;
}

std::optional<monotonic_time> entry_connections::on_answer(
    entry_id const& from, peers::heartbeat_answer const& answer)
{
    auto const found = connections_.find(from);
    if (found == connections_.end())
        return std::nullopt;
    auto const sent = found->second.sent_at.find(answer.sequence);
    if (sent == found->second.sent_at.end())
        return std::nullopt;
    monotonic_time const at = sent->second;
    found->second.sent_at.erase(found->second.sent_at.begin(), std::next(sent));
    found->second.shards = {answer.shards.begin(), answer.shards.end()};
    last_answer_ = std::max(last_answer_.value_or(at), at);
    return at;
}

std::vector<entry_id> entry_connections::holders_of(shard_id shard) const
{
    std::vector<entry_id> holders;
    for (auto const& [id, each] : connections_) {
        if (each.shards.contains(shard))
            holders.push_back(id);
    }
    return holders;
}

std::vector<entry_id> entry_connections::entries() const
{
    std::vector<entry_id> ids;
    for (auto const& [id, each] : connections_)
        ids.push_back(id);
    return ids;
}

} // namespace sycamorespar
