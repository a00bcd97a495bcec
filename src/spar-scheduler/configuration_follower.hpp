/// Keeps the operators' configuration in force.
#ifndef SYCAMORESPAR_SPAR_SCHEDULER_CONFIGURATION_FOLLOWER_HPP
#define SYCAMORESPAR_SPAR_SCHEDULER_CONFIGURATION_FOLLOWER_HPP

#include "platform/configuration.hpp"
#include "store/prefix_watch.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace sycamorespar {

/// Follows the operators' keys. A configuration never goes back.
class configuration_follower
{
public:
    /// \param on_change  called after each change that is in force.
    configuration_follower(
        event_loop& loop, kv_store const& store,
        std::function<void()> on_change);

    /// True once a configuration is in force.
    bool is_known() const { return current_.has_value(); }
    /// The version in force; zero before the first.
    std::uint64_t version() const { return current_ ? current_->version : 0; }
    /// The routes in force.
    queue_routes const& routes() const { return routes_; }
    /// What the scheduler needs of it.
    schedule_policy policy() const;
    /// When the store was last heard of.
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
