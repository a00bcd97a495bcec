/// Room is what a worker says that it has, less what every run holds that has
/// not been listed as ended: a run that is being stopped still holds its room.
#include "libsycamorespar/worker_registry.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace sycamorespar {

namespace {

/// What a run of a step away from its preferred rack costs in the choice, in
/// the same unit as the free part of a worker.
constexpr double rack_bonus = 1.0;

/// The part of all fillers that one more serving image on a worker is thought
/// to bear: what harms one task of an image harms all of them.
constexpr double share_left_per_image = 0.35;

/// Breaks ties between workers that lose as much room for fillers: the fuller
/// one is filled up first.
constexpr double packing_weight = 0.05;

/// The part of its target that a serving task's tail may be planned to reach.
constexpr double max_planned_tail = 0.85;

/// Deviations of an estimate that count as harm. A filler in the wrong place
/// costs its neighbours and itself; one that waits a little costs little.
constexpr double deviation_weight = 1.0;

/// A filler that a worker bears this many times over is as good as harmless.
constexpr double max_headroom = 3.0;

/// What keeps parts of little finite.
constexpr double min_idle_share = 0.001;

/// Figures cover half a second; they are taken this far apart.
constexpr std::chrono::milliseconds measurement_interval{250};

/// How far back figures reach, and a pace that is not in force yet.
constexpr std::chrono::milliseconds measurement_window{700};

/// A filler that adds less than this to a load is taken on in any case.
constexpr double negligible_load = 0.015;

/// A worker whose runs may go on for less than this gets no new ones: they
/// would lapse almost at once.
constexpr std::chrono::milliseconds min_time_to_expiry{2500};

/// A worker on which tasks crawl is only chosen where no other has room.
constexpr double slow_worker_penalty = 10.0;

/// A serving task shows a tail once it is at work.
constexpr std::uint32_t serving_percent = 100;

/// The part of what other tasks reserve that they use, as a rule.
constexpr double usual_utilization = 0.6;

double share_of(registered_worker const& worker, std::int64_t millicores)
{
    auto const whole =
        std::max(worker.facts.capacity.millicores, std::int64_t{1});
    return static_cast<double>(millicores) / static_cast<double>(whole);
}

/// The share of the worker with which a filler shows in the tails. One that
/// has just begun worked at full speed at first, which a tail shows for as
/// long as its figures reach back.
double effective_share(
    registered_worker const& worker, placed_run const& placed,
    monotonic_time now)
{
    bool const is_new =
        !placed.reported_at || now - *placed.reported_at < measurement_window;
    return share_of(
        worker, is_new ? placed.facts.backfill_millicores : placed.figure);
}

/// How much of the idle processors fillers would use with one more, in parts.
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

/// The processors, in thousandths, that a worker with this many serving images
/// may be expected to lend to fillers.
double backfill_capacity(
    registered_worker const& worker, std::size_t images, std::int64_t reserved)
{
    auto const idle = static_cast<double>(worker.facts.capacity.millicores) -
                      usual_utilization * static_cast<double>(reserved);
    return idle * std::pow(share_left_per_image, static_cast<double>(images));
}

/// What fillers lose by a serving task, in parts of what the task reserves.
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
    auto& kept = runs[run];
    kept = placed;
    kept.order = next_order++;
    orders.emplace_back(start_order{
        kept.order, run, std::move(payload), std::move(checkpoint),
        placed.facts, std::move(hints)});
}

void registered_worker::order_stop(run_id const& run)
{
    auto const found = runs.find(run);
    if (found != runs.end()) {
        if (found->second.is_stopping)
            return;
        found->second.is_stopping = true;
    }
    orders.emplace_back(stop_order{next_order++, run});
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
    // What the runner's earlier life was told, its list of runs will show.
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

// How much of the filler's full speed the worst-off serving task can bear,
// beside the fillers that are there already at theirs.
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
                static_cast<double>(placed.figure) /
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
