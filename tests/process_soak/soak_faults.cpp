/// Series of faults overlap: each draws how long it takes, and the next one
/// doesn't wait for it.
#include "process_soak/soak_faults.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorespar::tests {

using std::chrono::milliseconds;

soak_faults::soak_faults(soak_world& world, std::set<std::string> const& names)
    : world_(world), workers_(world), faults_(chosen_faults(names))
{}

void soak_faults::inject_until(monotonic_time until)
{
    until_ = until;
    inject_next();
}

std::vector<soak_faults::fault> soak_faults::all_faults()
{
    return {
        {"store", 3, &soak_faults::lose_store},
        {"part", 6, &soak_faults::part_machines},
        {"freeze-runner", 5, &soak_faults::freeze_runners},
        {"freeze-and-part", 3, &soak_faults::freeze_and_part},
        {"freeze-scheduler", 3, &soak_faults::freeze_scheduler},
        {"kill", 3, &soak_faults::kill_machine},
        {"stop", 2, &soak_faults::stop_machine},
        {"cut-reports", 3, &soak_faults::cut_reports},
        {"isolate-leader", 2, &soak_faults::isolate_leader},
        {"cut-worker", 3, &soak_faults::cut_worker},
        {"cut-announcements", 1, &soak_faults::cut_announcements},
        {"crash-worker", 2, &soak_faults::crash_worker},
        {"pause-worker", 3, &soak_faults::pause_worker},
        {"starve-worker", 3, &soak_faults::starve_worker},
        {"drain-worker", 3, &soak_faults::drain_worker},
        {"late-orders", 2, &soak_faults::delay_orders},
        {"cut-watches", 3, &soak_faults::cut_watches},
        {"silence", 2, &soak_faults::silence_connections},
        {"cut-answers", 2, &soak_faults::cut_answers},
        {"cut-job-watches", 1, &soak_faults::cut_job_watches},
        {"lose-answers", 2, &soak_faults::lose_answers},
        {"late-write", 2, &soak_faults::delay_write},
        {"revoke", 2, &soak_faults::revoke_leadership},
        {"odd-announcement", 2, &soak_faults::announce_oddly},
        {"configuration", 1, &soak_faults::change_configuration},
        {"evacuate", 2, &soak_faults::evacuate},
        {"stall", 2, &soak_faults::stall_tasks},
        {"weak-worker", 2, &soak_faults::weaken_worker}};
}

/// The kinds whose names are given, or all.
std::vector<soak_faults::fault>
soak_faults::chosen_faults(std::set<std::string> const& names)
{
    auto chosen = all_faults();
    std::erase_if(chosen, [&](fault const& each) {
        return !names.empty() && !names.contains(each.name);
    });
    return chosen;
}

void soak_faults::inject_next()
{
    if (event_loop::now() >= until_)
        return;
    int sum = 0;
    for (auto const& each : faults_)
        sum += each.weight;
    auto left = world_.random.between(0, sum - 1);
    for (auto const& each : faults_) {
        left -= each.weight;
        if (left < 0) {
            (this->*each.inject)();
            break;
        }
    }
    world_.loop.after(
        world_.random.between_ms(100, 1800), [this] { inject_next(); });
}

std::size_t soak_faults::leader_or_any()
{
    auto const leader = world_.deployed.leader();
    return leader && world_.random.chance(0.7)
               ? *leader
               : world_.random.any_of(world_.deployed.schedulers());
}

void soak_faults::lose_store()
{
    constexpr std::array<char const*, 4> modes = {
        "down", "silent", "busy", "slow"};
    auto const mode =
        modes.at(static_cast<std::size_t>(world_.random.between(0, 3)));
    auto const time = world_.random.between_ms(300, 8000);
    world_.note(fmt::format("store {} for {} ms", mode, time.count()));
    world_.deployed.store().control({{"mode", mode}, {"delay_ms", 120}});
    auto const number = ++last_outage_;
    world_.loop.after(time, [this, number] {
        if (number == last_outage_)
            soak_faults::restore_store();
    });
}

void soak_faults::restore_store()
{
    world_.note("store up");
    world_.deployed.store().control({{"mode", "up"}});
}

/// The machines whose connections to the store are cut together, each with
/// the given chance.
std::vector<standins::loopback_proxy*> soak_faults::draw_machines(double part)
{
    std::vector<standins::loopback_proxy*> drawn;
    drawn.push_back(world_.deployed.schedulers()[leader_or_any()].store.get());
    for (auto& each : world_.deployed.runners()) {
        if (world_.random.chance(part))
            drawn.push_back(each.store.get());
    }
    return drawn;
}

void soak_faults::part_machines()
{
    auto const mode = world_.random.chance(0.5) ? standins::proxy_mode::reset
                                                : standins::proxy_mode::silent;
    auto const time = world_.random.between_ms(1000, 9000);
    auto const parted = draw_machines(0.1 + 0.4 * world_.random.share());
    world_.note(fmt::format(
        "{} machines parted from the store, mode {}, for {} ms", parted.size(),
        static_cast<int>(mode), time.count()));
    for (auto* const each : parted) {
        cut(*each, mode, time);
    }
    if (world_.random.chance(0.3))
        soak_faults::revoke_leadership();
}

void soak_faults::freeze_runners()
{
    auto const count = world_.random.between(1, 2);
    for (std::int64_t at = 0; at < count; ++at)
        soak_faults::freeze(
            world_.deployed
                .runners()[world_.random.any_of(world_.deployed.runners())]);
}

/// Runners stand still, and then the leader is parted from the store with
/// others: when they wake up, they follow another leader.
void soak_faults::freeze_and_part()
{
    soak_faults::freeze_runners();
    world_.loop.after(
        world_.random.between_ms(500, 2500), [this] { part_machines(); });
}

void soak_faults::freeze_scheduler()
{
    freeze(world_.deployed.schedulers()[leader_or_any()]);
}

void soak_faults::freeze(standins::deployed_machine& machine)
{
    auto const time = world_.random.between_ms(300, 7000);
    world_.note(
        fmt::format("{} frozen for {} ms", machine.address, time.count()));
    auto* const process = machine.process.get();
    process->signal(SIGSTOP);
    world_.loop.after(time, [process] { process->signal(SIGCONT); });
}

standins::deployed_machine& soak_faults::any_machine()
{
    return world_.random.chance(0.5)
               ? world_.deployed.schedulers()[leader_or_any()]
               : world_.deployed.runners()[world_.random.any_of(
                     world_.deployed.runners())];
}

void soak_faults::kill_machine()
{
    auto& machine = any_machine();
    world_.note(fmt::format("{} killed", machine.address));
    machine.process->kill();
    soak_faults::restart_later(
        *machine.process, world_.random.between_ms(50, 2500));
}

void soak_faults::stop_machine()
{
    auto& machine = any_machine();
    world_.note(fmt::format("{} stopped", machine.address));
    machine.process->signal(SIGTERM);
    soak_faults::restart_later(
        *machine.process, world_.random.between_ms(300, 3000));
}

/// Starts the process again; one that doesn't end in time is killed, as the
/// platform does.
void soak_faults::restart_later(
    standins::managed_process& process, milliseconds delay)
{
    world_.loop.after(delay, [&process] {
        process.kill();
        process.start();
    });
}

void soak_faults::cut(
    standins::loopback_proxy& link, standins::proxy_mode mode,
    milliseconds time)
{
    link.set_mode(mode);
    auto const number = ++parted_[&link];
    world_.loop.after(time, [this, &link, number] {
        if (parted_[&link] == number)
            link.set_mode(standins::proxy_mode::pass);
    });
}

standins::proxy_mode soak_faults::draw_cut()
{
    using standins::proxy_mode;
    constexpr std::array<proxy_mode, 5> modes = {
        proxy_mode::reset, proxy_mode::silent, proxy_mode::hold_requests,
        proxy_mode::hold_answers, proxy_mode::hold};
    return modes.at(static_cast<std::size_t>(
        world_.random.between(0, static_cast<std::int64_t>(modes.size()) - 1)));
}

/// Some runners and some schedulers lose each other, one way or both.
void soak_faults::cut_reports()
{
    auto const mode = draw_cut();
    auto const time = world_.random.between_ms(200, 9000);
    auto const part = 0.1 + 0.5 * world_.random.share();
    auto const scheduler = leader_or_any();
    bool const cuts_all = world_.random.chance(0.3);
    world_.note(fmt::format(
        "reports cut to scheduler {}, all {}, {:.2f} of the runners, mode {}, "
        "for {} ms",
        scheduler + 1, cuts_all, part, static_cast<int>(mode), time.count()));
    for (auto& links : world_.deployed.links()) {
        if (!world_.random.chance(part))
            continue;
        for (std::size_t at = 0; at < links.reports.size(); ++at) {
            if (cuts_all || at == scheduler)
                cut(*links.reports[at], mode, time);
        }
    }
}

/// All runners lose the leader, which still reaches the store.
void soak_faults::isolate_leader()
{
    auto const mode = draw_cut();
    auto const time = world_.random.between_ms(1000, 9000);
    auto const scheduler = leader_or_any();
    world_.note(fmt::format(
        "scheduler {} isolated from the runners, mode {}, for {} ms",
        scheduler + 1, static_cast<int>(mode), time.count()));
    for (auto& links : world_.deployed.links())
        cut(*links.reports[scheduler], mode, time);
}

void soak_faults::cut_worker()
{
    auto const mode = draw_cut();
    auto const time = world_.random.between_ms(200, 9000);
    auto const part = 0.1 + 0.4 * world_.random.share();
    world_.note(fmt::format(
        "{:.2f} of the workers parted from their runners, mode {}, for {} ms",
        part, static_cast<int>(mode), time.count()));
    for (auto& links : world_.deployed.links()) {
        if (!world_.random.chance(part))
            continue;
        cut(*links.worker, mode, time);
        if (world_.random.chance(0.5))
            cut(*links.announcements, mode, time);
    }
}

void soak_faults::cut_announcements()
{
    auto const mode = draw_cut();
    auto const time = world_.random.between_ms(200, 9000);
    world_.note(fmt::format(
        "announcements cut, mode {}, for {} ms", static_cast<int>(mode),
        time.count()));
    for (auto& links : world_.deployed.links()) {
        if (world_.random.chance(0.4))
            cut(*links.announcements, mode, time);
    }
}

std::vector<standins::loopback_proxy*> soak_faults::store_links()
{
    std::vector<standins::loopback_proxy*> found;
    for (auto* const group :
         {&world_.deployed.schedulers(), &world_.deployed.runners()}) {
        for (auto& each : *group)
            found.push_back(each.store.get());
    }
    return found;
}

/// The runners' links to their workers and to the schedulers.
std::vector<standins::loopback_proxy*> soak_faults::runner_links()
{
    std::vector<standins::loopback_proxy*> found;
    for (auto& links : world_.deployed.links()) {
        found.push_back(links.worker.get());
        for (auto& each : links.reports)
            found.push_back(each.get());
    }
    return found;
}

void soak_faults::cut_watches()
{
    bool const loses_history = world_.random.chance(0.6);
    world_.note(fmt::format("watches cut, history lost {}", loses_history));
    if (loses_history)
        world_.deployed.store().kv().drop_history();
    for (auto* const each : store_links())
        each->reset_connections();
}

void soak_faults::silence_connections()
{
    auto const part = 0.2 + 0.6 * world_.random.share();
    world_.note(fmt::format("connections silent, {:.2f}", part));
    for (auto* const each : store_links()) {
        if (world_.random.chance(part))
            each->silence_connections();
    }
    for (auto* const each : runner_links()) {
        if (world_.random.chance(part))
            each->silence_connections();
    }
}

/// Connections go silent within an answer.
void soak_faults::cut_answers()
{
    static std::vector<std::string> const store_calls = {
        "kv-watch", "kv-range", "kv-txn", "kv-keep"};
    auto const& call = store_calls[world_.random.any_of(store_calls)];
    auto const part = 0.2 + 0.6 * world_.random.share();
    world_.note(fmt::format("answers cut, {}, {:.2f}", call, part));
    for (auto* const each : store_links()) {
        if (world_.random.chance(part))
            each->cut_next_answer(call);
    }
    for (auto* const each : runner_links()) {
        if (world_.random.chance(part))
            each->cut_next_answer("");
    }
}

/// The leader is told half of the next change of a job.
void soak_faults::cut_job_watches()
{
    world_.note("watches of jobs cut within an answer");
    for (auto* const each : store_links())
        each->cut_next_answer("kv-watch?prefix=job/");
}

void soak_faults::lose_answers()
{
    auto const count = world_.random.between(1, 6);
    world_.note(fmt::format("{} answers to writes lost", count));
    world_.deployed.store().control({{"lose_answers", count}});
}

void soak_faults::delay_write()
{
    auto const time = world_.random.between_ms(1000, 6000);
    auto& machine = world_.deployed.schedulers()[leader_or_any()];
    world_.note(fmt::format(
        "a write of {} is {} ms late", machine.address, time.count()));
    machine.store->delay_next("/-/kv-txn", time);
}

void soak_faults::revoke_leadership()
{
    auto& kv = world_.deployed.store().kv();
    world_.note("leadership revoked");
    kv.revoke_lease(kv.lease_of("office/scheduler"));
}

void soak_faults::change_configuration()
{
    world_.note("configuration changes");
    world_.deployed.change_configuration();
}

void soak_faults::evacuate()
{
    auto const domain = static_cast<std::size_t>(world_.random.between(
        0,
        static_cast<std::int64_t>(standins::deployment::domain_count()) - 1));
    auto const time = world_.random.between_ms(1000, 9000);
    world_.note(fmt::format(
        "failure domain {} evacuated for {} ms", domain, time.count()));
    world_.deployed.evacuate(domain, true);
    auto const number = ++evacuated_[domain];
    world_.loop.after(time, [this, domain, number] {
        if (evacuated_[domain] == number)
            world_.deployed.evacuate(domain, false);
    });
}

/// What runs on some workers stands still.
void soak_faults::stall_tasks()
{
    auto const part = 0.1 + 0.3 * world_.random.share();
    auto const time = world_.random.between_ms(1000, 7000);
    world_.note(
        fmt::format("tasks stand still, {:.2f}, {} ms", part, time.count()));
    for (auto& each : world_.deployed.workers()) {
        if (world_.random.chance(part))
            each->limit_speed(0, time);
    }
}

/// A worker is slow, or fails what it begins.
void soak_faults::weaken_worker()
{
    auto const at = world_.random.any_of(world_.deployed.workers());
    auto& worker = *world_.deployed.workers()[at];
    auto const time = world_.random.between_ms(1000, 8000);
    bool const fails = world_.random.chance(0.5);
    world_.note(fmt::format(
        "worker {} {}", worker.id(), fails ? "fails its runs" : "is slow"));
    if (fails)
        worker.fail_runs(time);
    else
        worker.limit_speed(world_.random.between(15, 60), time);
}

void soak_faults::end_faults()
{
    world_.note("faults end");
    ++last_outage_;
    soak_faults::restore_store();
    world_.deployed.store().control({{"lose_answers", 0}});
    for (auto* const each : store_links())
        each->cancel_cut();
    for (auto* const each : runner_links())
        each->cancel_cut();
    for (auto& [domain, number] : evacuated_) {
        ++number;
        world_.deployed.evacuate(domain, false);
    }
    for (auto& [link, number] : parted_) {
        ++number;
        link->set_mode(standins::proxy_mode::pass);
    }
}

} // namespace sycamorespar::tests
