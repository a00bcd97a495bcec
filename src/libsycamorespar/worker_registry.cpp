/// The index is updated by whoever changes a worker, so that placement visits
/// a worker again only once something about it has changed.
#include "libsycamorespar/worker_registry.hpp"

#include "libsycamorespar/worker_ranking.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// Highest planned tail latency of a serving task, as a part of its target.
constexpr double max_planned_tail = 0.85;

/// Least time between two model updates from one worker. Each measurement
/// covers half a second.
constexpr std::chrono::milliseconds measurement_interval{250};

/// Time until a measurement no longer includes the first full speed of a new
/// run: the span of a measurement plus the delay until a pace takes effect.
constexpr std::chrono::milliseconds measurement_window{700};

/// Progress at which a serving task handles requests and has a tail latency.
constexpr std::uint32_t serving_percent = 100;

/// The share of the worker's processors with which a backfill task affects the
/// measured tail latencies. A new run starts at full speed, and this affects
/// the measurements until their window has passed.
double effective_share(
    registered_worker const& worker, placed_run const& placed,
    monotonic_time now)
{
    bool const is_new =
        !placed.reported_at || now - *placed.reported_at < measurement_window;
    auto const used =
        is_new ? placed.facts.backfill_millicores : placed.measurement;
    return worker.share_of(used);
}

/// Lowers the headroom of an image, or adds it.
void lower_headroom(
    std::vector<serving_headroom>& headroom, std::string const& image,
    double left)
{
    for (auto& each : headroom) {
        if (each.image == image) {
            each.left = std::min(each.left, left);
            return;
        }
    }
    headroom.push_back({image, left});
}

} // namespace

registered_worker& worker_registry::at(worker_id const& id)
{
    auto const [found, is_new] = workers_.try_emplace(id);
    auto& worker = found->second;
    if (is_new) {
        worker.id = id;
        worker.slot = slots_.size();
        slots_.push_back({&worker, {}, false, {}, {}});
    }
    return worker;
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

void worker_registry::erase_if(
    std::function<bool(registered_worker const&)> const& is_erased)
{
    auto const erased = std::erase_if(
        workers_, [&](auto const& entry) { return is_erased(entry.second); });
    if (erased == 0)
        return;
    slots_.clear();
    for (auto& [id, worker] : workers_) {
        worker.slot = slots_.size();
        slots_.push_back({&worker, {}, false, {}, {}});
        on_loaded(worker);
    }
}

void worker_registry::on_loaded(registered_worker& worker)
{
    auto& slot = slots_[worker.slot];
    slot.free = worker.facts.capacity - worker.runs.reserved();
    slot.is_usable = worker.is_usable();
    slot.usable_from = worker.cooldown_until;
    slot.usable_until = worker.runs_expire_at - min_time_to_expiry;
    worker.headroom.reset();
}

void worker_registry::on_changed(registered_worker& worker)
{
    auto const was_usable_from = slots_[worker.slot].usable_from;
    on_loaded(worker);
    if (worker.cooldown_until > was_usable_from)
        cooling_.emplace(worker.cooldown_until, worker.id);
    if (!std::exchange(worker.is_changed, true))
        changed_.push_back(worker.id);
}

void worker_registry::on_lease_extended(
    registered_worker& worker, monotonic_time now)
{
    auto& slot = slots_[worker.slot];
    bool const was_usable = now < slot.usable_until;
    slot.usable_until = worker.runs_expire_at - min_time_to_expiry;
    if (!was_usable)
        on_changed(worker);
}

std::vector<registered_worker*>
worker_registry::take_changed(monotonic_time now)
{
    auto const ended = cooling_.upper_bound(now);
    for (auto next = cooling_.begin(); next != ended; ++next) {
        auto* const worker = find(next->second);
        if (worker != nullptr && !std::exchange(worker->is_changed, true))
            changed_.push_back(worker->id);
    }
    cooling_.erase(cooling_.begin(), ended);
    std::vector<registered_worker*> taken;
    for (auto const& id : std::exchange(changed_, {})) {
        auto* const worker = find(id);
        if (worker == nullptr)
            continue;
        worker->is_changed = false;
        taken.push_back(worker);
    }
    return taken;
}

std::size_t worker_registry::next_search_start()
{
    if (slots_.empty())
        return 0;
    // A prime stride spreads searches over racks that were registered together.
    constexpr std::size_t stride = 257;
    search_start_ = (search_start_ + stride) % slots_.size();
    return search_start_;
}

registered_worker* worker_registry::choose(
    placement_query const& query,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
{
    worker_ranking ranking(*this, query, closed_domains, now);
    ranking.add_all();
    return ranking.best();
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
    if (worker.runs.serving_images() == 0 ||
        now - worker.model_updated_at < measurement_interval)
        return;
    worker.model_updated_at = now;
    std::vector<backfill_neighbour> neighbours;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.fills)
            neighbours.push_back(
                {placed.facts.image, effective_share(worker, placed, now)});
    }
    for (auto const& [run, placed] : worker.runs) {
        if (placed.serves() && placed.percent == serving_percent)
            contention_.observe(
                run, placed.facts.image,
                static_cast<double>(placed.measurement) /
                    static_cast<double>(placed.facts.target.count()),
                neighbours, now);
    }
}

void worker_registry::update_headroom(
    registered_worker& worker, monotonic_time now) const
{
    if (worker.headroom)
        return;
    auto& headroom = worker.headroom.emplace();
    if (worker.runs.serving_images() == 0)
        return;
    std::map<std::string, double> shares;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.facts.fills)
            shares[placed.facts.image] += effective_share(worker, placed, now);
    }
    for (auto const& [run, placed] : worker.runs) {
        if (!placed.serves())
            continue;
        auto const& image = placed.facts.image;
        double left = contention_.load_at(image, max_planned_tail) -
                      contention_.own_load_upper_bound(run);
        for (auto const& [backfill, share] : shares)
            left -= contention_.pair(image, backfill).mean * share;
        lower_headroom(headroom, image, left);
    }
}

std::vector<contention_hint> worker_registry::hints_for(
    registered_worker const& worker, std::string const& image) const
{
    std::set<std::string> serving;
    for (auto const& [run, placed] : worker.runs) {
        if (placed.serves())
            serving.insert(placed.facts.image);
    }
    std::vector<contention_hint> hints;
    hints.reserve(serving.size());
    for (auto const& each : serving)
        hints.push_back({each, image, contention_.pair(each, image)});
    return hints;
}

} // namespace sycamorespar
