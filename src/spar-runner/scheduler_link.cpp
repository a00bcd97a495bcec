/// The store says who is in office. While it is away, the schedulers that the
/// settings name are asked in turn; each knows the holder that it last heard
/// of.
#include "spar-runner/scheduler_link.hpp"

#include "common/endpoint_text.hpp"
#include "common/log.hpp"
#include "runners/runner_codec.hpp"
#include "store/office.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar {

namespace {

constexpr int status_ok = 200;
constexpr int status_elsewhere = 421;

/// One report waits for orders, a second brings news.
constexpr std::uint32_t most_open_reports = 2;

/// The header that names the holder of the office.
constexpr char const* holder_header = "X-Scheduler";

http_client_limits link_limits(std::chrono::milliseconds timeout)
{
    http_client_limits limits;
    limits.timeout = timeout;
    limits.idle = keep_alive_time;
    limits.max_connections = most_open_reports;
    return limits;
}

} // namespace

scheduler_link::scheduler_link(
    event_loop& loop, kv_store const& store, run_tracker& keeper,
    std::vector<endpoint> schedulers,
    std::function<std::uint32_t(run_id const&)> pace_of,
    std::function<void()> on_orders, scheduler_link_limits const& limits)
    : loop_(loop), store_(store), keeper_(keeper),
      schedulers_(std::move(schedulers)), pace_of_(std::move(pace_of)),
      on_orders_(std::move(on_orders)), limits_(limits), pause_(limits.retry),
      alive_(std::make_shared<bool>(true))
{
    find_holder();
}

scheduler_link::~scheduler_link() = default;

void scheduler_link::wake()
{
    if (client_ == nullptr || is_pausing_ || !keeper_.has_worker())
        return;
    bool const is_due =
        open_reports_ == 0 ||
        (keeper_.has_updates() && open_reports_ < most_open_reports);
    if (is_due)
        send_report();
}

void scheduler_link::send_report()
{
    auto const report = keeper_.make_report(pace_of_, event_loop::now());
    last_sent_ = report.sequence;
    ++open_reports_;
    auto* const asked = client_.get();
    std::weak_ptr<bool> const guard = alive_;
    client_->call(
        {"POST",
         report_path,
         {{"Content-Type", "application/msgpack"}},
         write_report(report)},
        [this, guard, asked, sequence = report.sequence](auto const& answer) {
            if (guard.expired() || asked != client_.get())
                return;
            --open_reports_;
            take_answer(sequence, answer);
        });
}

void scheduler_link::take_answer(
    std::uint64_t sequence, result<http_response> const& answer)
{
    if (!ok(answer)) {
        log_repeated_error("report_unanswered", failure(answer));
        find_holder();
        return;
    }
    auto const& response = value(answer);
    if (response.status == status_elsewhere) {
        auto const* const named = find_header(response.headers, holder_header);
        auto const holder =
            named == nullptr ? std::nullopt : parse_endpoint(*named);
        if (holder && *holder != client_->where())
            follow(*holder);
        else
            find_holder();
        return;
    }
    auto const reply = read_reply(response.body);
    if (response.status != status_ok || !ok(reply)) {
        log_event(
            log_level::error, "reply_unreadable",
            {{"status", response.status},
             {"scheduler", to_string(client_->where())}});
        find_holder();
        return;
    }
    if (!keeper_.on_reply(sequence, value(reply))) {
        find_holder();
        return;
    }
    ++answered_;
    pause_ = limits_.retry;
    if (!value(reply).extends)
        look_for_successor();
    on_orders_();
    wake();
}

void scheduler_link::follow(endpoint const& holder)
{
    if (client_ != nullptr && client_->where() == holder) {
        pause();
        return;
    }
    log_event(
        log_level::info, "scheduler_followed",
        {{"scheduler", to_string(holder)}});
    // The old client may be calling this very function.
    if (client_ != nullptr) {
        retired_.push_back(std::move(client_));
        std::weak_ptr<bool> const guard = alive_;
        loop_.after(duration::zero(), [this, guard] {
            if (!guard.expired())
                retired_.clear();
        });
    }
    client_ = std::make_unique<http_client>(
        loop_, holder, link_limits(limits_.timeout));
    open_reports_ = 0;
    pause();
}

void scheduler_link::pause()
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
    pause_ = std::min(pause_ * 2, limits_.longest_retry);
}

// A scheduler that has lost touch with the store may have a successor that
// this runner can reach.
void scheduler_link::look_for_successor()
{
    if (std::exchange(is_checking_, true))
        return;
    std::weak_ptr<bool> const guard = alive_;
    store_.get(
        office_key, [this, guard](result<std::optional<kv_item>> const& found) {
            if (guard.expired())
                return;
            loop_.after(limits_.office_check, [this, guard] {
                if (!guard.expired())
                    is_checking_ = false;
            });
            auto const holder = ok(found) && value(found)
                                    ? read_office(*value(found))
                                    : std::nullopt;
            if (holder && holder->address != client_->where())
                follow(holder->address);
        });
}

void scheduler_link::find_holder()
{
    if (std::exchange(is_searching_, true))
        return;
    std::weak_ptr<bool> const guard = alive_;
    store_.get(office_key, [this, guard](auto const& found) {
        if (guard.expired())
            return;
        is_searching_ = false;
        take_office(found);
    });
}

void scheduler_link::take_office(result<std::optional<kv_item>> const& found)
{
    if (!ok(found)) {
        log_repeated_error("office_not_read", failure(found));
        try_next_scheduler();
        return;
    }
    auto const holder =
        value(found) ? read_office(*value(found)) : std::nullopt;
    if (holder) {
        follow(holder->address);
        return;
    }
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.retry, [this, guard] {
        if (!guard.expired())
            find_holder();
    });
}

void scheduler_link::try_next_scheduler()
{
    // The scheduler that was followed last may well be in office still.
    if (client_ != nullptr && open_reports_ == 0 && schedulers_.empty()) {
        pause();
        return;
    }
    if (schedulers_.empty()) {
        std::weak_ptr<bool> const guard = alive_;
        loop_.after(limits_.longest_retry, [this, guard] {
            if (!guard.expired())
                find_holder();
        });
        return;
    }
    follow(schedulers_[next_scheduler_++ % schedulers_.size()]);
}

} // namespace sycamorespar
