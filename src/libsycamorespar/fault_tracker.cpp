/// Distinguishes faulty workers from jobs that fail on every worker.
#include "libsycamorespar/fault_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace sycamorespar {

namespace {

// Prior: a class fails one task in ten.
constexpr double prior_failures = 1.0;
constexpr double prior_ends = 10.0;

// Old ends decay, so that the failure rate of a fixed class recovers.
constexpr double class_decay = 0.995;

constexpr double lowest_rate = 0.01;
constexpr double highest_rate = 0.85;

// A worker above this fraction of the quarantine threshold is suspect: failures
// on it are no evidence against a job.
constexpr double suspect_fraction = 0.5;

} // namespace

fault_tracker::fault_tracker(fault_settings const& settings)
    : settings_(settings)
{}

std::vector<fault_action> fault_tracker::on_task_end(
    task_end const& end, std::size_t fleet_size, monotonic_time now)
{
    if (end.how == task_end_kind::cancelled ||
        end.how == task_end_kind::evicted)
        return {};
    auto const has_failed = end.how == task_end_kind::failed;
    if (is_quarantined(end.where)) {
        auto const after = on_probe_end(end.where, has_failed, now);
        return after ? std::vector<fault_action>{*after}
                     : std::vector<fault_action>{};
    }
    auto const expected_rate = expected_failure_rate(end);
    auto const is_first_here = !has_failed || record_job_failure(end);
    update_class(end);
    if (!has_failed)
        jobs_.erase(end.job);

    std::vector<fault_action> actions;
    auto& odds = workers_[end.where].log_odds;
    auto const bad = settings_.bad_worker_failures;
    // A second failure of a job on the same worker is no new evidence.
    if (has_failed && is_first_here)
        odds += std::log(bad / expected_rate);
    if (!has_failed)
        odds += std::log((1.0 - bad) / (1.0 - expected_rate));
    odds = std::max(0.0, odds);
    if (auto const verdict = evaluate_worker(end.where, fleet_size, now))
        actions.push_back(*verdict);
    auto const good_workers = has_failed ? good_workers_failed_on(end.job) : 0;
    if (good_workers >= settings_.job_failures) {
        actions.emplace_back(park_job{
            end.job, "failed on " + std::to_string(good_workers) +
                         " workers that run other tasks well"});
        jobs_.erase(end.job);
    }
    return actions;
}

void fault_tracker::forget_worker(worker_id const& id)
{
    auto const found = workers_.find(id);
    if (found == workers_.end())
        return;
    quarantined_ -= found->second.is_quarantined ? 1 : 0;
    workers_.erase(found);
}

bool fault_tracker::is_quarantined(worker_id const& id) const
{
    auto const found = workers_.find(id);
    return found != workers_.end() && found->second.is_quarantined;
}

std::vector<worker_id> fault_tracker::take_due_probes(monotonic_time now)
{
    std::vector<worker_id> due;
    if (quarantined_ == 0)
        return due;
    for (auto& [id, record] : workers_) {
        if (!record.is_quarantined || record.next_probe > now)
            continue;
        record.next_probe = now + record.probe_wait;
        due.push_back(id);
    }
    std::sort(due.begin(), due.end());
    return due;
}

double fault_tracker::log_odds(worker_id const& id) const
{
    auto const found = workers_.find(id);
    return found == workers_.end() ? 0.0 : found->second.log_odds;
}

fault_tracker::class_record& fault_tracker::class_of(class_number task_class)
{
    if (classes_.size() < task_class.value)
        classes_.resize(task_class.value);
    return classes_[task_class.value - 1];
}

fault_tracker::job_record& fault_tracker::job_of(job_id const& id)
{
    auto const [found, is_new] = jobs_.try_emplace(id);
    if (!is_new)
        return found->second;
    job_order_.push_back(id);
    while (job_order_.size() > settings_.remembered_jobs) {
        if (job_order_.front() != id)
            jobs_.erase(job_order_.front());
        job_order_.pop_front();
    }
    return found->second;
}

bool fault_tracker::is_suspect(worker_id const& id) const
{
    return is_quarantined(id) ||
           log_odds(id) > suspect_fraction * settings_.quarantine_log_odds;
}

// Expected failure rate of a task on a good worker: that of its class, or that
// of its own job if the job has failed on other workers, whichever is higher.
double fault_tracker::expected_failure_rate(task_end const& end) const
{
    auto rate = prior_failures / prior_ends;
    if (end.of.value <= classes_.size()) {
        auto const& record = classes_[end.of.value - 1];
        rate = (record.failures + prior_failures) / (record.ends + prior_ends);
    }
    auto const job = jobs_.find(end.job);
    if (job != jobs_.end()) {
        auto const& failed_on = job->second.failed_on;
        auto const elsewhere = static_cast<double>(
            failed_on.size() -
            static_cast<std::size_t>(
                std::count(failed_on.begin(), failed_on.end(), end.where)));
        rate = std::max(rate, elsewhere / (elsewhere + 1.0));
    }
    return std::clamp(rate, lowest_rate, highest_rate);
}

// A faulty worker ends tasks quickly and so gets many of them. Failures on a
// suspect worker are left out, so that they don't raise the failure rates of
// the classes that it ran.
void fault_tracker::update_class(task_end const& end)
{
    auto& record = class_of(end.of);
    if (end.how == task_end_kind::failed && is_suspect(end.where))
        return;
    record.failures *= class_decay;
    record.ends *= class_decay;
    record.ends += 1.0;
    record.failures += end.how == task_end_kind::failed ? 1.0 : 0.0;
}

// \return true if the job had not failed on this worker before.
bool fault_tracker::record_job_failure(task_end const& end)
{
    auto& failed_on = job_of(end.job).failed_on;
    auto const is_known =
        std::find(failed_on.begin(), failed_on.end(), end.where) !=
        failed_on.end();
    if (!is_known)
        failed_on.push_back(end.where);
    return !is_known;
}

std::size_t fault_tracker::good_workers_failed_on(job_id const& id) const
{
    auto const found = jobs_.find(id);
    if (found == jobs_.end())
        return 0;
    auto const& failed_on = found->second.failed_on;
    return static_cast<std::size_t>(std::count_if(
        failed_on.begin(), failed_on.end(),
        [&](worker_id const& worker) { return !is_suspect(worker); }));
}

std::optional<fault_action> fault_tracker::evaluate_worker(
    worker_id const& id, std::size_t fleet, monotonic_time now)
{
    auto& record = workers_[id];
    if (record.log_odds < settings_.quarantine_log_odds)
        return std::nullopt;
    // Many faulty workers at once probably have a common cause, which a
    // quarantine would not fix.
    auto const cap =
        std::max(1.0, settings_.quarantine_cap * static_cast<double>(fleet));
    if (static_cast<double>(quarantined_ + 1) > cap)
        return std::nullopt;
    record.is_quarantined = true;
    record.probes_finished = 0;
    record.probe_wait = settings_.first_probe_after;
    record.next_probe = now + record.probe_wait;
    ++quarantined_;
    return quarantine_worker{id};
}

std::optional<fault_action> fault_tracker::on_probe_end(
    worker_id const& id, bool has_failed, monotonic_time now)
{
    auto& record = workers_[id];
    if (has_failed) {
        record.probes_finished = 0;
        record.probe_wait = std::min<duration>(
            2 * record.probe_wait, settings_.longest_probe_wait);
        record.next_probe = now + record.probe_wait;
        return std::nullopt;
    }
    ++record.probes_finished;
    record.next_probe = now;
    if (record.probes_finished < settings_.probes_to_release)
        return std::nullopt;
    record = {};
    --quarantined_;
    return release_worker{id};
}

} // namespace sycamorespar
