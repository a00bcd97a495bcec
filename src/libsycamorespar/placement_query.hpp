/// What a task requires of its worker, and how well a worker suits it.
#ifndef SYCAMORESPAR_PLACEMENT_QUERY_HPP
#define SYCAMORESPAR_PLACEMENT_QUERY_HPP

#include "libsycamorespar/backfill_wait.hpp"
#include "libsycamorespar/registered_worker.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamorespar {

/// The requirements of a task for its worker.
struct placement_query
{
    /// Pool that the worker must belong to.
    pool_id pool;
    /// Resources that the task reserves.
    resources need;
    /// True for a backfill task, which only uses idle processors.
    bool fills = false;
    /// Idle processors that a backfill task uses at full speed, in millicores.
    std::int64_t backfill_millicores = 0;
    /// Image that it runs.
    std::string image;
    /// A backfill task may be placed where it slows serving tasks.
    bool allows_contention = false;
    /// True for a serving task, which has a latency target.
    bool serves = false;
    /// What all waiting tasks of the step reserve, in millicores.
    std::int64_t step_millicores = 0;
    /// Label that the worker must have; empty for none.
    std::string required_label;
    /// Rack that is preferred; empty for none.
    rack_id preferred_rack;
    /// Step that `max_per_worker` applies to; the task index is ignored.
    task_id step;
    /// Maximum tasks of the step on one worker; zero for no limit.
    std::uint32_t max_per_worker = 0;
    /// Workers that must not be chosen.
    std::set<worker_id> excluded;
};

/// A worker whose runs expire sooner than this gets no new ones, because they
/// would lapse almost at once.
inline constexpr std::chrono::milliseconds min_time_to_expiry{2500};

/// Scores workers for the equal tasks of one step.
class placement_scorer
{
public:
    /// \param contention  must outlive the scorer; so must the failure domains.
    placement_scorer(
        placement_query query, contention_model const& contention,
        std::set<failure_domain_id> const& closed_domains, monotonic_time now);

    /// The requirements.
    placement_query const& query() const { return query_; }
    /// The score of a worker, higher is better; none if it can't take the task
    /// now.
    std::optional<double> score(registered_worker const& worker);
    /// What kept a backfill task from the workers without a score.
    backfill_wait const& wait() const { return wait_; }
    /// The serving image that a backfill task harms most on a worker, and the
    /// part of the task's full speed that it can bear.
    backfill_wait contention_on(registered_worker const& worker);

private:
    bool may_take_work(registered_worker const& worker) const;
    bool meets_requirements(registered_worker const& worker) const;
    double added_load(std::string const& image);
    std::optional<double> backfill_score(registered_worker const& worker);

    placement_query query_;
    contention_model const& contention_;
    std::set<failure_domain_id> const& closed_domains_;
    monotonic_time now_;
    /// Pessimistic load that the task adds to a serving image on the whole
    /// processors of a worker.
    std::vector<std::pair<std::string, double>> added_loads_;
    backfill_wait wait_;
};

} // namespace sycamorespar

#endif
