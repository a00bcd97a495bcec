/// Advances time in steps that end at each lease's expiry, so that a task stops
/// when its lease expires, however late the next call is.
#include "standins/worker/worker_core.hpp"

#include <algorithm>
#include <utility>

namespace sycamorespar::standins {

namespace {

constexpr std::chrono::milliseconds until_stopped{-1};
constexpr std::chrono::milliseconds sample_period{200};
constexpr int full_speed_percent = 100;
/// Tasks of jobs whose id has this prefix fail: at once if they have no run
/// time, otherwise at its end.
constexpr char const* failing_prefix = "fail-";

std::chrono::milliseconds read_checkpoint(std::string const& text)
{
    if (text.empty() ||
        text.find_first_not_of("0123456789") != std::string::npos)
        return std::chrono::milliseconds(0);
    constexpr std::size_t max_digits = 15;
    return std::chrono::milliseconds(std::stoll(text.substr(0, max_digits)));
}

std::string write_checkpoint(std::chrono::microseconds progress)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(progress)
            .count());
}

} // namespace

char const* to_text(worker_task_state state)
{
    switch (state) {
    case worker_task_state::running:
        return "running";
    case worker_task_state::finished:
        return "finished";
    case worker_task_state::failed:
        return "failed";
    case worker_task_state::stopped:
        return "stopped";
    case worker_task_state::lapsed:
        return "lapsed";
    }
    return "failed";
}

worker_core::worker_core(worker_settings settings, observer on_event)
    : settings_(std::move(settings)), on_event_(std::move(on_event))
{}

worker_task const* worker_core::find(attempt_id const& id) const
{
    auto const found = tasks_.find(id);
    return found == tasks_.end() ? nullptr : &found->second;
}

worker_task* worker_core::find_running(attempt_id const& id)
{
    auto const found = tasks_.find(id);
    if (found == tasks_.end() ||
        found->second.state != worker_task_state::running)
        return nullptr;
    return &found->second;
}

void worker_core::advance(monotonic_time now)
{
    while (true) {
        auto const next = std::min_element(
            leases_.begin(), leases_.end(),
            [](auto const& a, auto const& b) { return a.second < b.second; });
        if (next == leases_.end() || next->second > now)
            break;
        std::string const lease = next->first;
        run_until(next->second);
        leases_.erase(next);
        for (auto& [id, task] : tasks_) {
            if (task.spec.lease == lease &&
                task.state == worker_task_state::running)
                end(task, worker_task_state::lapsed);
        }
    }
    run_until(now);
    take_sample(now);
}

void worker_core::run_until(monotonic_time until)
{
    auto const span = now_ ? until - *now_ : duration::zero();
    now_ = std::max(until, now_.value_or(until));
    if (span < duration::zero())
        return;
    for (auto& [id, task] : tasks_) {
        if (task.state == worker_task_state::running)
            run_task(task, span);
    }
}

void worker_core::run_task(worker_task& task, duration span)
{
    auto const elapsed =
        std::chrono::duration_cast<std::chrono::microseconds>(span);
    task.progress += elapsed * task.percent / full_speed_percent;
    bool const endless = task.spec.run_time == until_stopped;
    bool const failing = task.spec.id.job.value.starts_with(failing_prefix);
    if (endless && !failing)
        return;
    if (!endless && task.progress < task.spec.run_time)
        return;
    if (!endless)
        task.progress = task.spec.run_time;
    end(task,
        failing ? worker_task_state::failed : worker_task_state::finished);
}

void worker_core::end(worker_task& task, worker_task_state state)
{
    task.state = state;
    in_use_ -= task.spec.demand;
    on_event_("task_end", task, to_text(state));
}

void worker_core::take_sample(monotonic_time now)
{
    if (!samples_.empty() && now - samples_.back().at < sample_period)
        return;
    usage_sample sample{now, {}};
    for (auto const& [id, task] : tasks_) {
        if (task.state != worker_task_state::running)
            continue;
        auto used = task.spec.demand;
        used.millicores = used.millicores * task.percent / full_speed_percent;
        sample.tasks.push_back({id, task.spec.row, used, {}});
    }
    samples_.push_back(std::move(sample));
    auto const oldest_needed = now - settings_.usage_lag;
    while (samples_.size() > 1 && samples_[1].at <= oldest_needed)
        samples_.pop_front();
}

std::string
worker_core::grant_lease(std::chrono::milliseconds ttl, monotonic_time now)
{
    advance(now);
    auto lease = "lease-" + std::to_string(next_lease_++);
    leases_[lease] = now + ttl;
    return lease;
}

bool worker_core::renew_lease(
    std::string const& lease, std::chrono::milliseconds ttl, monotonic_time now)
{
    advance(now);
    auto const found = leases_.find(lease);
    if (found == leases_.end())
        return false;
    found->second = now + ttl;
    return true;
}

worker_start
worker_core::start_task(worker_task_spec const& spec, monotonic_time now)
{
    advance(now);
    if (!is_valid_demand(spec.demand) || spec.run_time < until_stopped)
        return worker_start::invalid;
    if (tasks_.contains(spec.id))
        return worker_start::already_seen;
    if (!leases_.contains(spec.lease))
        return worker_start::lease_lapsed;
    if (!fits(in_use_ + spec.demand, settings_.capacity)) {
        ++refused_for_room_;
        return worker_start::no_room;
    }
    in_use_ += spec.demand;
    worker_task task;
    task.spec = spec;
    task.progress = read_checkpoint(spec.checkpoint);
    task.checkpoint = spec.checkpoint;
    auto const& added = tasks_.emplace(spec.id, std::move(task)).first->second;
    on_event_("task_start", added, spec.checkpoint.empty() ? "new" : "resumed");
    return worker_start::started;
}

std::optional<std::string>
worker_core::checkpoint(attempt_id const& id, monotonic_time now)
{
    advance(now);
    auto* task = find_running(id);
    if (task == nullptr)
        return std::nullopt;
    task->checkpoint = write_checkpoint(task->progress);
    on_event_("task_checkpoint", *task, "asked");
    return task->checkpoint;
}

bool worker_core::throttle(
    attempt_id const& id, int percent, monotonic_time now)
{
    advance(now);
    auto* task = find_running(id);
    if (task == nullptr)
        return false;
    task->percent = std::clamp(percent, 0, full_speed_percent);
    return true;
}

std::optional<std::string>
worker_core::stop(attempt_id const& id, monotonic_time now)
{
    advance(now);
    auto const* known = find(id);
    if (known == nullptr)
        return std::nullopt;
    auto* task = find_running(id);
    if (task == nullptr)
        return known->checkpoint;
    task->checkpoint = write_checkpoint(task->progress);
    end(*task, worker_task_state::stopped);
    return task->checkpoint;
}

bool worker_core::forget(attempt_id const& id, monotonic_time now)
{
    advance(now);
    if (find(id) == nullptr || find_running(id) != nullptr)
        return false;
    tasks_.erase(id);
    return true;
}

std::vector<worker_usage> worker_core::usage(monotonic_time now)
{
    advance(now);
    auto const wanted = now - settings_.usage_lag;
    auto const later = std::find_if(
        samples_.begin(), samples_.end(),
        [wanted](usage_sample const& each) { return each.at > wanted; });
    if (later == samples_.begin())
        return {};
    auto const& sample = *std::prev(later);
    auto reports = sample.tasks;
    for (auto& report : reports)
        report.age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - sample.at);
    return reports;
}

} // namespace sycamorespar::standins
