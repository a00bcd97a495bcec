/// Equal scores are ordered by id, so that the choice is reproducible.
#include "libsycamorespar/worker_ranking.hpp"

#include "libsycamorespar/worker_registry.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// A choice among this many workers is nearly as good as one among all.
constexpr std::size_t enough_workers = 256;

} // namespace

worker_ranking::worker_ranking(
    worker_registry& workers, placement_query query,
    std::set<failure_domain_id> const& closed_domains, monotonic_time now)
    : workers_(workers),
      scorer_(std::move(query), workers.contention(), closed_domains, now),
      now_(now)
{}

bool worker_ranking::is_worse(
    ranked_worker const& left, ranked_worker const& right)
{
    if (left.score != right.score)
        return left.score < right.score;
    return left.worker->id > right.worker->id;
}

// The best worker for a task that prefers a rack is one of a few.
bool worker_ranking::is_enough() const
{
    return ranked_.size() >= enough_workers &&
           scorer_.query().preferred_rack.value.empty();
}

void worker_ranking::add_all()
{
    next_slot_ = workers_.next_search_start();
    unsearched_ = workers_.slots().size();
    search();
}

void worker_ranking::search()
{
    auto const& slots = workers_.slots();
    while (unsearched_ > 0 && !is_enough()) {
        add(slots[next_slot_]);
        next_slot_ = (next_slot_ + 1) % slots.size();
        --unsearched_;
    }
}

void worker_ranking::add(registered_worker& worker)
{
    add(workers_.slots()[worker.slot]);
}

void worker_ranking::add(worker_slot const& slot)
{
    auto const& query = scorer_.query();
    workers_.count_considered();
    if (!slot.may_take(query.need, now_))
        return;
    auto& worker = *slot.worker;
    if (query.fills)
        workers_.update_headroom(worker, now_);
    auto const score = scorer_.score(worker);
    if (!score)
        return;
    ranked_.push_back({*score, &worker});
    std::push_heap(ranked_.begin(), ranked_.end(), &is_worse);
}

registered_worker* worker_ranking::best()
{
    if (ranked_.empty())
        search();
    return ranked_.empty() ? nullptr : ranked_.front().worker;
}

void worker_ranking::rerank_best()
{
    std::pop_heap(ranked_.begin(), ranked_.end(), &is_worse);
    auto& worker = *ranked_.back().worker;
    ranked_.pop_back();
    add(worker);
}

} // namespace sycamorespar
