/// Ranks workers for the equal tasks of one step.
#ifndef SYCAMORESPAR_WORKER_RANKING_HPP
#define SYCAMORESPAR_WORKER_RANKING_HPP

#include "libsycamorespar/placement_query.hpp"

#include <set>
#include <vector>

namespace sycamorespar {

class worker_registry;
struct worker_slot;

/// The workers that can take a task of a step, best first. A placement changes
/// the rank of the chosen worker only.
class worker_ranking
{
public:
    /// \param workers  must outlive the ranking; so must the failure domains.
    worker_ranking(
        worker_registry& workers, placement_query query,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);

    /// Adds all workers that can take a task. In a large fleet they are added
    /// in parts, each large enough for a good choice.
    void add_all();
    /// Adds a worker if it can take a task; it must not be ranked yet.
    void add(registered_worker& worker);
    /// The best worker; null if none can take a task.
    registered_worker* best();
    /// Ranks the best worker anew, after a task was placed on it.
    void rerank_best();
    /// The requirements.
    placement_query const& query() const { return scorer_.query(); }
    /// What kept a backfill task from the workers that weren't ranked.
    backfill_wait const& wait() const { return scorer_.wait(); }
    /// What a backfill task harms most on a worker.
    backfill_wait contention_on(registered_worker const& worker)
    {
        return scorer_.contention_on(worker);
    }

private:
    struct ranked_worker
    {
        double score = 0.0;
        registered_worker* worker = nullptr;
    };
    static bool is_worse(ranked_worker const& left, ranked_worker const& right);
    bool is_enough() const;
    void search();
    void add(worker_slot const& slot);

    worker_registry& workers_;
    placement_scorer scorer_;
    monotonic_time now_;
    /// Position in the index at which the search goes on.
    std::size_t next_slot_ = 0;
    /// The number of workers that the search has not reached.
    std::size_t unsearched_ = 0;
    /// A heap with the best worker first.
    std::vector<ranked_worker> ranked_;
};

} // namespace sycamorespar

#endif
