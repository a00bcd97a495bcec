/// Tracks the operators' configuration in the store.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_CONFIGURATION_FOLLOWER_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_CONFIGURATION_FOLLOWER_HPP

#include "platform/configuration.hpp"
#include "store/prefix_watch.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace sycamorespar {

/// Watches the operators' keys and applies each configuration with a higher
/// version than the active one.
class configuration_follower
{
public:
    /// \param on_change  called after each applied change.
    configuration_follower(
        event_loop& loop, kv_store const& store,
        std::function<void()> on_change);

    /// True once a configuration is active.
    bool is_known() const { return current_.has_value(); }
    /// The active version; zero before the first.
    std::uint64_t version() const { return current_ ? current_->version : 0; }
    /// The active routes.
    queue_routes const& routes() const { return routes_; }
    /// The scheduler's part of the configuration.
    schedule_policy policy() const;
    /// The time of the store's last answer.
    monotonic_time last_answer_at() const { return watch_->last_answer_at(); }

private:
    void apply_listing(std::vector<kv_item> const& items);
    void apply_change(kv_change const& change);
    void apply_item(kv_item const& item);

    std::function<void()> on_change_;
    std::optional<platform::configuration> current_;
    queue_routes routes_;
    std::set<failure_domain_id> closed_domains_;
    std::unique_ptr<prefix_watch> watch_;
};

} // namespace sycamorespar

#endif
