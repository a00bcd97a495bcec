/// Tracks the runs of a runner's worker, their ends, and the calls to send to
/// the worker.
#ifndef SYCAMORESPAR_RUN_TRACKER_HPP
#define SYCAMORESPAR_RUN_TRACKER_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/runner_messages.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sycamorespar {

/// Time by the worker's own clock, since its current incarnation started.
using worker_time = std::chrono::milliseconds;

/// Numbers the answers of a worker in the order in which they came. A call that
/// was sent after an answer reached the worker after the answered one.
using answer_number = number_id<struct answer_number_tag>;

/// Limits of a runner.
struct run_tracker_limits
{
    /// Lease that an answered report grants to the runs, by the worker's clock.
    /// The scheduler must use the same value.
    std::chrono::milliseconds lease_time{5500};
    /// The worker rejects a start that reaches it later than this, so that a
    /// delayed start can't begin a run that nobody expects any more.
    std::chrono::milliseconds start_lifetime{1500};
    /// Fraction by which the worker's clock may run slower than ours.
    double clock_drift = 0.02;
    /// Attempts to send a start without an answer before it is revoked.
    std::uint32_t max_start_attempts = 3;
    /// Pause before a stop without an answer is sent again.
    std::chrono::milliseconds stop_retry{300};
    /// Pause before a confirmed stop of a run that is still there is sent
    /// again; more than a stop takes.
    std::chrono::milliseconds confirmed_stop_retry{1500};
    /// A worker that answers no poll for this long is unreachable. Its lease is
    /// no longer extended, so that its runs are known to be gone once the lease
    /// has lapsed.
    std::chrono::milliseconds unreachable_after{1500};
    /// Time that a worker may take to end its runs once their lease is over.
    std::chrono::milliseconds lapse_margin{200};
};

/// A start to send to the worker.
struct start_call
{
    /// The order that it carries out.
    start_order order;
    /// The worker rejects the start after this time of its clock.
    worker_time deadline{0};
    /// The token to send.
    std::uint64_t token = 0;
};

/// A stop to send to the worker.
struct stop_call
{
    /// The run.
    run_id run;
    /// The token to send.
    std::uint64_t token = 0;
};

/// A poll of the worker's lists, which also extends the lease of its runs.
struct poll_call
{
    /// The incarnation that is called; another one gives no answer.
    worker_incarnation incarnation;
    /// The new end of the lease by the worker's clock; zero to leave it as it
    /// is.
    worker_time deadline{0};
    /// The worker may forget the ends up to this one; zero for none.
    std::uint64_t ended_through = 0;
    /// The token to send.
    std::uint64_t token = 0;
    /// The worker may wait with its answer until a run ends.
    bool may_wait = true;
    /// The last answer that had come when the poll was sent.
    answer_number sent_after;
};

/// The result of a call to the worker.
enum class call_outcome : std::uint8_t
{
    /// It was carried out.
    accepted,
    /// Refused: too few free resources.
    no_room,
    /// Refused: the worker has seen a higher token.
    outdated_token,
    /// Refused: too late, or the worker has seen a higher run of the task.
    outdated,
    /// Refused for any other reason.
    rejected,
    /// It was not sent, or the worker is another incarnation.
    not_sent,
    /// It was not sent: nothing listens at the worker's address.
    not_listening,
    /// No answer: it may have been carried out, or may still be.
    unknown
};

/// A name for logs.
char const* to_string(call_outcome result);

/// An entry of the worker's list of runs.
struct listed_run
{
    /// The run.
    run_id run;
    /// Its latest checkpoint; empty for none.
    std::string checkpoint;
    /// The percentage that is done.
    std::uint32_t percent = 0;
    /// The tail latency in milliseconds of a serving task, else the processors
    /// in use in thousandths of a core.
    std::int64_t measurement = 0;
};

/// The worker's answer to a poll.
struct worker_listing
{
    /// When this incarnation of the worker started, since 1970.
    std::chrono::milliseconds born{0};
    /// The worker's clock in the answer; the lists may be older.
    worker_time at{0};
    /// All runs that are live.
    std::vector<listed_run> running;
    /// The ends that aren't acknowledged, by number.
    std::vector<end_report> ended;
    /// False if the worker may have more of them than it lists at once. A run
    /// that the list lacks may then have ended.
    bool has_all_ends = true;
};

/// A run as the runner tracks it.
struct tracked_run
{
    /// The stages of its start.
    enum class stage : std::uint8_t
    {
        /// The start is to be sent.
        ordered,
        /// The start was sent and has no answer yet.
        calling,
        /// The run has started.
        started,
        /// The outcome of the start is unknown, and it is being revoked by a
        /// stop.
        revoking
    };
    /// The current stage of its start.
    stage start_stage = stage::ordered;
    /// The order; only its run is set if the run was found on the worker's
    /// list.
    start_order order;
    /// The end of the lease that was granted when the order came, by the
    /// worker's clock. The order is void after it.
    worker_time void_after{0};
    /// True if the task's properties are known.
    bool is_known = false;
    /// True if it was found on the worker's list instead of ordered here: an
    /// earlier process of the runner may have changed its pace.
    bool is_found = false;
    /// The number of starts that had no answer.
    std::uint32_t unanswered = 0;
    /// The number of starts that were sent and have no answer: each may yet be
    /// carried out, whatever has become of the run.
    std::uint32_t open_starts = 0;
    /// True if a stop was ordered.
    bool must_stop = false;
    /// The first answer by which the worker confirmed a stop; none before.
    std::optional<answer_number> stop_confirmed;
    /// When a stop was last sent; none before.
    std::optional<monotonic_time> stop_sent;
    /// The answer by which the worker confirmed the start, or first listed the
    /// run; the lists of polls that were sent before it may lack the run.
    answer_number start_confirmed;
    /// The run's entry in the latest list of the worker.
    listed_run latest;
    /// True once a list has shown it.
    bool is_listed = false;

    /// True if another incarnation under the same name may carry out its start:
    /// one has no answer, or no list has shown that this incarnation did.
    bool may_be_elsewhere() const;
    /// The start is to be revoked at another incarnation of the worker.
    void revoke_again();
};

/// Tracks the runs of one worker. Does no I/O; callers pass the time.
class run_tracker
{
public:
    run_tracker(
        worker_id machine, incarnation runner,
        run_tracker_limits const& limits = {});

    /// The worker has announced itself. Once a list has confirmed an
    /// incarnation, another one has to be confirmed by a list as well, of
    /// next_confirmation().
    /// \return false if the announcement is of an incarnation that has ended.
    bool on_announcement(worker_facts const& facts);
    /// The worker has announced that it leaves. It has left once nothing
    /// listens at its address any more, or its lease has lapsed. \return false
    /// if that instance is not the current incarnation, or isn't draining.
    bool on_leave(std::string const& instance);
    /// True once the worker has announced itself.
    bool has_worker() const { return has_worker_; }
    /// The incarnation as which the worker has listed its runs; none before.
    std::optional<worker_incarnation> confirmed() const;
    /// The properties that the worker announced last.
    worker_facts const& facts() const { return facts_; }
    /// True if the worker is known and there is a token for calls to it.
    bool may_call() const { return has_worker_ && token_ != 0; }
    /// The token for calls to the worker; zero before the first.
    std::uint64_t token() const { return token_; }
    /// True if the worker has seen a higher token, so that a new one must be
    /// requested.
    bool needs_new_token() const { return token_refused_; }
    /// True if the worker's runs were not listed under the current token yet;
    /// the scheduler starts nothing there before.
    bool needs_listing() const { return may_call() && !is_listed_; }
    /// True if a list would show that a start has been revoked.
    bool is_revocation_confirmed() const;
    /// Begins a new session with the scheduler, which assigns a new token.
    void begin_session(incarnation runner);

    /// The complete state, to send to the scheduler.
    /// \param pace_of  the pace of a run in percent, up to 100.
    runner_report make_report(
        std::function<std::uint32_t(run_id const&)> const& pace_of,
        monotonic_time now);
    /// True while ends wait to be acknowledged. The worker then answers a poll
    /// at once, with the same list.
    bool is_waiting_for_acknowledgement() const { return !ends_.empty(); }
    /// True if something changed that the scheduler should learn before the
    /// answer to the last report is due.
    bool has_updates() const { return has_updates_; }
    /// Processes the reply to the report of that sequence number.
    /// \return false if it is of an earlier term or token, or to a report that
    /// is unknown or was already answered.
    bool on_reply(std::uint64_t sequence, runner_reply const& reply);

    /// The starts to send now; the caller passes each result to
    /// on_start_result().
    std::vector<start_call> take_starts(monotonic_time now);
    /// The stops to send now; the caller passes each result to
    /// on_stop_result().
    std::vector<stop_call> take_stops(monotonic_time now);
    /// The next poll to send; the caller passes its result to on_listing() or
    /// on_poll_failed().
    poll_call next_poll();
    /// The poll that shows whether the worker is the incarnation that was
    /// announced last; none if nothing is to be confirmed, or it was sent. The
    /// caller passes its result to on_listing() or on_not_confirmed().
    std::optional<poll_call> next_confirmation();
    /// The poll of next_confirmation() had no answer.
    void on_not_confirmed(poll_call const& call, call_outcome result);
    /// A poll had no answer.
    void on_poll_failed(call_outcome result, monotonic_time now);
    /// Drops the runs of an unreachable worker once their lease has lapsed.
    /// \return the number of runs that were dropped.
    std::size_t drop_lapsed(monotonic_time now);
    /// False if the worker answers no polls.
    bool is_reachable() const { return is_reachable_; }

    /// Processes the result of a start.
    /// \param at  the worker's clock in its answer; zero if unknown.
    /// \param called  the incarnation that was called; none for the current.
    void on_start_result(
        run_id const& run, call_outcome result, worker_time at,
        monotonic_time now,
        std::optional<worker_incarnation> const& called = std::nullopt);
    /// Processes the result of a stop.
    /// \param at  the worker's clock in its answer; zero if unknown.
    /// \param called  the incarnation that was called; none for the current.
    void on_stop_result(
        run_id const& run, call_outcome result, worker_time at,
        monotonic_time now,
        std::optional<worker_incarnation> const& called = std::nullopt);
    /// Processes the worker's answer to a poll.
    void on_listing(
        worker_listing const& listing, poll_call const& call,
        monotonic_time now);
    /// The worker refused a call because of its token.
    void on_token_refused(std::uint64_t token);

    /// The tracked runs, for pacing and metrics.
    std::map<run_id, tracked_run> const& runs() const { return runs_; }
    /// The least that the worker's clock can show now.
    worker_time clock_at_least(monotonic_time now) const;
    /// The end of the lease that the scheduler has granted, by the worker's
    /// clock.
    worker_time granted_until() const { return granted_until_; }
    /// The number of stop orders for runs that were not tracked.
    std::uint64_t ignored_stops() const { return ignored_stops_; }
    /// The number of runs that were taken as gone because a list lacked them.
    std::uint64_t missing_runs() const { return missing_runs_; }

private:
    struct sent_report
    {
        worker_time worker_clock{0};
        std::size_t refusals = 0;
    };

    void begin_incarnation(worker_facts const& facts);
    bool confirm(worker_incarnation const& listed);
    void end_left_worker();
    void keep_unproved_starts();
    bool is_current(std::optional<worker_incarnation> const& called) const;
    bool may_be_another_life() const;
    void update_clock(worker_time at, monotonic_time now);
    void apply_order(runner_order const& order);
    void record_refusal(run_id const& run, refusal_reason why);
    void forget_run(run_id const& run);
    void apply_listed_run(listed_run const& listed);
    void
    drop_missing_runs(worker_listing const& listing, answer_number sent_after);
    answer_number next_answer();

    worker_id machine_;
    incarnation runner_;
    run_tracker_limits limits_;
    bool has_worker_ = false;
    worker_facts facts_;
    /// The worker has listed its runs as this incarnation.
    bool is_confirmed_ = false;
    /// It has announced that it leaves.
    bool is_leaving_ = false;
    /// What was announced of an incarnation that isn't confirmed.
    std::optional<worker_facts> announced_;
    /// The poll that is to confirm it was sent.
    bool is_confirming_ = false;
    scheduler_term term_;
    std::uint64_t token_ = 0;
    bool token_refused_ = false;
    bool is_listed_ = false;
    std::uint64_t last_order_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, sent_report> sent_;
    std::map<run_id, tracked_run> runs_;
    /// The last runs that are over here, and of which a start has no answer.
    std::deque<run_id> open_starts_;
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
    answer_number last_answer_;
    /// The answer with the last lists that were processed; zero for none.
    answer_number last_listing_;
    /// The latest end of the lease that any call to the worker has carried.
    worker_time sent_until_{0};
    bool is_reachable_ = true;
    std::optional<monotonic_time> answered_at_;
    std::uint64_t ignored_stops_ = 0;
    std::uint64_t missing_runs_ = 0;
};

} // namespace sycamorespar

#endif
