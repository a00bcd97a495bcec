/// Room is what a worker says that it has, less what every run holds that has
/// not been listed as ended: a run that is being stopped still holds its room.
#include "libsycamorespar/worker_book.hpp"

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
constexpr double harmless_share = 0.35;

/// Breaks ties between workers that lose as much room for fillers: the fuller
/// one is filled up first.
constexpr double fill_up = 0.05;

/// The part of its target that a serving task's tail may be planned to reach.
constexpr double bearable_tail = 0.85;

/// Deviations of an estimate that count as harm. A filler in the wrong place
/// costs its neighbours and itself; one that waits a little costs little.
constexpr double caution = 1.0;

/// A filler that a worker bears this many times over is as good as harmless.
constexpr double most_bearable = 3.0;

/// What keeps parts of little finite.
constexpr double least_harm = 0.001;

/// Figures cover half a second; they are taken this far apart.
constexpr std::chrono::milliseconds figure_gap{250};

/// How far back figures reach, and a pace that is not in force yet.
constexpr std::chrono::milliseconds figure_span{700};

/// A filler that adds less than this to a load is taken on in any case.
constexpr double harmless = 0.015;

/// A worker whose runs may go on for less than this gets no new ones: they
/// would lapse almost at once.
constexpr std::chrono::milliseconds least_hold{2500};

/// A worker on which tasks crawl is only chosen where no other has room.
constexpr double slow_cost = 10.0;

/// A serving task shows a tail once it is at work.
constexpr std::uint32_t at_work = 100;

/// The part of what other tasks reserve that they use, as a rule.
constexpr double usual_use = 0.6;

double share_of(booked_worker const& worker, std::int64_t millicores)
{
    auto const whole =
        std::max(worker.facts.capacity.millicores, std::int64_t{1});
    return static_cast<double>(millicores) / static_cast<double>(whole);
}

/// The share of the worker with which a filler shows in the tails. One that
/// has just begun worked at full speed at first, which a tail shows for as
/// long as its figures reach back.
double felt_share(
    booked_worker const& worker, placed_run const& placed, monotonic_time now)
{
    bool const is_new =
        !placed.reported_at || now - *placed.reported_at < figure_span;
    return share_of(
        worker, is_new ? placed.facts.filling_millicores : placed.measurement);
}

/// How much of the idle processors fillers would use with one more, in parts.
double idle_use(booked_worker const& worker, placement_query const& query)
{
    auto const idle =
        1.0 - usual_use * share_of(worker, worker.reserved().millicores);
    auto const wanted = share_of(
        worker, worker.filling_millicores() + query.filling_millicores);
    return wanted / std::max(idle, least_harm);
}

std::uint32_t runs_of_step(booked_worker const& worker, task_id const& step)
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
double
lendable(booked_worker const& worker, std::size_t images, std::int64_t reserved)
{
    auto const idle = static_cast<double>(worker.facts.capacity.millicores) -
                      usual_use * static_cast<double>(reserved);
    return idle * std::pow(harmless_share, static_cast<double>(images));
}

/// What fillers lose by a serving task, in parts of what the task reserves.
double filler_loss(booked_worker const& worker, placement_query const& query)
{
    std::set<std::string> images;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.target.count() > 0)
            images.insert(placed.facts.image);
    }
    auto const reserved = worker.reserved().millicores;
    auto const before = lendable(worker, images.size(), reserved);
    images.insert(query.image);
    auto const after =
        lendable(worker, images.size(), reserved + query.need.millicores);
    auto const need = std::max(query.need.millicores, std::int64_t{1});
    return (before - after) / static_cast<double>(need);
}

bool may_take_work(
    booked_worker const& worker, placement_query const& query,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
{
    return worker.is_listed && worker.is_reachable && worker.is_recorded &&
           worker.strangers.empty() && now + least_hold < worker.held_until &&
           now >= worker.rests_until && !worker.facts.is_draining &&
           worker.facts.pool == query.pool &&
           !closed_domains.contains(worker.facts.domain) &&
           !query.excluded.contains(worker.id);
}

bool suits(booked_worker const& worker, placement_query const& query)
{
    if (!query.required_label.empty() &&
        !worker.has_label(query.required_label))
        return false;
    if (query.max_per_worker != 0 &&
        runs_of_step(worker, query.step) >= query.max_per_worker)
        return false;
    return fits(query.need, worker.facts.capacity - worker.reserved());
}

double free_part(booked_worker const& worker)
{
    auto const& capacity = worker.facts.capacity;
    if (capacity.millicores <= 0)
        return 0.0;
    auto const free = capacity.millicores - worker.reserved().millicores;
    return static_cast<double>(free) / static_cast<double>(capacity.millicores);
}

} // namespace

resources booked_worker::reserved() const
{
    resources sum;
    for (auto const& [run, placed] : runs)
        sum += placed.need;
    return sum;
}

std::int64_t booked_worker::filling_millicores() const
{
    std::int64_t sum = 0;
    for (auto const& [run, placed] : runs)
        sum += placed.facts.filling_millicores;
    return sum;
}

bool booked_worker::has_label(std::string const& label) const
{
    return std::find(facts.labels.begin(), facts.labels.end(), label) !=
           facts.labels.end();
}

void booked_worker::order_start(
    run_id const& run, std::string payload, std::string checkpoint,
    placed_run const& placed, std::vector<harm_hint> hints)
{
    auto& kept = runs[run];
    kept = placed;
    kept.order = next_order++;
    orders.emplace_back(start_order{
        kept.order, run, std::move(payload), std::move(checkpoint),
        placed.facts, std::move(hints)});
}

void booked_worker::order_stop(run_id const& run)
{
    auto const found = runs.find(run);
    if (found != runs.end()) {
        if (found->second.is_stopping)
            return;
        found->second.is_stopping = true;
    }
    orders.emplace_back(stop_order{next_order++, run});
}

void booked_worker::begin_session(incarnation started, std::uint64_t new_token)
{
    runner = started;
    last_sequence = 0;
    token = new_token;
    has_new_token = true;
    is_listed = false;
    orders.clear();
    next_order = 1;
    sent_through = 0;
    strangers.clear();
    // What the runner's earlier life was told, its list of runs will show.
    for (auto& [run, placed] : runs) {
        placed.order = 0;
        placed.is_stopping = false;
        placed.is_described = false;
    }
}

void booked_worker::confirm_orders(std::uint64_t through)
{
    std::erase_if(orders, [through](runner_order const& order) {
        return number_of(order) <= through;
    });
    sent_through = through;
}

booked_worker* worker_book::find(worker_id const& id)
{
    auto const found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

booked_worker const* worker_book::find(worker_id const& id) const
{
    auto const found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

double worker_book::score(
    booked_worker const& worker, placement_query const& query,
    monotonic_time now) const
{
    double total = free_part(worker);
    if (query.fills)
        total = bearable_part(worker, query, now) - idle_use(worker, query);
    else if (query.serves)
        total = -filler_loss(worker, query) - fill_up * free_part(worker);
    if (!query.preferred_rack.value.empty() &&
        worker.has_label(query.preferred_rack.value))
        total += rack_bonus;
    if (worker.progress.is_slow(now))
        total -= slow_cost;
    return total;
}

// How much of the filler's full speed the worst-off serving task can bear,
// beside the fillers that are there already at theirs.
double worker_book::bearable_part(
    booked_worker const& worker, placement_query const& query,
    monotonic_time now) const
{
    double least = most_bearable;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.target.count() == 0)
            continue;
        double left = harm_.load_at(placed.facts.image, bearable_tail) -
                      harm_.own_load_at_most(run);
        for (auto const& [other, filler] : worker.runs) {
            if (filler.facts.fills)
                left -=
                    harm_.pair(placed.facts.image, filler.facts.image).mean *
                    felt_share(worker, filler, now);
        }
        auto const pair = harm_.pair(placed.facts.image, query.image);
        auto const added = (pair.mean + caution * std::sqrt(pair.variance)) *
                           share_of(worker, query.filling_millicores);
        if (added < harmless)
            continue;
        least = std::min(least, left / added);
    }
    return least;
}

booked_worker* worker_book::choose_better(
    placement_query query, worker_id const& than,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
{
    query.may_harm = false;
    query.excluded.insert(than);
    return choose(query, closed_domains, now);
}

void worker_book::learn(booked_worker& worker, monotonic_time now)
{
    if (now - worker.learned_at < figure_gap)
        return;
    worker.learned_at = now;
    std::vector<filling_neighbour> neighbours;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.fills)
            neighbours.push_back(
                {placed.facts.image, felt_share(worker, placed, now)});
    }
    for (auto const& [run, placed] : worker.runs) {
        auto const target = placed.facts.target.count();
        if (target > 0 && placed.percent == at_work)
            harm_.observe(
                run, placed.facts.image,
                static_cast<double>(placed.measurement) /
                    static_cast<double>(target),
                neighbours, now);
    }
}

std::vector<harm_hint> worker_book::hints_for(
    booked_worker const& worker, std::string const& image) const
{
    std::map<std::string, harm_hint> hints;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.target.count() > 0)
            hints[placed.facts.image] = {
                placed.facts.image, image,
                harm_.pair(placed.facts.image, image)};
    }
    std::vector<harm_hint> listed;
    listed.reserve(hints.size());
    for (auto const& [serving, hint] : hints)
        listed.push_back(hint);
    return listed;
}

booked_worker* worker_book::choose(
    placement_query const& query,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
{
    booked_worker* best = nullptr;
    double best_score = 0.0;
    for (auto& [id, worker] : workers_) {
        if (!may_take_work(worker, query, closed_domains, now) ||
            !suits(worker, query))
            continue;
        bool const must_be_borne = query.fills && !query.may_harm;
        if (must_be_borne && (bearable_part(worker, query, now) < 1.0 ||
                              idle_use(worker, query) > 1.0))
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
