/// The store names the leader. While it is unreachable, the schedulers from the
/// settings are tried in turn; each knows the last leader that it has seen.
#include "spar-runner/report_sender.hpp"

#include "common/endpoint_text.hpp"
#include "common/log.hpp"
#include "runners/runner_codec.hpp"
#include "store/leader_election.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;

/// One report waits for orders, a second one can carry changes meanwhile.
constexpr std::uint32_t max_open_reports = 2;

/// A scheduler that doesn't accept a connection in this time may have lost
/// power; the store then soon names its successor.
constexpr std::chrono::milliseconds connect_timeout{250};

/// A report whose bytes keep moving may take this many timeouts.
constexpr int longest_in_timeouts = 3;

/// The header that names the leader's address.
constexpr char const* leader_header = "X-Scheduler";

http_client_limits client_limits(std::chrono::milliseconds timeout)
{
    http_client_limits limits;
    limits.timeout = timeout;
    limits.idle = keep_alive_time;
    limits.connect_timeout = connect_timeout;
    limits.longest = timeout * longest_in_timeouts;
    limits.max_connections = max_open_reports;
    return limits;
}

} // namespace

report_sender::report_sender(
    event_loop& loop, kv_store const& store, run_tracker& tracker,
    std::vector<endpoint> schedulers,
    std::function<std::uint32_t(run_id const&)> pace_of,
    std::function<void()> on_orders, report_sender_limits const& limits)
    : loop_(loop), store_(store), tracker_(tracker),
      schedulers_(std::move(schedulers)), pace_of_(std::move(pace_of)),
      on_orders_(std::move(on_orders)), limits_(limits), pause_(limits.retry),
      alive_(std::make_shared<bool>(true))
{
    find_leader();
}

report_sender::~report_sender() = default;

void report_sender::wake()
{
    if (client_ == nullptr || is_pausing_ || !tracker_.has_worker())
        return;
    bool const is_due =
        open_reports_ == 0 ||
        (tracker_.has_updates() && open_reports_ < max_open_reports);
    if (is_due)
        send_report();
}

void report_sender::send_report()
{
    auto const report = tracker_.make_report(pace_of_, event_loop::now());
    last_sent_ = report.sequence;
    ++open_reports_;
    auto* const called = client_.get();
    std::weak_ptr<bool> const guard = alive_;
    client_->call(
        {"POST",
         report_path,
         {{"Content-Type", "application/msgpack"}},
         write_report(report)},
        [this, guard, called, sequence = report.sequence](auto const& answer) {
            if (guard.expired() || called != client_.get())
                return;
            --open_reports_;
            handle_answer(sequence, answer);
        });
}

void report_sender::handle_answer(
    std::uint64_t sequence, result<http_response> const& answer)
{
    if (!ok(answer)) {
        log_repeated_error("report_unanswered", failure(answer));
        find_leader();
        return;
    }
    auto const& response = value(answer);
    if (response.status == status_misdirected) {
        auto const* const named = find_header(response.headers, leader_header);
        auto const leader =
            named == nullptr ? std::nullopt : parse_endpoint(*named);
        if (leader && *leader != client_->where())
            follow(*leader);
        else
            find_leader();
        return;
    }
    auto const reply = read_reply(response.body);
    if (response.status != status_ok || !ok(reply)) {
        log_event(
            log_level::error, "reply_unreadable",
            {{"status", response.status},
             {"scheduler", to_string(client_->where())}});
        find_leader();
        return;
    }
    if (!tracker_.on_reply(sequence, value(reply))) {
        find_leader();
        return;
    }
    ++answered_;
    pause_ = limits_.retry;
    if (!value(reply).extends || value(reply).is_isolated)
        find_successor();
    on_orders_();
    wake();
}

void report_sender::follow(endpoint const& leader)
{
    if (client_ != nullptr && client_->where() == leader) {
        pause();
        return;
    }
    log_event(
        log_level::info, "scheduler_followed",
        {{"scheduler", to_string(leader)}});
    // This function may run in a callback of the old client, so the client
    // is destroyed in the next turn of the loop.
    if (client_ != nullptr) {
        retired_clients_.push_back(std::move(client_));
        std::weak_ptr<bool> const guard = alive_;
        loop_.after(duration::zero(), [this, guard] {
            if (!guard.expired())
                retired_clients_.clear();
        });
    }
    client_ = std::make_unique<http_client>(
        loop_, leader, client_limits(limits_.timeout));
    open_reports_ = 0;
    pause();
}

void report_sender::pause()
{
    if (std::exchange(is_pausing_, true))
        return;
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(pause_, [this, guard] {
        if (guard.expired())
            return;
        is_pausing_ = false;
        wake();
    });
    pause_ = std::min(pause_ * 2, limits_.max_retry);
}

// A scheduler that has lost the store may have a successor that this runner
// can reach.
void report_sender::find_successor()
{
    if (std::exchange(is_checking_, true))
        return;
    std::weak_ptr<bool> const guard = alive_;
    store_.get(
        leader_key, [this, guard](result<std::optional<kv_item>> const& found) {
            if (guard.expired())
                return;
            loop_.after(limits_.successor_check, [this, guard] {
                if (!guard.expired())
                    is_checking_ = false;
            });
            auto const leader = ok(found) && value(found)
                                    ? read_leader(*value(found))
                                    : std::nullopt;
            if (leader && leader->address != client_->where())
                follow(leader->address);
        });
}

void report_sender::find_leader()
{
    if (std::exchange(is_searching_, true))
        return;
    std::weak_ptr<bool> const guard = alive_;
    store_.get(leader_key, [this, guard](auto const& found) {
        if (guard.expired())
            return;
        is_searching_ = false;
        on_leader_read(found);
    });
}

void report_sender::on_leader_read(result<std::optional<kv_item>> const& found)
{
    if (!ok(found)) {
        log_repeated_error("office_not_read", failure(found));
        try_next_scheduler();
        return;
    }
    auto const leader =
        value(found) ? read_leader(*value(found)) : std::nullopt;
    if (leader) {
        follow(leader->address);
        return;
    }
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.retry, [this, guard] {
        if (!guard.expired())
            find_leader();
    });
}

void report_sender::try_next_scheduler()
{
    // The last scheduler used may still be the leader.
    if (client_ != nullptr && open_reports_ == 0 && schedulers_.empty()) {
        pause();
        return;
    }
    if (schedulers_.empty()) {
        std::weak_ptr<bool> const guard = alive_;
        loop_.after(limits_.max_retry, [this, guard] {
            if (!guard.expired())
                find_leader();
        });
        return;
    }
    follow(schedulers_[next_scheduler_++ % schedulers_.size()]);
}

} // namespace sycamorespar
