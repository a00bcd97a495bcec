/// Orders the heartbeats of one agent incarnation by permit epoch, so that a
/// delayed heartbeat can't overwrite a newer report.
#include "libsycamorespar/agent_directory.hpp"

namespace sycamorespar {

bool agent_directory::on_heartbeat(
    agent_report const& report, monotonic_time now)
{
    auto const [position, is_new] = agents_.try_emplace(report.worker);
    known_agent& known = position->second;
    bool const same_incarnation =
        !is_new && known.report.issued.agent == report.issued.agent;
    if (same_incarnation && report.issued.epoch <= known.report.issued.epoch)
        return false;
    known.report = report;
    known.last_heartbeat = now;
    return !same_incarnation;
}

bool agent_directory::on_repeated_heartbeat(
    worker_id const& worker, permit const& issued, std::uint64_t version,
    monotonic_time now)
{
    auto const found = agents_.find(worker);
    if (found == agents_.end())
        return false;
    agent_report& report = found->second.report;
    if (report.issued.agent != issued.agent || report.version != version)
        return false;
    if (issued.epoch <= report.issued.epoch)
        return true;
    report.issued = issued;
    found->second.last_heartbeat = now;
    return true;
}

std::vector<worker_id> agent_directory::remove_silent(monotonic_time now)
{
    std::vector<worker_id> silent;
    for (auto const& [worker, agent] : agents_) {
        if (now - agent.last_heartbeat >= silence_limit)
            silent.push_back(worker);
    }
    for (worker_id const& worker : silent)
        agents_.erase(worker);
    return silent;
}

known_agent const* agent_directory::find(worker_id const& worker) const
{
    auto const found = agents_.find(worker);
    return found != agents_.end() ? &found->second : nullptr;
}

bool agent_directory::is_usable(known_agent const& agent, monotonic_time now)
{
    return !agent.report.leaving &&
           now - agent.last_heartbeat < permit_usable_for;
}

} // namespace sycamorespar
