/// The progress of one job: which of its tasks are due, running and done.
#ifndef SYCAMORESPAR_GRAPH_PROGRESS_HPP
#define SYCAMORESPAR_GRAPH_PROGRESS_HPP

#include "libsycamorespar/job_graph.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// The phase of a job, as its caller sees it.
enum class job_phase : std::uint8_t
{
    /// No task has started.
    queued,
    /// A task has started.
    running,
    /// Every task has finished.
    completed,
    /// A task has failed as often as its queue permits.
    failed,
    /// Its caller cancelled it.
    cancelled
};

/// True if no further task of the job may start.
bool is_final(job_phase phase);

/// A name for records and logs.
char const* to_string(job_phase phase);

/// The progress of one task.
struct task_progress
{
    /// True once a run has finished.
    bool is_done = false;
    /// The number of its latest run; zero before the first.
    std::uint32_t last_run = 0;
    /// The runs that occupy a worker; more than one only if copies may run.
    std::vector<std::uint32_t> live_runs;
    /// The numbers of the failed runs; empty for long-running tasks, whose
    /// failures aren't counted.
    std::vector<std::uint32_t> failed_runs;
    /// The checkpoint that the next run resumes from; empty for none.
    std::string checkpoint;
    /// An earlier scheduler may have started runs that are not recorded.
    bool may_have_unrecorded_runs = false;

    bool operator==(task_progress const&) const = default;
};

/// The recorded state of one task that differs from its initial state.
struct task_snapshot
{
    /// The occurrence of its job, from 0.
    std::uint32_t occurrence = 0;
    /// Its step, from 0.
    std::uint32_t step = 0;
    /// Its index in the step, from 0.
    std::uint32_t index = 0;
    /// True once a run has finished.
    bool is_done = false;
    /// The number of its latest run.
    std::uint32_t last_run = 0;
    /// The numbers of the failed runs; empty for long-running tasks, whose
    /// failures aren't counted.
    std::vector<std::uint32_t> failed_runs;
    /// The checkpoint that the next run resumes from; empty for none.
    std::string checkpoint;

    bool operator==(task_snapshot const&) const = default;
};

/// The finished tasks of one step.
struct step_snapshot
{
    /// The occurrence of its job, from 0.
    std::uint32_t occurrence = 0;
    /// The step, from 0.
    std::uint32_t step = 0;
    /// For each task from index 0 on, whether it has finished; the others
    /// haven't.
    std::vector<bool> is_done;

    bool operator==(step_snapshot const&) const = default;
};

/// The progress of a job as the store records it. Leaves out what a later
/// scheduler learns from the workers: the few runs of a task that has not
/// failed, and the checkpoint of a live run.
struct graph_snapshot
{
    /// The phase of the job.
    job_phase phase = job_phase::queued;
    /// All occurrences before this one are complete, and are not listed.
    std::uint32_t first_open = 0;
    /// Unfinished tasks that differ from their initial state. Records of
    /// earlier builds list finished ones too.
    std::vector<task_snapshot> tasks;
    /// The steps that have finished tasks.
    std::vector<step_snapshot> steps;

    bool operator==(graph_snapshot const&) const = default;
};

/// The progress of one job. Independent of workers and clocks.
class graph_progress
{
public:
    /// \param max_failures  failed runs of one task after which the job fails;
    /// long-running tasks have no such limit.
    graph_progress(job_graph graph, std::uint32_t max_failures);

    /// Restores the progress that an earlier scheduler recorded. The record may
    /// lack runs that it started, so the next run of each task gets a number
    /// well above any of those.
    void restore(graph_snapshot const& recorded);

    /// The job.
    job_graph const& graph() const { return graph_; }
    /// Its phase.
    job_phase phase() const { return phase_; }
    /// The step of a task, which must belong to the job.
    graph_step const& step_of(task_id const& task) const;
    /// True if the id names a task of the job.
    bool has(task_id const& task) const;
    /// The progress of a task; null if its occurrence isn't open.
    task_progress const* find(task_id const& task) const;

    /// When the next occurrence opens, since 1970; none if no occurrence is
    /// left or the job has no schedule.
    std::optional<std::chrono::milliseconds> next_due() const;
    /// Opens the occurrences that are due at this time of day.
    /// \return the tasks that have become due.
    std::vector<task_id> open_due(std::chrono::milliseconds time_of_day);
    /// Opens an occurrence of which a run is known, and those before it:
    /// whoever started the run knew them to be due. \return the tasks that have
    /// become due.
    std::vector<task_id> open_through(std::uint32_t occurrence);

    /// All tasks that are due.
    std::vector<task_id> due_tasks() const;
    /// True if the steps before the task's are done, and the task is neither
    /// done nor running. The tasks of a gang are due only together.
    bool is_due(task_id const& task) const;
    /// True if one run of the task is live and a copy may start beside it.
    bool may_copy(task_id const& task) const;

    /// Starts the next run of a due task, or a copy of a running one.
    /// \return the number of the run.
    std::uint32_t begin_run(task_id const& task);
    /// Starts the next run of all tasks of a due gang.
    /// \param any_member  a task of the gang.
    /// \return the number of the run, common to all of them.
    std::uint32_t begin_gang_run(task_id const& any_member);
    /// The checkpoint that the task's next run resumes from; empty for none.
    std::string const& checkpoint_of(task_id const& task) const;
    /// Adds a live run that a worker reports and that is not recorded.
    /// \return false if the task is unknown or done, has another live run or
    /// had a later one.
    bool adopt_run(run_id const& run);
    /// False if a run of the task contributes nothing more: the job has ended,
    /// or the task is done.
    bool needs_runs_of(task_id const& task) const;
    /// Stores the checkpoint of a live run; an empty one is ignored.
    void save_checkpoint(run_id const& run, std::string const& checkpoint);
    /// A run that isn't live, as a later one of its task may have begun, has
    /// completed its task. \return the tasks that have become due.
    std::vector<task_id> finish_late(run_id const& run);
    /// Counts the failure of a run that is no longer live, as a worker may
    /// report it late. Each run counts once.
    void count_late_failure(run_id const& run);
    /// Ends a run.
    /// \return the tasks that have become due.
    std::vector<task_id>
    end_run(run_id const& run, run_end how, std::string const& checkpoint);
    /// Cancels the job; ignored if it has ended.
    void cancel();

    /// Version of the progress; rises with each change that must be recorded
    /// before the end of a run is acknowledged.
    std::uint64_t version() const { return version_; }
    /// The progress to record.
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
    void open_next(std::vector<task_id>& due);
    void append_due(
        std::uint32_t occurrence, std::uint32_t step,
        std::vector<task_id>& due) const;
    std::uint32_t next_run_number(task_progress const& task) const;
    void count_failure(run_id const& run);
    void restore_done(step_snapshot const& recorded);
    void append_snapshot(
        std::uint32_t occurrence, std::uint32_t step, graph_snapshot& to) const;
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
    /// True if runs may exist that are not recorded.
    bool is_restored_ = false;
};

} // namespace sycamorespar

#endif
