/// A missing answer proves nothing. A start without an answer is sent again
/// under the same run number, so the worker carries it out at most once. After
/// the last attempt it is revoked by a stop, after which the worker refuses
/// that run number for good. A run is dropped only when a list that was
/// requested later lacks it, or when its lease has lapsed.
///
/// The clock in an answer doesn't tell when its lists were read, as the worker
/// may start a run between the two. Lists are therefore ordered by when they
/// were requested: a list counts only if its poll was sent after the answer
/// with which it is compared had come.
///
/// Anybody may send an announcement, and it may arrive late, so it proves
/// nothing: only the worker's own answers tell which incarnation it is, and
/// what its clock shows.
#include "libsycamorespar/run_tracker.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// The number of reports whose replies are still accepted; older ones are
/// forgotten.
constexpr std::size_t max_open_reports = 64;

/// The number of runs that are over, and of which a start may yet reach the
/// next life of the worker. A start is late by seconds, and few are.
constexpr std::size_t max_open_starts = 64;

} // namespace

char const* to_string(call_outcome result)
{
    switch (result) {
    case call_outcome::accepted:
        return "accepted";
    case call_outcome::no_room:
        return "no_room";
    case call_outcome::outdated_token:
        return "outdated_token";
    case call_outcome::outdated:
        return "outdated";
    case call_outcome::rejected:
        return "rejected";
    case call_outcome::not_sent:
        return "not_sent";
    case call_outcome::not_listening:
        return "not_listening";
    case call_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

bool tracked_run::may_be_elsewhere() const
{
    return open_starts > 0 || (start_stage != stage::ordered && !is_listed);
}

void tracked_run::revoke_again()
{
    start_stage = stage::revoking;
    stop_confirmed.reset();
    stop_sent.reset();
    is_listed = false;
}

run_tracker::run_tracker(
    worker_id machine, incarnation runner, run_tracker_limits const& limits)
    : machine_(std::move(machine)), runner_(runner), limits_(limits)
{}

bool run_tracker::on_announcement(worker_facts const& facts)
{
    bool const is_current =
        has_worker_ && facts.incarnation == facts_.incarnation;
    bool const has_ended =
        is_confirmed_ &&
        (facts.incarnation.born < facts_.incarnation.born ||
         // A delayed announcement must not revive a worker that has left.
         (is_current && facts_.has_left));
    if (has_ended)
        return false;
    if (!is_current && is_confirmed_) {
        announced_ = facts;
        is_confirming_ = false;
        return true;
    }
    if (!is_current)
        begin_incarnation(facts);
    if (!(facts_ == facts))
        has_updates_ = true;
    facts_ = facts;
    return true;
}

// A leave of a worker that doesn't drain is a late one of an earlier life,
// which had the same name. So may be that of a worker that drains, and a true
// one is sent while the runs are still live: only the end of the process ends
// them.
bool run_tracker::on_leave(std::string const& instance)
{
    if (!is_confirmed_ || facts_.incarnation.instance != instance ||
        !facts_.is_draining)
        return false;
    is_leaving_ = true;
    return true;
}

// The deadline of any delayed start has passed: the worker has drained for
// seconds.
void run_tracker::end_left_worker()
{
    is_leaving_ = false;
    facts_.has_left = true;
    while (!runs_.empty())
        forget_run(runs_.begin()->first);
    has_updates_ = true;
}

// A call under a name reaches whichever life has it, so that the next life may
// have begun, or may yet begin, what was sent to the one before.
void run_tracker::keep_unproved_starts()
{
    std::erase_if(runs_, [](auto const& entry) {
        return !entry.second.may_be_elsewhere();
    });
    for (auto const& run : std::exchange(open_starts_, {}))
        runs_[run].order.run = run;
    for (auto& [run, tracked] : runs_)
        tracked.revoke_again();
}

void run_tracker::begin_incarnation(worker_facts const& facts)
{
    if (facts.incarnation.instance == facts_.incarnation.instance)
        keep_unproved_starts();
    else
        runs_.clear();
    open_starts_.clear();
    has_worker_ = true;
    facts_ = facts;
    is_confirmed_ = false;
    is_leaving_ = false;
    announced_.reset();
    ends_.clear();
    refusals_.clear();
    last_end_ = 0;
    ended_through_ = 0;
    forgotten_through_ = 0;
    is_listed_ = false;
    granted_until_ = worker_time::zero();
    clock_.reset();
    last_listing_ = {};
    sent_until_ = worker_time::zero();
    for (auto& [sequence, sent] : sent_)
        sent = {};
    has_updates_ = true;
}

// The numbers of reports go on: a late reply to a report of the session before
// must not pass for one to a report of this session.
void run_tracker::begin_session(incarnation runner)
{
    runner_ = runner;
    sent_.clear();
    token_ = 0;
    token_refused_ = false;
    is_listed_ = false;
    last_order_ = 0;
    has_updates_ = true;
}

// A worker that starts again under the same name begins its clock anew, which
// an answer of the life before must not set.
bool run_tracker::is_current(
    std::optional<worker_incarnation> const& called) const
{
    return !called || *called == facts_.incarnation;
}

// A call under a name reaches whichever life has it.
bool run_tracker::may_be_another_life() const
{
    return announced_ &&
           announced_->incarnation.instance == facts_.incarnation.instance;
}

void run_tracker::update_clock(worker_time at, monotonic_time now)
{
    if (clock_ && clock_at_least(now) >= at)
        return;
    clock_ = at;
    clock_seen_at_ = now;
}

worker_time run_tracker::clock_at_least(monotonic_time now) const
{
    if (!clock_)
        return worker_time::zero();
    auto const passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - clock_seen_at_);
    auto const slow =
        static_cast<double>(passed.count()) * (1.0 - limits_.clock_drift);
    return *clock_ + worker_time(static_cast<std::int64_t>(slow));
}

runner_report run_tracker::make_report(
    std::function<std::uint32_t(run_id const&)> const& pace_of,
    monotonic_time now)
{
    runner_report report;
    report.worker = machine_;
    report.runner = runner_;
    report.sequence = ++sequence_;
    // What is only announced isn't reported: the scheduler gives up the runs of
    // an earlier incarnation.
    if (is_confirmed_)
        report.facts = facts_;
    report.term = term_;
    report.token = token_;
    report.is_listed = is_listed_;
    report.is_reachable = is_reachable_;
    report.last_order = last_order_;
    for (auto const& [run, tracked] : runs_)
        report.runs.push_back(
            {run, tracked.start_stage == tracked_run::stage::started,
             tracked.is_known, tracked.latest.checkpoint,
             tracked.latest.percent, tracked.latest.measurement, pace_of(run),
             tracked.must_stop});
    report.ends = ends_;
    report.refusals = refusals_;
    // The scheduler counts on no lease being extended before a list.
    sent_[sequence_] = {
        clock_ && is_confirmed_ ? clock_at_least(now) : worker_time::zero(),
        refusals_.size()};
    if (sent_.size() > max_open_reports)
        sent_.erase(sent_.begin());
    has_updates_ = false;
    return report;
}

bool run_tracker::on_reply(std::uint64_t sequence, runner_reply const& reply)
{
    if (reply.term < term_ || (reply.term == term_ && reply.token < token_))
        return false;
    auto const found = sent_.find(sequence);
    if (found == sent_.end())
        return false;
    auto const sent = found->second;
    sent_.erase(found);
    if (reply.token != token_) {
        term_ = reply.term;
        token_ = reply.token;
        token_refused_ = false;
        is_listed_ = false;
        last_order_ = 0;
        has_updates_ = true;
    }
    if (!(reply.incarnation == facts_.incarnation))
        return true;
    if (reply.extends && sent.worker_clock != worker_time::zero())
        granted_until_ =
            std::max(granted_until_, sent.worker_clock + limits_.lease_time);
    auto const reported = std::min(sent.refusals, refusals_.size());
    refusals_.erase(
        refusals_.begin(),
        refusals_.begin() + static_cast<std::ptrdiff_t>(reported));
    for (auto& [other, each] : sent_)
        each.refusals -= std::min(each.refusals, reported);
    ended_through_ = std::max(ended_through_, reply.ended_through);
    std::erase_if(ends_, [&](end_report const& end) {
        return end.number <= ended_through_;
    });
    for (auto const& order : reply.orders) {
        if (number_of(order) <= last_order_)
            continue;
        last_order_ = number_of(order);
        apply_order(order);
    }
    return true;
}

void run_tracker::apply_order(runner_order const& order)
{
    if (auto const* start = std::get_if<start_order>(&order)) {
        auto const added = runs_.try_emplace(start->run);
        if (!added.second)
            return;
        added.first->second.order = *start;
        added.first->second.void_after = granted_until_;
        added.first->second.is_known = true;
        return;
    }
    if (auto const* stop = std::get_if<stop_order>(&order)) {
        auto const found = runs_.find(stop->run);
        if (found == runs_.end()) {
            ++ignored_stops_;
            return;
        }
        auto& tracked = found->second;
        if (tracked.start_stage == tracked_run::stage::ordered &&
            tracked.unanswered == 0) {
            record_refusal(stop->run, refusal_reason::outdated);
            return;
        }
        if (tracked.start_stage == tracked_run::stage::ordered)
            tracked.start_stage = tracked_run::stage::revoking;
        tracked.must_stop = true;
        return;
    }
    auto const& described = std::get<describe_order>(order);
    auto const found = runs_.find(described.run);
    if (found == runs_.end())
        return;
    found->second.is_known = true;
    found->second.order.facts = described.facts;
}

// A start that has no answer may yet be carried out by the next life.
void run_tracker::forget_run(run_id const& run)
{
    auto const found = runs_.find(run);
    if (found == runs_.end())
        return;
    if (found->second.open_starts > 0)
        open_starts_.push_back(run);
    if (open_starts_.size() > max_open_starts)
        open_starts_.pop_front();
    runs_.erase(found);
}

void run_tracker::record_refusal(run_id const& run, refusal_reason why)
{
    forget_run(run);
    refusals_.push_back({run, why});
    has_updates_ = true;
}

// Once the lease is over, the scheduler may start the task elsewhere. A later
// lease doesn't revive the order: it may have been granted before the scheduler
// has seen that the start is still pending.
std::vector<start_call> run_tracker::take_starts(monotonic_time now)
{
    std::vector<start_call> calls;
    if (!may_call() || !clock_ || !is_reachable_ || facts_.has_left)
        return calls;
    // Another life under the same name would begin it, by a deadline that is
    // not of its clock, and perhaps after the list that confirms that life.
    if (may_be_another_life())
        return calls;
    auto const clock = clock_at_least(now);
    for (auto& [run, tracked] : runs_) {
        if (tracked.start_stage != tracked_run::stage::ordered)
            continue;
        tracked.start_stage = tracked_run::stage::calling;
        ++tracked.open_starts;
        auto const deadline =
            std::min(tracked.void_after, clock + limits_.start_lifetime);
        sent_until_ = std::max(sent_until_, deadline);
        calls.push_back({tracked.order, deadline, token_});
    }
    return calls;
}

std::vector<stop_call> run_tracker::take_stops(monotonic_time now)
{
    std::vector<stop_call> calls;
    if (!may_call())
        return calls;
    for (auto& [run, tracked] : runs_) {
        bool const wanted =
            (tracked.must_stop &&
             tracked.start_stage == tracked_run::stage::started) ||
            tracked.start_stage == tracked_run::stage::revoking;
        // A confirmed stop is sent again if the run is still there long after:
        // an earlier life of the worker may have confirmed it.
        auto const pause = tracked.stop_confirmed ? limits_.confirmed_stop_retry
                                                  : limits_.stop_retry;
        if (!wanted || (tracked.stop_sent && now - *tracked.stop_sent < pause))
            continue;
        tracked.stop_sent = now;
        calls.push_back({run, token_});
    }
    return calls;
}

bool run_tracker::is_revocation_confirmed() const
{
    return may_call() &&
           std::any_of(runs_.begin(), runs_.end(), [](auto const& entry) {
               auto const& tracked = entry.second;
               return tracked.start_stage == tracked_run::stage::revoking &&
                      tracked.stop_confirmed.has_value();
           });
}

answer_number run_tracker::next_answer()
{
    ++last_answer_.value;
    return last_answer_;
}

poll_call run_tracker::next_poll()
{
    // An acknowledgement is not sent again after the worker has confirmed it: a
    // delayed poll may reach a later incarnation of the worker, which uses the
    // same numbers for its ends.
    bool const is_due =
        ended_through_ > forgotten_through_ && !may_be_another_life();
    auto const to_forget = is_due ? ended_through_ : 0;
    poll_call call{
        facts_.incarnation, worker_time::zero(), to_forget, token_, true,
        last_answer_};
    if (!is_reachable_)
        return call;
    sent_until_ = std::max(sent_until_, granted_until_);
    call.deadline = granted_until_;
    return call;
}

std::optional<worker_incarnation> run_tracker::confirmed() const
{
    return is_confirmed_ ? std::optional(facts_.incarnation) : std::nullopt;
}

std::optional<poll_call> run_tracker::next_confirmation()
{
    if (!announced_ || !may_call() || std::exchange(is_confirming_, true))
        return std::nullopt;
    return poll_call{announced_->incarnation,
                     worker_time::zero(),
                     0,
                     token_,
                     false,
                     last_answer_};
}

void run_tracker::on_not_confirmed(poll_call const& call, call_outcome result)
{
    bool const is_announced =
        announced_ && announced_->incarnation == call.incarnation;
    if (!is_announced)
        return;
    is_confirming_ = false;
    if (result == call_outcome::not_sent ||
        result == call_outcome::not_listening)
        announced_.reset();
}

// An answer of an earlier incarnation may be delayed, so a confirmed one is
// only followed by one that was born later. That may be of another kind, and
// doesn't drain: it has no properties before it announces them.
bool run_tracker::confirm(worker_incarnation const& listed)
{
    bool const is_announced =
        announced_ && announced_->incarnation.instance == listed.instance;
    bool const is_known = facts_.incarnation.instance == listed.instance;
    // Whoever answers a runner that knows no worker is the worker, whatever has
    // been announced since.
    if (is_confirmed_ && !is_known && !is_announced)
        return false;
    if (is_confirmed_ && listed.born < facts_.incarnation.born)
        return false;
    if (!(listed == facts_.incarnation)) {
        worker_facts facts;
        if (is_announced && announced_->incarnation == listed)
            facts = *announced_;
        facts.incarnation = listed;
        begin_incarnation(facts);
    }
    if (is_announced)
        announced_.reset();
    is_confirmed_ = true;
    return true;
}

void run_tracker::on_poll_failed(call_outcome result, monotonic_time now)
{
    if (is_leaving_ && result == call_outcome::not_listening)
        end_left_worker();
    if (!answered_at_)
        answered_at_ = now;
    if (!is_reachable_ || now - *answered_at_ < limits_.unreachable_after)
        return;
    is_reachable_ = false;
    has_updates_ = true;
}

std::size_t run_tracker::drop_lapsed(monotonic_time now)
{
    if (is_reachable_ || !clock_ ||
        clock_at_least(now) <= sent_until_ + limits_.lapse_margin)
        return 0;
    auto const dropped = runs_.size();
    // Nothing that was sent can begin or hold a run any more, so that the
    // scheduler needs no list to know that there is none.
    if (may_call() && !std::exchange(is_listed_, true))
        has_updates_ = true;
    if (is_leaving_)
        end_left_worker();
    if (dropped == 0)
        return 0;
    while (!runs_.empty())
        forget_run(runs_.begin()->first);
    has_updates_ = true;
    return dropped;
}

void run_tracker::on_start_result(
    run_id const& run, call_outcome result, worker_time at, monotonic_time now,
    std::optional<worker_incarnation> const& called)
{
    if (!is_current(called))
        return;
    if (at != worker_time::zero())
        update_clock(at, now);
    auto const found = runs_.find(run);
    if (found == runs_.end())
        return;
    auto& tracked = found->second;
    if (result != call_outcome::unknown && tracked.open_starts > 0)
        --tracked.open_starts;
    if (tracked.start_stage != tracked_run::stage::calling)
        return;
    if (result == call_outcome::accepted) {
        tracked.start_stage = tracked_run::stage::started;
        tracked.start_confirmed = next_answer();
        return;
    }
    if (result == call_outcome::unknown) {
        ++tracked.unanswered;
        bool const again = tracked.unanswered < limits_.max_start_attempts &&
                           !tracked.must_stop;
        tracked.start_stage =
            again ? tracked_run::stage::ordered : tracked_run::stage::revoking;
        return;
    }
    if (tracked.unanswered > 0) {
        // An earlier attempt may still be carried out.
        tracked.start_stage = tracked_run::stage::revoking;
        return;
    }
    if (result == call_outcome::no_room)
        record_refusal(run, refusal_reason::no_room);
    else if (
        result == call_outcome::outdated ||
        result == call_outcome::outdated_token)
        record_refusal(run, refusal_reason::outdated);
    else
        record_refusal(run, refusal_reason::rejected);
}

void run_tracker::on_stop_result(
    run_id const& run, call_outcome result, worker_time at, monotonic_time now,
    std::optional<worker_incarnation> const& called)
{
    if (!is_current(called))
        return;
    if (at != worker_time::zero())
        update_clock(at, now);
    auto const found = runs_.find(run);
    if (found == runs_.end() || result != call_outcome::accepted)
        return;
    // Confirmed once, the run can't begin any more; a later confirmation must
    // not make the lists worthless that were requested since.
    if (!found->second.stop_confirmed)
        found->second.stop_confirmed = next_answer();
}

void run_tracker::on_token_refused(std::uint64_t token)
{
    if (token != token_)
        return;
    token_refused_ = true;
    is_listed_ = false;
}

void run_tracker::on_listing(
    worker_listing const& listing, poll_call const& call, monotonic_time now)
{
    if (!confirm({call.incarnation.instance, listing.born}))
        return;
    update_clock(listing.at, now);
    // The numbers of ends in a call to an earlier life mean others in this one.
    if (call.incarnation == facts_.incarnation)
        forgotten_through_ = std::max(forgotten_through_, call.ended_through);
    answered_at_ = now;
    if (!is_reachable_) {
        is_reachable_ = true;
        has_updates_ = true;
    }
    if (call.sent_after < last_listing_ || facts_.has_left)
        return;
    // An earlier process of this runner may have extended the lease just before
    // it ended.
    if (last_listing_ == answer_number{})
        sent_until_ = std::max(sent_until_, listing.at + limits_.lease_time);
    last_listing_ = next_answer();
    for (auto const& end : listing.ended) {
        if (end.number <= last_end_)
            continue;
        last_end_ = end.number;
        ends_.push_back(end);
        forget_run(end.run);
        has_updates_ = true;
    }
    for (auto const& each : listing.running)
        apply_listed_run(each);
    // The runs that are missing may be among the ends that are yet to come.
    if (!listing.has_all_ends)
        return;
    drop_missing_runs(listing, call.sent_after);
    if (call.token != token_ || is_listed_)
        return;
    is_listed_ = true;
    has_updates_ = true;
}

void run_tracker::apply_listed_run(listed_run const& listed)
{
    auto const added = runs_.try_emplace(listed.run);
    auto& tracked = added.first->second;
    if (added.second) {
        tracked.order.run = listed.run;
        tracked.is_found = true;
        has_updates_ = true;
    }
    if (tracked.start_stage != tracked_run::stage::started) {
        tracked.must_stop = tracked.must_stop ||
                            tracked.start_stage == tracked_run::stage::revoking;
        tracked.start_stage = tracked_run::stage::started;
        tracked.start_confirmed = last_answer_;
    }
    tracked.latest = listed;
    tracked.is_listed = true;
}

void run_tracker::drop_missing_runs(
    worker_listing const& listing, answer_number sent_after)
{
    std::vector<run_id> listed;
    for (auto const& each : listing.running)
        listed.push_back(each.run);
    std::sort(listed.begin(), listed.end());
    std::vector<run_id> revoked;
    std::vector<run_id> vanished;
    for (auto const& [run, tracked] : runs_) {
        if (std::binary_search(listed.begin(), listed.end(), run))
            continue;
        if (tracked.start_stage == tracked_run::stage::revoking &&
            tracked.stop_confirmed && sent_after >= *tracked.stop_confirmed)
            revoked.push_back(run);
        if (tracked.start_stage == tracked_run::stage::started &&
            sent_after >= tracked.start_confirmed)
            vanished.push_back(run);
    }
    for (auto const& run : revoked)
        record_refusal(run, refusal_reason::no_answer);
    missing_runs_ += vanished.size();
    for (auto const& run : vanished) {
        forget_run(run);
        has_updates_ = true;
    }
}

} // namespace sycamorespar
