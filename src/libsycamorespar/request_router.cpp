/// Requests and copies are tracked separately: a request is answered once, and
/// a copy holds a slot until its outcome is known or it expires. A request that
/// was answered may still have copies in flight.
#include "libsycamorespar/request_router.hpp"

#include "libsycamorespar/invariant.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

/// Retry time for a request of which no copy was sent.
constexpr std::chrono::milliseconds retry_after_overload{1000};
/// Retry time for a request of which copies were sent.
constexpr std::chrono::milliseconds retry_after_failure{200};
/// Time after its deadline until an unanswered copy no longer counts as in
/// flight.
constexpr std::chrono::seconds copy_grace{1};
/// Slowness recorded for a server error, so that an upstream that fails at once
/// does not appear fast.
constexpr double failed_slowness = 5.0;
/// Latency samples of a row needed before its requests are hedged.
constexpr std::uint64_t samples_before_hedging = 100;
/// The one queue of all rows and callers where fair sharing is off.
constexpr char const* common_queue = "*";

} // namespace

request_router::request_router(router_settings settings)
    : settings_(std::move(settings)), picker_(settings_.picker),
      retries_(settings_.retries), hedges_(settings_.hedges)
{}

request_id request_router::next_id()
{
    return {settings_.entry, ++last_sequence_};
}

void request_router::adopt_table(table_policy const& policy)
{
    if (policy.revision <= policy_.revision)
        return;
    policy_ = policy;
    double weights = 0.0;
    for (auto const& [id, row] : policy_.rows) {
        if (row.kind == row_kind::service)
            weights += row.weight;
    }
    for (auto const& [id, row] : policy_.rows)
        rows_[id].share = weights > 0.0 ? row.weight / weights : 0.0;
    table_policy queues = policy_;
    row_policy& common = queues.rows[row_id(common_queue)];
    common.queue_limit = 0;
    for (auto const& [id, row] : policy_.rows)
        common.queue_limit += row.queue_limit;
    scheduler_.adopt_table(queues);
}

row_id request_router::queue_of(row_id const& row) const
{
    return settings_.fair ? row : row_id(common_queue);
}

void request_router::submit(routed_request const& request, monotonic_time now)
{
    invariant(
        request.id.sequence <= last_sequence_,
        "request ids are allocated by the router");
    open_request& open = requests_[request.id];
    open.request = request;
    deadlines_.insert({request.deadline, request.id});
    row_policy const* row = find_row(policy_, request.row);
    if (row == nullptr || row->kind != row_kind::service) {
        reject(
            request.id, outcome::not_run, "no such service in the table",
            retry_after_overload);
        return;
    }
    auto const wait =
        scheduler_.expected_wait(queue_of(request.row), request.caller);
    if (settings_.fair && now + wait > request.deadline) {
        reject(
            request.id, outcome::not_run,
            "the queue is too long for the deadline",
            std::chrono::ceil<std::chrono::milliseconds>(wait));
        return;
    }
    enqueue(open);
}

void request_router::enqueue(open_request& open)
{
    routed_request const& request = open.request;
    open.queued = true;
    std::string const caller = settings_.fair ? request.caller : std::string();
    auto const evicted = scheduler_.push(
        {request.id, queue_of(request.row), caller, request.deadline});
    if (!evicted)
        return;
    requests_.at(evicted->id).queued = false;
    give_up(evicted->id, "the queue of the row is full");
}

void request_router::on_agent(agent_report const& report, monotonic_time now)
{
    picker_.on_agent(report, now);
}

void request_router::on_load(
    worker_id const& worker, std::uint32_t in_flight, monotonic_time now)
{
    picker_.on_load(worker, in_flight, now);
}

void request_router::on_agent_gone(worker_id const& worker, monotonic_time)
{
    picker_.on_agent_gone(worker);
}

void request_router::remove_request(request_id const& id)
{
    auto const found = requests_.find(id);
    if (found == requests_.end())
        return;
    scheduler_.erase(id);
    disarm_hedge(found->second);
    deadlines_.erase({found->second.request.deadline, id});
    requests_.erase(found);
}

void request_router::reject(
    request_id const& id, outcome effect, std::string const& reason,
    std::chrono::milliseconds retry_after)
{
    remove_request(id);
    bool const not_run = effect == outcome::not_run;
    ++(not_run ? counts_.rejected_not_run : counts_.rejected_unknown);
    actions_.push_back(reject_request_action{id, effect, reason, retry_after});
}

/// Reports "not run" only where no copy is in flight and each one sent is
/// proved not to have run.
void request_router::give_up(request_id const& id, std::string const& reason)
{
    open_request const& open = requests_.at(id);
    bool const proved = open.in_flight == 0 && !open.may_have_run;
    reject(
        id, proved ? outcome::not_run : outcome::unknown, reason,
        open.copies > 0 ? retry_after_failure : retry_after_overload);
}

std::optional<request_router::sent_copy>
request_router::close_copy(request_id const& sent_as)
{
    auto const found = copies_.find(sent_as);
    if (found == copies_.end())
        return std::nullopt;
    sent_copy copy = std::move(found->second);
    copies_.erase(found);
    copy_deadlines_.erase({copy.deadline + copy_grace, sent_as});
    picker_.on_released(copy.worker);
    row_state& row = rows_[copy.row];
    invariant(
        row.in_flight > 0 && total_in_flight_ > 0,
        "a closed copy is counted as in flight");
    --row.in_flight;
    --total_in_flight_;
    auto const caller = row.callers.find(copy.caller);
    if (--caller->second == 0)
        row.callers.erase(caller);
    auto const open = requests_.find(copy.request);
    if (open == requests_.end())
        return copy;
    invariant(
        open->second.in_flight > 0, "a closed copy is counted by its request");
    --open->second.in_flight;
    return copy;
}

std::optional<request_id> request_router::on_answer(
    request_id const& sent_as, bool failed, monotonic_time now)
{
    auto const copy = close_copy(sent_as);
    if (!copy)
        return std::nullopt;
    record_latency(*copy, failed, now);
    if (!requests_.contains(copy->request))
        return std::nullopt;
    remove_request(copy->request);
    return copy->request;
}

void request_router::record_latency(
    sent_copy const& copy, bool failed, monotonic_time now)
{
    latency_estimate& usual = rows_[copy.row].latency;
    auto const latency = now - copy.sent_at;
    if (failed) {
        picker_.on_answer(copy.worker, failed_slowness, now);
        return;
    }
    usual.add(latency);
    scheduler_.set_cost(copy.row, usual.mean());
    auto const mean = std::max(usual.mean(), duration(1));
    double const slowness = std::chrono::duration<double>(latency) /
                            std::chrono::duration<double>(mean);
    picker_.on_answer(copy.worker, slowness, now);
}

void request_router::resend(
    request_id const& id, std::string const& reason, monotonic_time now)
{
    auto const found = requests_.find(id);
    if (found == requests_.end())
        return;
    open_request& open = found->second;
    if (open.queued || open.in_flight > 0)
        return;
    if (open.copies >= settings_.max_copies || now >= open.request.deadline) {
        give_up(id, reason);
        return;
    }
    enqueue(open);
}

void request_router::on_refused(
    request_id const& sent_as, refusal why, std::string const& reason,
    monotonic_time now)
{
    auto const copy = close_copy(sent_as);
    if (!copy)
        return;
    ++counts_.refused;
    if (why == refusal::no_slot)
        picker_.on_no_slot(copy->worker, now);
    else
        picker_.on_refused(copy->worker, now);
    resend(copy->request, "refused by the agent: " + reason, now);
}

void request_router::on_not_sent(request_id const& sent_as, monotonic_time now)
{
    auto const copy = close_copy(sent_as);
    if (copy)
        resend(copy->request, "the agent could not be reached", now);
}

void request_router::on_unknown(
    request_id const& sent_as, std::string const& reason, monotonic_time now)
{
    auto const copy = close_copy(sent_as);
    if (!copy)
        return;
    picker_.on_answer(copy->worker, failed_slowness, now);
    auto const found = requests_.find(copy->request);
    if (found == requests_.end())
        return;
    open_request& open = found->second;
    open.may_have_run = true;
    if (open.in_flight > 0)
        return;
    if (!open.request.repeatable || !retries_.spend()) {
        give_up(copy->request, reason);
        return;
    }
    ++counts_.retried;
    resend(copy->request, reason, now);
}

/// A row above its weighted share of this entry's requests in flight has to
/// leave one level of reserved slots free, and a caller that dominates its row
/// another one. A burst through one entry thereby leaves slots for requests of
/// the other entries, whose queues are not visible here.
std::uint32_t
request_router::reserve_levels(routed_request const& request) const
{
    auto const found = rows_.find(request.row);
    if (found == rows_.end())
        return 0;
    row_state const& row = found->second;
    bool const over_share = static_cast<double>(row.in_flight) >
                            row.share * static_cast<double>(total_in_flight_);
    return (over_share ? 1U : 0U) +
           (is_heavy_caller(row, request.caller) ? 1U : 0U);
}

bool request_router::is_heavy_caller(
    row_state const& row, std::string const& caller)
{
    constexpr std::uint32_t min_heavy_in_flight = 4;
    // Multiple of the mean over the row's callers.
    constexpr std::uint32_t heavy_factor = 2;
    auto const found = row.callers.find(caller);
    if (found == row.callers.end() || found->second < min_heavy_in_flight)
        return false;
    return found->second * row.callers.size() > heavy_factor * row.in_flight;
}

/// Drops a request that is unlikely to be answered before its deadline, before
/// it takes a slot.
offer_result
request_router::offer(waiting_request const& next, monotonic_time now)
{
    row_id const& row = requests_.at(next.id).request.row;
    duration const usual = rows_[row].latency.quantile(0.5);
    if (settings_.fair && now + usual > next.deadline) {
        give_up(next.id, "no free slot in time for the deadline");
        return offer_result::dropped;
    }
    return send(next.id, false, now) ? offer_result::sent
                                     : offer_result::blocked;
}

bool request_router::send(request_id const& id, bool hedge, monotonic_time now)
{
    open_request& open = requests_.at(id);
    row_id const& row = open.request.row;
    pick_request const wanted{
        row, hedge ? 2 : reserve_levels(open.request), open.last_worker};
    auto const chosen = picker_.pick(wanted, policy_, now);
    if (!chosen)
        return false;
    if (hedge && (chosen->worker == open.last_worker || !hedges_.spend()))
        return false;
    invariant(
        open.request.repeatable || (open.in_flight == 0 && !open.may_have_run),
        "a request that is not repeatable is sent again only after proof that "
        "its earlier copies were not run");
    if (hedge)
        ++counts_.hedged;
    else if (open.copies > 0 && !open.may_have_run)
        ++counts_.resent_not_run;
    record_copy(open, *chosen, now);
    return true;
}

void request_router::record_copy(
    open_request& open, picked_agent const& chosen, monotonic_time now)
{
    routed_request const& request = open.request;
    bool const is_first = open.copies == 0;
    request_id const sent_as = is_first ? request.id : next_id();
    ++open.copies;
    ++open.in_flight;
    open.queued = false;
    open.last_worker = chosen.worker;
    copies_.emplace(
        sent_as, sent_copy{
                     request.id, request.row, request.caller, chosen.worker,
                     now, request.deadline});
    copy_deadlines_.insert({request.deadline + copy_grace, sent_as});
    row_state& row = rows_[request.row];
    ++row.in_flight;
    ++row.callers[request.caller];
    ++total_in_flight_;
    ++counts_.sent;
    picker_.on_sent(chosen.worker);
    if (is_first) {
        retries_.earn();
        hedges_.earn();
    }
    actions_.push_back(
        send_request_action{request.id, sent_as, chosen.worker, chosen.quoted});
    if (request.repeatable && open.in_flight == 1)
        arm_hedge(open, now);
}

void request_router::arm_hedge(open_request& open, monotonic_time now)
{
    disarm_hedge(open);
    latency_estimate const& usual = rows_[open.request.row].latency;
    if (usual.samples() < samples_before_hedging)
        return;
    open.hedge_at = now + usual.quantile(settings_.hedge_after_quantile);
    hedge_times_.insert({*open.hedge_at, open.request.id});
}

void request_router::disarm_hedge(open_request& open)
{
    if (open.hedge_at)
        hedge_times_.erase({*open.hedge_at, open.request.id});
    open.hedge_at.reset();
}

void request_router::send_hedges(monotonic_time now)
{
    while (!hedge_times_.empty() && hedge_times_.begin()->at <= now) {
        request_id const id = hedge_times_.begin()->id;
        open_request& open = requests_.at(id);
        disarm_hedge(open);
        if (open.in_flight == 1 && open.copies < settings_.max_copies)
            send(id, true, now);
    }
}

void request_router::expire(monotonic_time now)
{
    while (!deadlines_.empty() && deadlines_.begin()->at <= now) {
        request_id const id = deadlines_.begin()->id;
        bool const sent = requests_.at(id).in_flight > 0;
        give_up(
            id, sent ? "no answer before the deadline"
                     : "no free slot before the deadline");
    }
}

void request_router::expire_copies(monotonic_time now)
{
    while (!copy_deadlines_.empty() && copy_deadlines_.begin()->at <= now) {
        request_id const sent_as = copy_deadlines_.begin()->id;
        picker_.on_answer(copies_.at(sent_as).worker, failed_slowness, now);
        close_copy(sent_as);
    }
}

std::optional<monotonic_time> request_router::next_due() const
{
    std::optional<monotonic_time> due;
    for (auto const* timers : {&deadlines_, &copy_deadlines_, &hedge_times_}) {
        if (!timers->empty() && (!due || timers->begin()->at < *due))
            due = timers->begin()->at;
    }
    return due;
}

std::vector<router_action> request_router::tick(monotonic_time now)
{
    expire(now);
    expire_copies(now);
    scheduler_.dispatch(
        [this, now](waiting_request const& next) { return offer(next, now); },
        now);
    send_hedges(now);
    return std::exchange(actions_, {});
}

} // namespace sycamorespar
