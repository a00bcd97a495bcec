/// Simulates workers and services in virtual time.
#include "bench/fake_fleet.hpp"

#include <algorithm>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace sycamorespar::bench {

namespace {

constexpr double bin_growth = 1.01;
constexpr double lowest_latency = 0.1;
constexpr std::size_t noise_table_size = 4096;
constexpr double service_memory_part = 0.10;
constexpr int bad_worker_fails_after = 5;

} // namespace

void latency_counts::add(double value)
{
    auto const bin = std::log(value / lowest_latency) / std::log(bin_growth);
    ++counts_[std::size_t(std::clamp(int(bin), 0, bins_ - 1))];
    ++total_;
}

double latency_counts::quantile(double probability) const
{
    auto const target = probability * double(total_);
    std::uint64_t counted = 0;
    for (int bin = 0; bin < bins_; ++bin) {
        counted += counts_[std::size_t(bin)];
        if (double(counted) >= target)
            return lowest_latency * std::pow(bin_growth, bin + 1);
    }
    return 0.0;
}

fake_fleet::fake_fleet(
    nlohmann::json const& settings, fleet_shape const& shape,
    ground_truth const& truth, std::uint64_t seed)
    : settings_(settings), shape_(shape), truth_(truth), engine_(seed),
      workers_(std::size_t(shape.workers))
{
    boost::random::normal_distribution<double> normal(
        0.0, settings.at("request_noise"));
    for (std::size_t i = 0; i < noise_table_size; ++i)
        request_noise_.push_back(std::exp(normal(engine_)));
    report_every_ = settings.at("report_every_seconds");
    report_lag_ = settings.at("report_lag_seconds");
    report_noise_ = settings.at("report_noise");
    requests_per_second_ = settings.at("requests_per_second");
    restart_seconds_ = settings.at("restart_seconds");
    periodic_checkpoint_ = settings.at("periodic_checkpoint_seconds");
    service_share_ = settings.at("service_share");
    usual_failures_ = settings.at("usual_task_failures");
}

worker_description fake_fleet::describe(std::size_t worker) const
{
    auto const rack = worker / std::size_t(shape_.workers_in_rack);
    return {
        worker_id{"w" + std::to_string(worker)},
        failure_domain_id{"d" + std::to_string(domain_of(worker))},
        rack_id{"r" + std::to_string(rack)}, shape_.worker_size};
}

std::size_t fake_fleet::domain_of(std::size_t worker) const
{
    auto const rack = worker / std::size_t(shape_.workers_in_rack);
    return rack % std::size_t(shape_.domains);
}

std::size_t fake_fleet::service_of(std::size_t worker) const
{
    return worker % settings_.at("services").size();
}

resources fake_fleet::service_reservation() const
{
    return {
        std::llround(service_share_ * double(shape_.worker_size.millicores)),
        std::llround(
            service_memory_part * double(shape_.worker_size.memory_mib)),
        0};
}

bool fake_fleet::admits(std::size_t worker, resources const& reserved) const
{
    auto sum = service_reservation() + reserved;
    for (auto const& task : workers_[worker].tasks)
        sum += task.reserved;
    return workers_[worker].is_up && fits(sum, shape_.worker_size);
}

void fake_fleet::start(
    std::size_t worker, fake_job job, resources const& reserved, int delay)
{
    boost::random::uniform_01<double> chance;
    fake_task task;
    ++job.attempts;
    task.starts_at = now_ + delay + (job.attempts > 1 ? restart_seconds_ : 0);
    task.saved_at = task.starts_at;
    if (job.is_bad || bad_worker_ == worker ||
        chance(engine_) < usual_failures_)
        task.fails_at = task.starts_at + bad_worker_fails_after;
    task.job = job;
    task.reserved = reserved;
    workers_[worker].tasks.push_back(task);
}

void fake_fleet::evict(std::size_t worker, std::size_t job)
{
    for (auto& task : workers_[worker].tasks) {
        if (task.job.number != job || task.stops_at != 0)
            continue;
        auto const& truth = truth_.classes[task.job.class_index];
        task.stops_at = now_ + std::max(1, truth.checkpoint_seconds);
        if (is_counting_)
            ++statistics_.evictions;
    }
}

void fake_fleet::cancel(std::size_t worker, std::size_t job)
{
    for (auto& task : workers_[worker].tasks) {
        if (task.job.number == job)
            task.job.is_cancelled = true;
    }
}

bool fake_fleet::is_up(std::size_t worker) const
{
    return workers_[worker].is_up;
}

void fake_fleet::set_domain_up(std::size_t domain, bool up)
{
    std::vector<fleet_event> events;
    for (std::size_t worker_index = 0; worker_index < workers_.size();
         ++worker_index) {
        if (domain_of(worker_index) != domain)
            continue;
        workers_[worker_index].is_up = up;
        while (!up && !workers_[worker_index].tasks.empty()) {
            ++statistics_.killed_by_drain;
            end(worker_index, 0, task_ended::kind::lost, events);
        }
    }
    for (auto& event : events)
        lost_tasks_.push_back(std::get<task_ended>(event));
}

void fake_fleet::set_counting(bool counting, bool draining)
{
    is_counting_ = counting;
    is_draining_ = draining;
}

std::vector<double> fake_fleet::shares(std::size_t worker) const
{
    std::vector<double> sums(truth_.classes.size());
    auto const whole = double(shape_.worker_size.millicores);
    for (auto const& task : workers_[worker].tasks) {
        if (now_ < task.starts_at || task.stops_at != 0)
            continue;
        sums[task.job.class_index] +=
            task.speed * double(task.job.actual.millicores) / whole;
    }
    return sums;
}

// If the demand exceeds the processors, all tasks slow down equally.
double fake_fleet::contention(std::vector<double> const& sums) const
{
    auto used = service_share_ * load_;
    for (auto const share : sums)
        used += share;
    return std::max(1.0, used);
}

double
fake_fleet::effect_on(std::size_t victim, std::vector<double> const& sums) const
{
    double effect = 0.0;
    for (std::size_t other = 0; other < sums.size(); ++other)
        effect += truth_.effects[victim][other] * sums[other];
    return effect;
}

double fake_fleet::true_slowdown(std::size_t worker) const
{
    auto const sums = shares(worker);
    return contention(sums) *
           (1.0 + load_ * effect_on(service_of(worker), sums));
}

std::vector<fleet_event> fake_fleet::advance()
{
    ++now_;
    std::vector<fleet_event> events;
    for (auto const& killed : lost_tasks_)
        events.emplace_back(killed);
    lost_tasks_.clear();
    for (std::size_t worker_index = 0; worker_index < workers_.size();
         ++worker_index) {
        if (!workers_[worker_index].is_up)
            continue;
        serve(worker_index);
        run_tasks(worker_index, events);
        check_memory(worker_index, events);
    }
    while (!delayed_reports_.empty() && delayed_reports_.front().due <= now_) {
        events.emplace_back(delayed_reports_.front().report);
        delayed_reports_.pop_front();
    }
    return events;
}

void fake_fleet::serve(std::size_t worker_index)
{
    auto& worker = workers_[worker_index];
    auto const slowdown = true_slowdown(worker_index);
    worker.slowdown_sum += slowdown;
    boost::random::uniform_int_distribution<std::size_t> pick(
        0, noise_table_size - 1);
    for (int i = 0; is_counting_ && i < requests_per_second_; ++i) {
        auto const alone = request_noise_[pick(engine_)];
        statistics_.latency_alone.add(alone);
        statistics_.latency.add(alone * slowdown);
    }
    if (now_ % report_every_ != 0)
        return;
    boost::random::normal_distribution<double> noise(0.0, report_noise_);
    auto const mean = worker.slowdown_sum / report_every_;
    worker.slowdown_sum = 0.0;
    service_reported const report{
        worker_index, service_of(worker_index), mean * std::exp(noise(engine_)),
        now_ - report_every_, now_};
    delayed_reports_.push_back({now_ + report_lag_, report});
}

void fake_fleet::run_tasks(
    std::size_t worker_index, std::vector<fleet_event>& events)
{
    using kind = task_ended::kind;
    auto const sums = shares(worker_index);
    auto const contention_factor = contention(sums);
    auto& tasks = workers_[worker_index].tasks;
    for (std::size_t i = 0; i < tasks.size();) {
        auto& task = tasks[i];
        if (task.job.is_cancelled) {
            end(worker_index, i, kind::cancelled, events);
            continue;
        }
        if (task.stops_at != 0 && now_ >= task.stops_at) {
            task.job.saved_seconds = task.job.done_seconds;
            end(worker_index, i, kind::evicted, events);
            continue;
        }
        if (now_ < task.starts_at || task.stops_at != 0) {
            ++i;
            continue;
        }
        if (task.fails_at != 0 && now_ >= task.fails_at) {
            end(worker_index, i, kind::failed, events);
            continue;
        }
        auto const progress = task.speed / contention_factor /
                              (1.0 + effect_on(task.job.class_index, sums));
        task.job.done_seconds += progress;
        auto const work = progress * double(task.job.actual.millicores) / 1000;
        if (is_counting_)
            statistics_.useful_core_seconds += work;
        if (is_counting_ && is_draining_)
            statistics_.drain_core_seconds += work;
        if (now_ - task.saved_at >= periodic_checkpoint_) {
            task.saved_at = now_;
            task.job.saved_seconds = task.job.done_seconds;
        }
        if (task.job.done_seconds >= task.job.work_seconds) {
            end(worker_index, i, kind::finished, events);
            continue;
        }
        ++i;
    }
}

// While memory is overcommitted, ends the task that exceeds its reservation
// most.
void fake_fleet::check_memory(
    std::size_t worker_index, std::vector<fleet_event>& events)
{
    auto& tasks = workers_[worker_index].tasks;
    for (;;) {
        auto used = service_reservation().memory_mib;
        for (auto const& task : tasks)
            used += now_ >= task.starts_at ? task.job.actual.memory_mib : 0;
        if (used <= shape_.worker_size.memory_mib || tasks.empty())
            return;
        auto const excess = [](fake_task const& task) {
            return task.job.actual.memory_mib - task.reserved.memory_mib;
        };
        auto const worst = std::max_element(
            tasks.begin(), tasks.end(),
            [&](fake_task const& left, fake_task const& right) {
                return excess(left) < excess(right);
            });
        end(worker_index, std::size_t(worst - tasks.begin()),
            task_ended::kind::out_of_memory, events);
    }
}

void fake_fleet::end(
    std::size_t worker_index, std::size_t position, task_ended::kind how,
    std::vector<fleet_event>& events)
{
    using kind = task_ended::kind;
    auto& tasks = workers_[worker_index].tasks;
    auto& task = tasks[position];
    if (is_counting_) {
        statistics_.finished += how == kind::finished ? 1 : 0;
        statistics_.out_of_memory += how == kind::out_of_memory ? 1 : 0;
        statistics_.failures += how == kind::failed ? 1 : 0;
    }
    if (how != kind::finished && how != kind::evicted) {
        auto const lost = discard_unsaved_work(task);
        // The work of a cancelled job does not count as lost: the system did
        // not cause it.
        if (is_counting_ && how != kind::cancelled) {
            statistics_.lost_core_seconds += lost;
            statistics_.useful_core_seconds -= lost;
        }
        if (is_counting_ && is_draining_ && how != kind::cancelled)
            statistics_.drain_core_seconds -= lost;
    }
    if (how == kind::evicted && is_counting_) {
        auto const cores = double(task.job.actual.millicores) / 1000;
        auto const pause =
            truth_.classes[task.job.class_index].checkpoint_seconds +
            restart_seconds_;
        statistics_.lost_core_seconds += cores * pause;
    }
    events.emplace_back(task_ended{worker_index, task.job, task.reserved, how});
    tasks.erase(tasks.begin() + std::ptrdiff_t(position));
}

double fake_fleet::discard_unsaved_work(fake_task& task)
{
    auto const seconds = task.job.done_seconds - task.job.saved_seconds;
    task.job.done_seconds = task.job.saved_seconds;
    return seconds * double(task.job.actual.millicores) / 1000;
}

} // namespace sycamorespar::bench
