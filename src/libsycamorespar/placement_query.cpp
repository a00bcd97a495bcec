/// Free capacity is the announced capacity less the reservations of all runs
/// that have not been reported as ended. A run that is being stopped still
/// counts, since it uses its resources until it ends.
#include "libsycamorespar/placement_query.hpp"

#include <algorithm>
#include <cmath>
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
/// serving tasks prefer the worker with less free capacity, others the one with
/// more.
constexpr double free_part_weight = 0.05;

/// Expected part of the free room beside serving tasks of one image that later
/// tasks of the image need.
constexpr double room_needed_by_image = 0.5;

/// Standard deviations that are added to an estimate of contention. Estimates
/// are pessimistic because a badly placed backfill task costs its neighbours
/// and itself, while a short wait costs little.
constexpr double deviation_weight = 1.0;

/// Upper bound of the headroom: more than this is no better in the score.
constexpr double max_headroom = 3.0;

/// Avoids division by zero on a worker without idle processors.
constexpr double min_idle_share = 0.001;

/// A backfill task that adds less than this to a load is always accepted.
constexpr double negligible_load = 0.015;

/// Large enough that a slow worker is only chosen if no other has capacity.
constexpr double slow_worker_penalty = 10.0;

/// Assumed part of the reserved processors that tasks use.
constexpr double usual_utilization = 0.6;

/// The part of the idle processors that backfill tasks would use with one more.
double
idle_utilization(registered_worker const& worker, placement_query const& query)
{
    auto const idle =
        1.0 -
        usual_utilization * worker.share_of(worker.runs.reserved().millicores);
    auto const wanted = worker.share_of(
        worker.runs.backfill_millicores() + query.backfill_millicores);
    return wanted / std::max(idle, min_idle_share);
}

/// Expected part of the idle processors of a worker with this many serving
/// images that backfill tasks can use.
double usable_part(std::size_t images)
{
    return std::pow(share_left_per_image, static_cast<double>(images));
}

/// The capacity for backfill tasks that a task takes away by the processors
/// that it uses, as a multiple of what it reserves.
double loss_by_use(registered_worker const& worker)
{
    return usual_utilization * usable_part(worker.runs.serving_images());
}

/// The millicores that tasks of the step would reserve on the worker.
std::int64_t
step_room(registered_worker const& worker, placement_query const& query)
{
    auto const need = std::max(query.need.millicores, std::int64_t{1});
    auto room = std::min(
        worker.facts.capacity.millicores - worker.runs.reserved().millicores,
        query.step_millicores);
    if (query.max_per_worker > 0)
        room = std::min(room, need * std::int64_t{query.max_per_worker});
    return std::max(room, need);
}

/// The capacity for backfill tasks that a serving image takes away from a
/// worker on which it doesn't run yet, as a multiple of what its tasks reserve
/// there.
double
loss_by_image(registered_worker const& worker, placement_query const& query)
{
    auto const images = worker.runs.serving_images();
    auto const idle =
        static_cast<double>(worker.facts.capacity.millicores) -
        usual_utilization *
            static_cast<double>(worker.runs.reserved().millicores);
    auto const lost = idle * (usable_part(images) - usable_part(images + 1));
    auto const loss = lost / static_cast<double>(step_room(worker, query));
    if (images == 0)
        return loss;
    // The room was opened for other images, whose later tasks will need another
    // worker.
    return loss + room_needed_by_image * (1.0 - share_left_per_image);
}

/// The capacity for backfill tasks that a serving task takes away, as a
/// multiple of what the task reserves. A worker that takes its first task of an
/// image is lost to most backfill tasks; that loss is shared by all tasks of
/// the step that have room there.
double
serving_loss(registered_worker const& worker, placement_query const& query)
{
    if (worker.runs.serves_image(query.image))
        return loss_by_use(worker);
    return loss_by_image(worker, query);
}

double free_part(registered_worker const& worker)
{
    auto const& capacity = worker.facts.capacity;
    if (capacity.millicores <= 0)
        return 0.0;
    auto const free = capacity.millicores - worker.runs.reserved().millicores;
    return static_cast<double>(free) / static_cast<double>(capacity.millicores);
}

} // namespace

placement_scorer::placement_scorer(
    placement_query query, contention_model const& contention,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
    : query_(std::move(query)), contention_(contention),
      closed_domains_(closed_domains), now_(now)
{}

bool placement_scorer::may_take_work(registered_worker const& worker) const
{
    return worker.is_usable() &&
           now_ + min_time_to_expiry < worker.runs_expire_at &&
           now_ >= worker.cooldown_until && worker.facts.pool == query_.pool &&
           !closed_domains_.contains(worker.facts.domain) &&
           !query_.excluded.contains(worker.id);
}

bool placement_scorer::meets_requirements(registered_worker const& worker) const
{
    if (!fits(query_.need, worker.facts.capacity - worker.runs.reserved()))
        return false;
    if (!query_.required_label.empty() &&
        !worker.has_label(query_.required_label))
        return false;
    return query_.max_per_worker == 0 ||
           worker.runs.runs_of_step(query_.step) < query_.max_per_worker;
}

std::optional<double> placement_scorer::score(registered_worker const& worker)
{
    if (!may_take_work(worker) || !meets_requirements(worker)) {
        wait_.merge({wait_reason::no_room, {}, 0.0});
        return std::nullopt;
    }
    double total = 0.0;
    if (query_.fills) {
        auto const backfill = backfill_score(worker);
        if (!backfill)
            return std::nullopt;
        total = *backfill;
    } else if (query_.serves) {
        total = -serving_loss(worker, query_) -
                free_part_weight * free_part(worker);
    } else {
        total = free_part_weight * free_part(worker) - loss_by_use(worker);
    }
    if (!query_.preferred_rack.value.empty() &&
        worker.has_label(query_.preferred_rack.value))
        total += rack_bonus;
    if (worker.progress.is_slow(now_))
        total -= slow_worker_penalty;
    return total;
}

std::optional<double>
placement_scorer::backfill_score(registered_worker const& worker)
{
    auto const contention = contention_on(worker);
    auto const utilization = idle_utilization(worker, query_);
    bool const is_busy = utilization > 1.0;
    if (!query_.allows_contention && (!contention.is_borne() || is_busy)) {
        wait_.merge(
            is_busy ? backfill_wait{wait_reason::no_idle_processors, {}, 0.0}
                    : contention);
        return std::nullopt;
    }
    return contention.headroom - utilization;
}

double placement_scorer::added_load(std::string const& image)
{
    for (auto const& [known, load] : added_loads_) {
        if (known == image)
            return load;
    }
    auto const pair = contention_.pair(image, query_.image);
    auto const load = pair.mean + deviation_weight * std::sqrt(pair.variance);
    added_loads_.emplace_back(image, load);
    return load;
}

// The part of its full speed at which the backfill task could run without
// pushing any serving task over its planned tail latency, given the backfill
// tasks that already run there. Above 1 it can run at full speed.
backfill_wait placement_scorer::contention_on(registered_worker const& worker)
{
    backfill_wait least{wait_reason::contention, {}, max_headroom};
    for (auto const& serving : *worker.headroom) {
        auto const added = added_load(serving.image) *
                           worker.share_of(query_.backfill_millicores);
        if (added < negligible_load || serving.left / added >= least.headroom)
            continue;
        least.serving_image = serving.image;
        least.headroom = serving.left / added;
    }
    return least;
}

} // namespace sycamorespar
