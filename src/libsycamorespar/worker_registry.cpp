/// Free capacity is the announced capacity less the reservations of all runs
/// that have not been reported as ended. A run that is being stopped still
/// counts, since it uses its resources until it ends.
#include "libsycamorespar/worker_registry.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace sycamorespar {

namespace {

/// Score for a worker on the preferred rack, in the unit of the free part of a
/// worker's processors.
constexpr double rack_bonus = 1.0;

/// Expected part of the backfill work that a worker can still run with one more
/// serving image on it. Counted by image, not by task: a backfill task that
/// slows one task of an image slows all of them.
constexpr double share_left_per_image = 0.35;

/// Breaks ties between workers that lose the same capacity for backfill tasks:
/// prefers the worker with less free capacity.
constexpr double packing_weight = 0.05;

/// Highest planned tail latency of a serving task, as a part of its target.
constexpr double max_planned_tail = 0.85;

/// Standard deviations that are added to an estimate of contention. Estimates
/// are pessimistic because a badly placed backfill task costs its neighbours
/// and itself, while a short wait costs little.
constexpr double deviation_weight = 1.0;

/// Upper bound of the headroom: more than this is no better in the score.
constexpr double max_headroom = 3.0;

/// Avoids division by zero on a worker without idle processors.
constexpr double min_idle_share = 0.001;

/// Least time between two model updates from one worker. Each measurement
/// covers half a second.
constexpr std::chrono::milliseconds measurement_interval{250};

/// Time until a measurement no longer includes the first full speed of a new
/// run: the span of a measurement plus the delay until a pace takes effect.
constexpr std::chrono::milliseconds measurement_window{700};

/// A backfill task that adds less than this to a load is always accepted.
constexpr double negligible_load = 0.015;

/// A worker whose runs expire sooner than this gets no new ones, because they
/// would lapse almost at once.
constexpr std::chrono::milliseconds min_time_to_expiry{2500};

/// Large enough that a slow worker is only chosen if no other has capacity.
constexpr double slow_worker_penalty = 10.0;

/// Progress at which a serving task handles requests and has a tail latency.
constexpr std::uint32_t serving_percent = 100;

/// Assumed part of the reserved processors that tasks use.
constexpr double usual_utilization = 0.6;

double share_of(registered_worker const& worker, std::int64_t millicores)
{
    auto const whole =
        std::max(worker.facts.capacity.millicores, std::int64_t{1});
    return static_cast<double>(millicores) / static_cast<double>(whole);
}

/// The share of the worker's processors with which a backfill task affects the
/// measured tail latencies. A new run starts at full speed, and this affects
/// the measurements until their window has passed.
double effective_share(
    registered_worker const& worker, placed_run const& placed,
    monotonic_time now)
{
    bool const is_new =
        !placed.reported_at || now - *placed.reported_at < measurement_window;
    return share_of(
        worker, is_new ? placed.facts.backfill_millicores : placed.measurement);
}

/// The part of the idle processors that backfill tasks would use with one more.
double
idle_utilization(registered_worker const& worker, placement_query const& query)
{
    auto const idle = 1.0 - usual_utilization *
                                share_of(worker, worker.reserved().millicores);
    auto const wanted = share_of(
        worker, worker.backfill_millicores() + query.backfill_millicores);
    return wanted / std::max(idle, min_idle_share);
}

std::uint32_t runs_of_step(registered_worker const& worker, task_id const& step)
{
    return static_cast<std::uint32_t>(std::count_if(
        worker.runs.begin(), worker.runs.end(), [&](auto const& entry) {
            auto const& task = entry.first.task;
            return task.job == step.job && task.occurrence == step.occurrence &&
                   task.step == step.step;
        }));
}

/// Expected capacity for backfill tasks, in millicores, of a worker with this
/// many serving images.
double backfill_capacity(
    registered_worker const& worker, std::size_t images, std::int64_t reserved)
{
    auto const idle = static_cast<double>(worker.facts.capacity.millicores) -
                      usual_utilization * static_cast<double>(reserved);
    return idle * std::pow(share_left_per_image, static_cast<double>(images));
}

/// The capacity for backfill tasks that a serving task would take away, as a
/// multiple of what the task reserves.
double
backfill_loss(registered_worker const& worker, placement_query const& query)
{
    std::set<std::string> images;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.target.count() > 0)
            images.insert(placed.facts.image);
    }
    auto const reserved = worker.reserved().millicores;
    auto const before = backfill_capacity(worker, images.size(), reserved);
    images.insert(query.image);
    auto const after = backfill_capacity(
        worker, images.size(), reserved + query.need.millicores);
    auto const need = std::max(query.need.millicores, std::int64_t{1});
    return (before - after) / static_cast<double>(need);
}

bool may_take_work(
    registered_worker const& worker, placement_query const& query,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
{
    return worker.is_listed && worker.is_reachable && worker.is_recorded &&
           worker.unknown_runs.empty() &&
           now + min_time_to_expiry < worker.runs_expire_at &&
           now >= worker.cooldown_until && !worker.facts.is_draining &&
           worker.facts.pool == query.pool &&
           !closed_domains.contains(worker.facts.domain) &&
           !query.excluded.contains(worker.id);
}

bool meets_requirements(
    registered_worker const& worker, placement_query const& query)
{
    if (!query.required_label.empty() &&
        !worker.has_label(query.required_label))
        return false;
    if (query.max_per_worker != 0 &&
        runs_of_step(worker, query.step) >= query.max_per_worker)
        return false;
    return fits(query.need, worker.facts.capacity - worker.reserved());
}

double free_part(registered_worker const& worker)
{
    auto const& capacity = worker.facts.capacity;
    if (capacity.millicores <= 0)
        return 0.0;
    auto const free = capacity.millicores - worker.reserved().millicores;
    return static_cast<double>(free) / static_cast<double>(capacity.millicores);
}

} // namespace

resources registered_worker::reserved() const
{
    resources sum;
    for (auto const& [run, placed] : runs)
        sum += placed.need;
    return sum;
}

std::int64_t registered_worker::backfill_millicores() const
{
    std::int64_t sum = 0;
    for (auto const& [run, placed] : runs)
        sum += placed.facts.backfill_millicores;
    return sum;
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
    auto& added = runs[run];
    added = placed;
    added.order = next_order++;
    orders.emplace_back(start_order{
        added.order, run, std::move(payload), std::move(checkpoint),
        placed.facts, std::move(hints)});
}

bool registered_worker::order_stop(run_id const& run)
{
    auto const found = runs.find(run);
    if (found != runs.end()) {
        if (found->second.is_stopping)
            return false;
        found->second.is_stopping = true;
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
    token = new_token;
    has_new_token = true;
    is_listed = false;
    orders.clear();
    next_order = 1;
    sent_through = 0;
    unknown_runs.clear();
    // The new incarnation's list of runs shows which orders the previous one
    // carried out.
    for (auto& [run, placed] : runs) {
        placed.order = 0;
        placed.is_stopping = false;
        placed.is_described = false;
    }
}

void registered_worker::confirm_orders(std::uint64_t through)
{
    std::erase_if(orders, [through](runner_order const& order) {
        return number_of(order) <= through;
    });
    sent_through = through;
}

registered_worker* worker_registry::find(worker_id const& id)
{
    auto const found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

registered_worker const* worker_registry::find(worker_id const& id) const
{
    auto const found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

double worker_registry::score(
    registered_worker const& worker, placement_query const& query,
    monotonic_time now) const
{
    double total = free_part(worker);
    if (query.fills)
        total = contention_headroom(worker, query, now) -
                idle_utilization(worker, query);
    else if (query.serves)
        total =
            -backfill_loss(worker, query) - packing_weight * free_part(worker);
    if (!query.preferred_rack.value.empty() &&
        worker.has_label(query.preferred_rack.value))
        total += rack_bonus;
    if (worker.progress.is_slow(now))
        total -= slow_worker_penalty;
    return total;
}

// The part of its full speed at which the backfill task could run without
// pushing any serving task over its planned tail latency, given the backfill
// tasks that already run there. Above 1 it can run at full speed.
double worker_registry::contention_headroom(
    registered_worker const& worker, placement_query const& query,
    monotonic_time now) const
{
    double least = max_headroom;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.target.count() == 0)
            continue;
        double left =
            contention_.load_at(placed.facts.image, max_planned_tail) -
            contention_.own_load_upper_bound(run);
        for (auto const& [other, backfill] : worker.runs) {
            if (backfill.facts.fills)
                left -=
                    contention_.pair(placed.facts.image, backfill.facts.image)
                        .mean *
                    effective_share(worker, backfill, now);
        }
        auto const pair = contention_.pair(placed.facts.image, query.image);
        auto const added =
            (pair.mean + deviation_weight * std::sqrt(pair.variance)) *
            share_of(worker, query.backfill_millicores);
        if (added < negligible_load)
            continue;
        least = std::min(least, left / added);
    }
    return least;
}

registered_worker* worker_registry::choose_alternative(
    placement_query query, worker_id const& current,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
{
    query.allows_contention = false;
    query.excluded.insert(current);
    return choose(query, closed_domains, now);
}

void worker_registry::update_contention(
    registered_worker& worker, monotonic_time now)
{
    if (now - worker.model_updated_at < measurement_interval)
        return;
    worker.model_updated_at = now;
    std::vector<backfill_neighbour> neighbours;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.fills)
            neighbours.push_back(
                {placed.facts.image, effective_share(worker, placed, now)});
    }
    for (auto const& [run, placed] : worker.runs) {
        auto const target = placed.facts.target.count();
        if (target > 0 && placed.percent == serving_percent)
            contention_.observe(
                run, placed.facts.image,
                static_cast<double>(placed.measurement) /
                    static_cast<double>(target),
                neighbours, now);
    }
}

std::vector<contention_hint> worker_registry::hints_for(
    registered_worker const& worker, std::string const& image) const
{
    std::map<std::string, contention_hint> hints;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.target.count() > 0)
            hints[placed.facts.image] = {
                placed.facts.image, image,
                contention_.pair(placed.facts.image, image)};
    }
    std::vector<contention_hint> listed;
    listed.reserve(hints.size());
    for (auto const& [serving, hint] : hints)
        listed.push_back(hint);
    return listed;
}

registered_worker* worker_registry::choose(
    placement_query const& query,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
{
    registered_worker* best = nullptr;
    double best_score = 0.0;
    for (auto& [id, worker] : workers_) {
        if (!may_take_work(worker, query, closed_domains, now) ||
            !meets_requirements(worker, query))
            continue;
        bool const must_avoid_contention =
            query.fills && !query.allows_contention;
        if (must_avoid_contention &&
            (contention_headroom(worker, query, now) < 1.0 ||
             idle_utilization(worker, query) > 1.0))
            continue;
        double const found = score(worker, query, now);
        if (best != nullptr && found <= best_score)
            continue;
        best = &worker;
        best_score = found;
    }
    return best;
}

} // namespace sycamorespar
