/// The runs that occupy capacity on one worker, with their sums.
#ifndef SYCAMORESPAR_PLACED_RUNS_HPP
#define SYCAMORESPAR_PLACED_RUNS_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/job_graph.hpp"
#include "libsycamorespar/resources.hpp"
#include "libsycamorespar/runner_messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sycamorespar {

/// A run that occupies capacity on a worker.
struct placed_run
{
    /// Resources that it reserves.
    resources need;
    /// Properties of its task that its runner needs.
    task_facts facts;
    /// Number of its start order; zero if it was found running in a report.
    std::uint64_t order = 0;
    /// A stop order has been queued.
    bool is_stopping = false;
    /// Its runner has been sent the properties of its task.
    bool is_described = false;
    /// Last reported progress, in percent.
    std::uint32_t percent = 0;
    /// Last measurement: the tail latency in milliseconds of a serving task,
    /// otherwise the processors in use, in millicores.
    std::int64_t measurement = 0;
    /// When a report first listed it; empty until then.
    std::optional<monotonic_time> reported_at;
    /// Since when its runner has throttled it; empty if it is not throttled.
    std::optional<monotonic_time> slowed_since;

    /// True for a run of a serving task, which has a latency target.
    bool serves() const { return facts.target.count() > 0; }
};

/// The runs of one worker by id. Keeps sums of what they reserve, so that the
/// choice of a worker doesn't visit each run.
class placed_runs
{
public:
    using container = std::map<run_id, placed_run>;

    /// Adds a run; one that is already there is kept.
    /// \return the run. Its need and facts must not be changed.
    placed_run& insert(run_id const& run, placed_run const& placed);
    /// Removes a run; false if it is not there.
    bool erase(run_id const& run);
    /// The run, or null. Its need and facts must not be changed.
    placed_run* find(run_id const& run);
    /// The run, or null.
    placed_run const* find(run_id const& run) const;
    /// True if the run is there.
    bool contains(run_id const& run) const { return runs_.contains(run); }
    /// True if there are no runs.
    bool empty() const { return runs_.empty(); }
    /// The number of runs.
    std::size_t size() const { return runs_.size(); }
    /// The first run, in the order of ids.
    container::const_iterator begin() const { return runs_.begin(); }
    /// The end of the runs.
    container::const_iterator end() const { return runs_.end(); }
    /// Calls a function for each run; need and facts must not be changed.
    template<class Visitor>
    void visit(Visitor visitor)
    {
        for (auto& [run, placed] : runs_)
            visitor(run, placed);
    }

    /// Sum of what the runs reserve.
    resources const& reserved() const { return reserved_; }
    /// Processors that the backfill tasks use at full speed, in millicores.
    std::int64_t backfill_millicores() const { return backfill_millicores_; }
    /// The number of images that the serving tasks run.
    std::size_t serving_images() const { return serving_images_.size(); }
    /// True if a serving task runs the image.
    bool serves_image(std::string const& image) const
    {
        return serving_images_.contains(image);
    }
    /// The number of runs of a step; the index of the task is ignored.
    std::uint32_t runs_of_step(task_id const& step) const;

private:
    void add(placed_run const& placed);
    void subtract(placed_run const& placed);

    container runs_;
    resources reserved_;
    std::int64_t backfill_millicores_ = 0;
    std::map<std::string, std::uint32_t> serving_images_;
};

} // namespace sycamorespar

#endif
