/// Implements registered_worker: the orders of a session.
#include "libsycamorespar/registered_worker.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

bool registered_worker::is_usable() const
{
    return is_listed && is_reachable && is_recorded && unknown_runs.empty() &&
           undecided_runs.empty() && !facts.is_draining;
}

double registered_worker::share_of(std::int64_t millicores) const
{
    auto const whole = std::max(facts.capacity.millicores, std::int64_t{1});
    return static_cast<double>(millicores) / static_cast<double>(whole);
}

bool registered_worker::has_label(std::string const& label) const
{
    return std::find(facts.labels.begin(), facts.labels.end(), label) !=
           facts.labels.end();
}

void registered_worker::order_start(
    run_id const& run, std::string payload, std::string checkpoint,
    placed_run const& placed, std::vector<contention_hint> hints)
{
    auto& added = runs.insert(run, placed);
    added.order = next_order++;
    orders.emplace_back(start_order{
        added.order, run, std::move(payload), std::move(checkpoint),
        placed.facts, std::move(hints)});
}

bool registered_worker::order_stop(run_id const& run)
{
    if (auto* const placed = runs.find(run)) {
        if (placed->is_stopping)
            return false;
        placed->is_stopping = true;
    }
    orders.emplace_back(stop_order{next_order++, run});
    return true;
}

bool registered_worker::has_stop_order(run_id const& run) const
{
    return std::any_of(
        orders.begin(), orders.end(), [&](runner_order const& order) {
            auto const* const stop = std::get_if<stop_order>(&order);
            return stop != nullptr && stop->run == run;
        });
}

void registered_worker::begin_session(
    incarnation started, std::uint64_t new_token)
{
    runner = started;
    last_sequence = 0;
    assign_token(new_token);
}

void registered_worker::assign_token(std::uint64_t new_token)
{
    token = new_token;
    has_new_token = true;
    is_listed = false;
    orders.clear();
    next_order = 1;
    sent_through = 0;
    unknown_runs.clear();
    // The new incarnation's list of runs shows which orders the previous one
    // carried out, and which of the undecided runs are still there.
    runs.visit([](run_id const&, placed_run& placed) {
        placed.order = 0;
        placed.is_stopping = false;
        placed.is_described = false;
    });
}

void registered_worker::confirm_orders(std::uint64_t through)
{
    std::erase_if(orders, [through](runner_order const& order) {
        return number_of(order) <= through;
    });
    sent_through = through;
}

} // namespace sycamorespar
