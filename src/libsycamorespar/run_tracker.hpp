/// A runner's account of its worker: what runs, what ended, what to call next.
#ifndef SYCAMORESPAR_RUN_TRACKER_HPP
#define SYCAMORESPAR_RUN_TRACKER_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/runner_messages.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Time by the worker's own clock, since that life of it began.
using worker_time = std::chrono::milliseconds;

/// Limits of a runner.
struct run_tracker_limits
{
    /// How long an answered report lets runs go on, by the worker's clock; the
    /// scheduler counts by the same number.
    std::chrono::milliseconds lease_time{5500};
    /// A start that reaches the worker later than this is void, so that one
    /// that was held up can't begin behind our back.
    std::chrono::milliseconds start_lifetime{1500};
    /// A worker's clock may be slower than ours by this part.
    double clock_drift = 0.02;
    /// How often a start without an answer is sent before it is taken back.
    std::uint32_t max_start_attempts = 3;
    /// A stop without an answer is sent again after this.
    std::chrono::milliseconds stop_retry{300};
    /// A worker that answers no look for this long gets no more time, so that
    /// its runs are known to be gone once the time that it has is over.
    std::chrono::milliseconds unreachable_after{1500};
};

/// A start that is to be sent.
struct start_call
{
    /// What is started.
    start_order order;
    /// Void after this time of the worker.
    worker_time deadline{0};
    /// The token to send.
    std::uint64_t token = 0;
};

/// A stop that is to be sent.
struct stop_call
{
    /// The run.
    run_id run;
    /// The token to send.
    std::uint64_t token = 0;
};

/// A look at the worker's lists that extends its runs.
struct poll_call
{
    /// The runs go on until this time of the worker; zero to leave it.
    worker_time deadline{0};
    /// Ends up to this one may be forgotten; zero where there are none.
    std::uint64_t ended_through = 0;
    /// The token to send.
    std::uint64_t token = 0;
};

/// What became of a call to the worker.
enum class call_outcome : std::uint8_t
{
    /// It was carried out.
    accepted,
    /// Refused for want of room.
    no_room,
    /// Refused: a higher token was seen.
    outdated_token,
    /// Refused: too late, or a higher run was seen.
    outdated,
    /// Refused, and not for any of these reasons.
    rejected,
    /// It never left, or the worker is in another life.
    not_sent,
    /// No answer: it may have been carried out, or may yet be.
    unknown
};

/// A name for logs.
char const* to_string(call_outcome result);

/// A row of the worker's list of runs.
struct listed_run
{
    /// The run.
    run_id run;
    /// What it has saved last; empty for nothing.
    std::string checkpoint;
    /// How much of it is done, up to 100.
    std::uint32_t percent = 0;
    /// The tail latency in milliseconds of a task with users of its own, else
    /// the processors in use in thousandths.
    std::int64_t measurement = 0;
};

/// What the worker answers to a look.
struct worker_listing
{
    /// When this life of the worker began.
    std::chrono::milliseconds born{0};
    /// When the answer was made.
    worker_time at{0};
    /// All that runs.
    std::vector<listed_run> running;
    /// The ends that aren't acknowledged, by number.
    std::vector<end_report> ended;
};

/// A run as the runner knows it.
struct tracked_run
{
    /// How far its start has come.
    enum class stage : std::uint8_t
    {
        /// To be sent.
        ordered,
        /// Sent; no answer yet.
        calling,
        /// It runs.
        started,
        /// Its start is unresolved and is being taken back.
        revoking
    };
    /// How far its start has come.
    stage start_stage = stage::ordered;
    /// The order; only its run where it was found running.
    start_order order;
    /// True where the kind of the task is known.
    bool is_known = false;
    /// Starts sent without an answer.
    std::uint32_t unanswered = 0;
    /// A stop is wanted.
    bool must_stop = false;
    /// The worker has confirmed a stop at this time.
    std::optional<worker_time> stop_confirmed;
    /// When a stop was sent last.
    std::optional<monotonic_time> stop_sent;
    /// When the worker confirmed the start; earlier lists don't have it.
    worker_time started_at{0};
    /// The last row of the worker's list.
    listed_run row;
};

/// Keeps the account. Knows no sockets; time is handed in.
class run_tracker
{
public:
    run_tracker(
        worker_id machine, incarnation runner,
        run_tracker_limits const& limits = {});

    /// The worker announces itself.
    /// \return false where the announcement is of an earlier life.
    bool on_announcement(
        worker_facts const& facts, worker_time at, monotonic_time now);
    /// The worker takes its leave.
    /// \return false where that life is not the one that is known.
    bool on_leave(std::string const& instance);
    /// True once the worker has announced itself.
    bool has_worker() const { return has_worker_; }
    /// What the worker last said of itself.
    worker_facts const& facts() const { return facts_; }
    /// True where there is a token to call the worker with.
    bool may_call() const { return has_worker_ && token_ != 0; }
    /// The token for calls to the worker; zero before the first.
    std::uint64_t token() const { return token_; }
    /// Another caller has a higher token: a new one must be asked for.
    bool needs_new_token() const { return token_refused_; }
    /// Begins a new session with the scheduler, which gives a new token.
    void begin_session(incarnation runner);

    /// The whole state, for the scheduler.
    /// \param pace_of  the pace of a run, up to 100.
    runner_report make_report(
        std::function<std::uint32_t(run_id const&)> const& pace_of,
        monotonic_time now);
    /// True where the last list showed nothing but ends that wait to be
    /// acknowledged: a look would be answered at once with the same.
    bool is_waiting_for_acknowledgement() const { return !ends_.empty(); }
    /// True where the scheduler should hear of something before the answer to
    /// the last report is due.
    bool has_updates() const { return has_updates_; }
    /// The answer to the report of that sequence.
    /// \return false where it is of an earlier term or token.
    bool on_reply(std::uint64_t sequence, runner_reply const& reply);

    /// The starts to send now; each is then answered by on_start_result().
    std::vector<start_call> take_starts(monotonic_time now);
    /// The stops to send now.
    std::vector<stop_call> take_stops(monotonic_time now);
    /// The next look.
    poll_call next_poll();
    /// A look had no answer.
    void on_poll_failed(monotonic_time now);
    /// Drops the runs of a silent worker once they have lapsed.
    void drop_lapsed(monotonic_time now);
    /// False where the worker answers no looks.
    bool is_reachable() const { return is_reachable_; }

    /// A start was answered; the time is the worker's, zero where unknown.
    void on_start_result(
        run_id const& run, call_outcome result, worker_time at,
        monotonic_time now);
    /// A stop was answered.
    void on_stop_result(
        run_id const& run, call_outcome result, worker_time at,
        monotonic_time now);
    /// A look was answered with lists.
    void on_listing(
        worker_listing const& listing, poll_call const& call,
        monotonic_time now);
    /// Any call was refused for its token.
    void on_token_refused(std::uint64_t token);

    /// The runs, for pacing and metrics.
    std::map<run_id, tracked_run> const& runs() const { return runs_; }
    /// The earliest that the worker's clock can stand at.
    worker_time clock_at_least(monotonic_time now) const;
    /// The runs may go on until this time of the worker.
    worker_time granted_until() const { return granted_until_; }

private:
    struct sent_report
    {
        worker_time worker_clock{0};
        std::size_t refusals = 0;
    };

    void begin_incarnation(worker_facts const& facts);
    void update_clock(worker_time at, monotonic_time now);
    void apply_order(runner_order const& order);
    void record_refusal(run_id const& run, refusal_reason why);
    void apply_listed_run(listed_run const& row, worker_time at);
    void drop_missing_runs(worker_listing const& listing);

    worker_id machine_;
    incarnation runner_;
    run_tracker_limits limits_;
    bool has_worker_ = false;
    worker_facts facts_;
    scheduler_term term_;
    std::uint64_t token_ = 0;
    bool token_refused_ = false;
    bool is_listed_ = false;
    std::uint64_t last_order_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, sent_report> sent_;
    std::map<run_id, tracked_run> runs_;
    std::vector<end_report> ends_;
    std::uint64_t last_end_ = 0;
    std::uint64_t ended_through_ = 0;
    /// The worker has confirmed that it forgot the ends up to this one.
    std::uint64_t forgotten_through_ = 0;
    std::vector<refusal_report> refusals_;
    bool has_updates_ = false;
    worker_time granted_until_{0};
    std::optional<worker_time> clock_;
    monotonic_time clock_seen_at_{};
    worker_time last_listing_{0};
    /// The latest time that any call has let runs go on to.
    worker_time sent_until_{0};
    bool is_reachable_ = true;
    std::optional<monotonic_time> answered_at_;
};

} // namespace sycamorespar

#endif
