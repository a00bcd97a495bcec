/// A malformed configuration is logged, and the previous one stays active.
#include "spar-scheduler/configuration_follower.hpp"

#include "common/log.hpp"

#include <utility>

namespace sycamorespar {

configuration_follower::configuration_follower(
    event_loop& loop, kv_store const& store, std::function<void()> on_change)
    : on_change_(std::move(on_change))
{
    watch_ = std::make_unique<prefix_watch>(
        loop, store, platform::operator_prefix,
        prefix_watch::observer{
            [this](auto const& items) { apply_listing(items); },
            [this](auto const& change) {
                apply_change(change);
            }});
}

void configuration_follower::apply_listing(std::vector<kv_item> const& items)
{
    closed_domains_.clear();
    for (auto const& item : items)
        apply_item(item);
    on_change_();
}

void configuration_follower::apply_change(kv_change const& change)
{
    if (change.is_removal) {
        auto const parts = platform::classify_operator_key(change.item.key);
        if (parts.closed_domain && closed_domains_.erase(*parts.closed_domain))
            log_event(
                log_level::info, "domain_opened",
                {{"failure_domain", parts.closed_domain->value}});
    } else {
        apply_item(change.item);
    }
    on_change_();
}

void configuration_follower::apply_item(kv_item const& item)
{
    auto const parts = platform::classify_operator_key(item.key);
    if (parts.closed_domain) {
        closed_domains_.insert(*parts.closed_domain);
        log_event(
            log_level::info, "domain_closed",
            {{"failure_domain", parts.closed_domain->value}});
    }
    if (!parts.is_configuration)
        return;
    auto configuration = platform::read_configuration(item.value);
    if (!ok(configuration)) {
        log_error("configuration_unreadable", failure(configuration));
        return;
    }
    if (current_ && value(configuration).version <= current_->version)
        return;
    current_ = take(std::move(configuration));
    routes_ = queue_routes(current_->routes);
    log_event(
        log_level::info, "configuration_in_force",
        {{"version", current_->version}, {"revision", item.revision}});
}

schedule_policy configuration_follower::policy() const
{
    return {
        current_ ? current_->queues : std::map<queue_id, queue_policy>{},
        closed_domains_};
}

} // namespace sycamorespar
