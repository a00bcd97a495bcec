/// How far a job has come: which tasks are due, running and done.
#ifndef SYCAMORESPAR_GRAPH_PROGRESS_HPP
#define SYCAMORESPAR_GRAPH_PROGRESS_HPP

#include "libsycamorespar/job_graph.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Where a job stands, as its caller is told.
enum class job_phase : std::uint8_t
{
    /// No task has started.
    queued,
    /// A task has started.
    running,
    /// Every task has ended well.
    completed,
    /// A task has failed as often as its queue allows.
    failed,
    /// Its caller has cancelled it.
    cancelled
};

/// True where no task of the job starts again.
bool is_final(job_phase phase);

/// A name for records and logs.
char const* to_string(job_phase phase);

/// A task as its job sees it.
struct task_progress
{
    /// True once a run has ended well.
    bool is_done = false;
    /// The number of its last run; zero before the first.
    std::uint32_t last_run = 0;
    /// The runs that hold a place; more than one only where copies may run.
    std::vector<std::uint32_t> live_runs;
    /// The runs that ended by a fault; empty where these don't count.
    std::vector<std::uint32_t> failed_runs;
    /// What the next run goes on from; empty for the start.
    std::string checkpoint;
    /// An earlier scheduler may have begun runs that no record tells of.
    bool may_have_unrecorded_runs = false;

    bool operator==(task_progress const&) const = default;
};

/// What a store record holds of one task that isn't as it began.
struct task_snapshot
{
    /// The task, without its job.
    std::uint32_t occurrence = 0;
    /// Its step.
    std::uint32_t step = 0;
    /// Its place in the step.
    std::uint32_t index = 0;
    /// True once a run has ended well.
    bool is_done = false;
    /// The number of its last run.
    std::uint32_t last_run = 0;
    /// The runs that ended by a fault; empty where these don't count.
    std::vector<std::uint32_t> failed_runs;
    /// What the next run goes on from.
    std::string checkpoint;

    bool operator==(task_snapshot const&) const = default;
};

/// What a store record holds of a job's progress.
struct graph_snapshot
{
    /// Where the job stands.
    job_phase phase = job_phase::queued;
    /// Occurrences before this one are complete and not listed.
    std::uint32_t first_open = 0;
    /// The tasks that aren't as they began.
    std::vector<task_snapshot> tasks;

    bool operator==(graph_snapshot const&) const = default;
};

/// The progress of one job. Knows no workers and no clock.
class graph_progress
{
public:
    /// \param max_failures  runs of a task that may end by a fault; lasting
    /// tasks have no such limit.
    graph_progress(job_graph graph, std::uint32_t max_failures);

    /// Takes over what an earlier scheduler has recorded. Runs that it may
    /// have started are not in the record: the next run of each task is
    /// numbered well behind them.
    void restore(graph_snapshot const& recorded);

    /// The job.
    job_graph const& graph() const { return graph_; }
    /// Where it stands.
    job_phase phase() const { return phase_; }
    /// The step of a task; the task must be one of the job's.
    graph_step const& step_of(task_id const& task) const;
    /// True where the id names a task of the job.
    bool has(task_id const& task) const;
    /// The task as the job sees it; null where its occurrence isn't open.
    task_progress const* find(task_id const& task) const;

    /// When the next occurrence opens, since 1970; none where none is left or
    /// the job has no schedule.
    std::optional<std::chrono::milliseconds> next_due() const;
    /// Opens the occurrences that are due at this time of day.
    /// \return the tasks that have become due.
    std::vector<task_id> open_due(std::chrono::milliseconds time_of_day);

    /// Every task that waits for a place now.
    std::vector<task_id> due_tasks() const;
    /// True where the task waits for a place now. The tasks of a gang only
    /// wait together.
    bool is_due(task_id const& task) const;
    /// True where one run of the task holds a place and a copy may start.
    bool may_copy(task_id const& task) const;

    /// Gives a due task its next run, or a running one a copy.
    /// \return the number of the run.
    std::uint32_t begin_run(task_id const& task);
    /// Gives all tasks of a due gang their next run, of one number.
    /// \param any_member  a task of the gang.
    std::uint32_t begin_gang_run(task_id const& any_member);
    /// What the next run of the task goes on from; empty for the start.
    std::string const& checkpoint_of(task_id const& task) const;
    /// Takes over a run that a worker reports and that no record tells of.
    /// \return false where the task is done, has another run or is unknown.
    bool adopt_run(run_id const& run);
    /// Keeps what a run has saved.
    void save_checkpoint(run_id const& run, std::string const& checkpoint);
    /// Counts a fault of a run that holds no place any more, as a worker may
    /// list it late; each run counts once.
    void count_late_failure(run_id const& run);
    /// Ends a run.
    /// \return the tasks that have become due.
    std::vector<task_id>
    end_run(run_id const& run, run_end how, std::string const& checkpoint);
    /// Cancels the job; ignored where it has ended.
    void cancel();

    /// Counts changes that must be recorded before an end is acknowledged.
    std::uint64_t version() const { return version_; }
    /// What is to be recorded.
    graph_snapshot snapshot() const;

private:
    struct step_progress
    {
        std::vector<task_progress> tasks;
        std::uint32_t done = 0;
    };
    struct occurrence_progress
    {
        std::vector<step_progress> steps;
        std::size_t open_steps = 0;
    };

    occurrence_progress new_occurrence() const;
    task_progress* find_mutable(task_id const& task);
    bool is_open(occurrence_progress const& of, std::uint32_t step) const;
    void append_due(
        std::uint32_t occurrence, std::uint32_t step,
        std::vector<task_id>& due) const;
    std::uint32_t next_run_number(task_progress const& task) const;
    void count_failure(run_id const& run);
    std::vector<task_id> complete_task(task_id const& task);
    std::vector<task_id> complete_gang(task_id const& member);
    void close_occurrence(std::uint32_t occurrence);

    job_graph graph_;
    std::uint32_t max_failures_;
    job_phase phase_ = job_phase::queued;
    std::uint64_t version_ = 1;
    /// The first occurrence that isn't complete.
    std::uint32_t first_open_ = 0;
    /// The next occurrence to open.
    std::uint32_t next_occurrence_ = 0;
    std::map<std::uint32_t, occurrence_progress> occurrences_;
    /// True where runs may exist that the record doesn't tell of.
    bool is_restored_ = false;
};

} // namespace sycamorespar

#endif
