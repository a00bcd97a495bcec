/// Learned estimates are soft state: a restarted entry begins with the declared
/// demands and learns again. Safety doesn't depend on them, since each agent
/// admits tasks by its actual free capacity.
#include "spar-entry/task_placer.hpp"

#include "common/log.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

/// Agents send heartbeats every 0.5 s: after this time all live ones are known.
constexpr std::chrono::seconds announcement_time{5};

worker_description describe(agent_report const& report)
{
    return {report.worker, report.domain, report.rack, report.capacity};
}

} // namespace

task_placer::task_placer(
    agent_directory const& directory, std::uint64_t seed,
    monotonic_time started_at)
    : directory_(directory), started_at_(started_at), engine_(seed)
{}

void task_placer::adopt_table(table_policy const& policy, monotonic_time now)
{
    for (failure_domain_id const& domain : policy.domains) {
        bool const was_out = policy_.domains_out.contains(domain);
        bool const is_out = policy.domains_out.contains(domain);
        if (is_out && !was_out)
            drains_.start_drain(domain, now);
        if (was_out && !is_out)
            drains_.return_to_service(domain, now);
    }
    policy_ = policy;
}

void task_placer::on_agent(agent_report const& report)
{
    if (!report.ready || report.leaving) {
        fleet_.remove_worker(report.worker);
        return;
    }
    fleet_.add_worker(describe(report));
    largest_worker_.millicores =
        std::max(largest_worker_.millicores, report.capacity.millicores);
    largest_worker_.memory_mib =
        std::max(largest_worker_.memory_mib, report.capacity.memory_mib);
    largest_worker_.accelerators =
        std::max(largest_worker_.accelerators, report.capacity.accelerators);
    std::vector<class_usage> running;
    for (row_usage const& each : report.running)
        running.push_back(
            {fleet_.class_of(each.row), each.tasks, each.committed});
    fleet_.set_running(report.worker, running);
    if (faults_.is_quarantined(report.worker))
        fleet_.set_available(report.worker, false);
}

void task_placer::on_agent_gone(worker_id const& worker)
{
    fleet_.remove_worker(worker);
}

placement_result task_placer::place(job_record const& job, monotonic_time now)
{
    fleet_.set_complete(now - started_at_ >= announcement_time);
    class_number const number = fleet_.class_of(job.request.row);
    resources const reserved = usage_estimator_.reservation(
        number, job.request.demand, largest_worker_);
    placement_hooks hooks;
    hooks.domain_open = [this, now](failure_domain_id const& domain) {
        return drains_.may_start_in(domain, fleet_.domain_totals(domain), now);
    };
    placement_choice const choice = choose_worker(
        reserved, job.request.row, policy_, fleet_, engine_, hooks);
    if (auto const* refused = std::get_if<placement_refusal>(&choice)) {
        if (refused->reason == refusal_reason::never_fits)
            return placement_impossible{refused->detail};
        return placement_deferred{};
    }
    worker_id const& worker = std::get<worker_id>(choice);
    known_agent const* agent = directory_.find(worker);
    if (agent == nullptr || !agent_directory::is_usable(*agent, now))
        return placement_deferred{};
    fleet_.commit(worker, number, reserved);
    return job_placement{
        worker, agent->report.domain, agent->report.issued, reserved, {}};
}

void task_placer::on_end(
    job_record const& job, attempt_report const& report, monotonic_time now)
{
    bool const finished = report.state == attempt_state::finished;
    if (!finished && report.state != attempt_state::failed)
        return;
    class_number const number = fleet_.class_of(job.request.row);
    if (finished && is_valid_demand(report.peak) && report.peak.millicores > 0)
        usage_estimator_.observe_finished(
            number, {job.request.demand, job.request.run},
            {report.peak, report.ran});
    task_end const end{
        job.request.id, number, report.worker,
        finished ? task_end_kind::finished : task_end_kind::failed};
    for (fault_action const& action :
         faults_.on_task_end(end, fleet_.totals().workers, now))
        execute(action);
}

void task_placer::execute(fault_action const& action)
{
    if (auto const* quarantined_worker =
            std::get_if<quarantine_worker>(&action)) {
        fleet_.set_available(quarantined_worker->id, false);
        log_event(
            log_level::warning, "worker_quarantined",
            {{"worker", quarantined_worker->id.value}});
    } else if (
        auto const* released_worker = std::get_if<release_worker>(&action)) {
        fleet_.set_available(released_worker->id, true);
        log_event(
            log_level::info, "worker_released",
            {{"worker", released_worker->id.value}});
    }
    // A job that fails on every worker is ended by the ledger's failure limit.
}

void task_placer::tick(monotonic_time now)
{
    for (worker_id const& worker : faults_.take_due_probes(now))
        fleet_.set_available(worker, true);
}

} // namespace sycamorespar
