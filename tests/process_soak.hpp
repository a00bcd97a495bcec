/// Runs the system as real processes under the real clock, with overlapping
/// series of faults drawn from a seed, and checks what became of each task.
#ifndef SYCAMORESPAR_TESTS_PROCESS_SOAK_HPP
#define SYCAMORESPAR_TESTS_PROCESS_SOAK_HPP

#include "common/http_client.hpp"
#include "standins/deployment/deployment.hpp"

#include <algorithm>
#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamorespar::tests {

using std::chrono::milliseconds;

/// Times of a soak.
struct process_soak_limits
{
    /// Faults begin after the processes have had this long to start.
    milliseconds start{3000};
    /// Faults and new jobs come for this long.
    milliseconds faults{20'000};
    /// How long the last faults may still act: they take at most 9 s, and late
    /// orders 12 s.
    milliseconds quiet{22'000};
    /// From then on no accepted job may have nothing running for so long while
    /// there is room (LOST).
    milliseconds longest_idle{3000};
    /// Nothing of a job may begin this long after its cancellation was
    /// acknowledged and the last faults were over.
    milliseconds cancel{3000};
    /// Nothing of it may run on this much later.
    milliseconds stop{900};
    /// The share of jobs whose tasks run until they are cancelled.
    double lasting = 0.05;
    /// Names of the kinds of faults to draw from; empty for all.
    std::set<std::string> kinds;
};

/// One run of a soak.
class process_soak
{
public:
    process_soak(
        std::uint64_t seed, standins::deployment_settings const& settings,
        process_soak_limits const& limits)
        : limits_(limits), faults_(chosen_faults(limits.kinds)), random_(seed),
          record_(settings.folder + "/events"), deployed_(loop_, settings)
    {}

    /// Runs to the end.
    void run()
    {
        auto const started = deployed_.start();
        if (!ok(started)) {
            auto const& why = failure(started);
            violations_.push_back(
                "doesn't start: " + why.step + " " + why.peer + " " +
                why.reason);
            return;
        }
        began_ = event_loop::now();
        faults_end_ = began_ + limits_.start + limits_.faults;
        connect_callers();
        loop_.after(limits_.start, [this] {
            submit_next();
            inject_next();
        });
        loop_.every(milliseconds(200), [this] { check_end(); });
        loop_.run();
        check();
    }

    /// What must never happen and did.
    std::vector<std::string> const& violations() const { return violations_; }
    /// The number of runs that workers began.
    std::size_t runs() { return deployed_.history().size(); }
    /// The number of accepted jobs.
    std::size_t accepted() const
    {
        std::size_t count = 0;
        for (auto const& [id, job] : jobs_)
            count += job.is_accepted ? 1 : 0;
        return count;
    }

private:
    struct submitted_job
    {
        std::string body;
        std::vector<std::size_t> step_counts;
        /// Thousandths of a core that a task takes.
        std::int64_t millicores = 0;
        /// How long a run takes; 0 if it lasts.
        milliseconds run_time{};
        /// How many runs a task needs if no fault ends one.
        std::int64_t runs_needed = 1;
        /// Since when it has had nothing running though there is room.
        std::optional<monotonic_time> idle_since;
        /// It has been idle for too long.
        bool is_lost = false;
        /// Its tasks run until it is cancelled.
        bool is_lasting = false;
        bool is_accepted = false;
        /// An attempt was answered otherwise than by a refusal.
        bool may_run = false;
        bool is_cancel_sent = false;
        /// When its cancellation was acknowledged.
        std::optional<monotonic_time> cancelled;
        std::size_t attempts = 0;
        std::size_t refusals = 0;
    };

    /// Another writer of announcements.
    struct odd_writer
    {
        /// What is odd about them.
        std::int64_t kind = 0;
        /// The worker that they name; empty for the runner's own.
        std::string id;
        /// Their start of the worker, against the real one.
        std::int64_t born_later_ms = 0;
        /// How many are still to come.
        std::int64_t left = 1;
    };

    /// A kind of fault, and how often it is drawn.
    struct fault
    {
        std::string name;
        int weight = 1;
        void (process_soak::*inject)() = nullptr;
    };

    static std::vector<fault> all_faults()
    {
        return {
            {"store", 3, &process_soak::lose_store},
            {"part", 6, &process_soak::part_machines},
            {"freeze-runner", 5, &process_soak::freeze_runners},
            {"freeze-and-part", 3, &process_soak::freeze_and_part},
            {"freeze-scheduler", 3, &process_soak::freeze_scheduler},
            {"kill", 3, &process_soak::kill_machine},
            {"stop", 2, &process_soak::stop_machine},
            {"crash-worker", 2, &process_soak::crash_worker},
            {"late-orders", 2, &process_soak::delay_orders},
            {"cut-watches", 3, &process_soak::cut_watches},
            {"silence", 2, &process_soak::silence_connections},
            {"lose-answers", 2, &process_soak::lose_answers},
            {"late-write", 2, &process_soak::delay_write},
            {"revoke", 2, &process_soak::revoke_leadership},
            {"odd-announcement", 2, &process_soak::announce_oddly},
            {"configuration", 1, &process_soak::change_configuration}};
    }

    /// The kinds whose names are given, or all.
    static std::vector<fault> chosen_faults(std::set<std::string> const& names)
    {
        auto chosen = all_faults();
        std::erase_if(chosen, [&](fault const& each) {
            return !names.empty() && !names.contains(each.name);
        });
        return chosen;
    }

    // Random values

    double share()
    {
        boost::random::uniform_01<double> draw;
        return draw(random_);
    }
    bool chance(double of) { return share() < of; }
    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        boost::random::uniform_int_distribution<std::int64_t> draw(least, most);
        return draw(random_);
    }
    milliseconds between_ms(std::int64_t least, std::int64_t most)
    {
        return milliseconds(between(least, most));
    }
    template<class T>
    std::size_t any_of(std::vector<T> const& of)
    {
        return static_cast<std::size_t>(
            between(0, static_cast<std::int64_t>(of.size()) - 1));
    }

    void note(std::string const& what)
    {
        auto const at =
            std::chrono::duration<double>(event_loop::now().time_since_epoch());
        record_ << fmt::format("{:.3f} {}\n", at.count(), what);
        record_.flush();
    }

    /// Runs the call later, unless the soak is over by then.
    void after(milliseconds delay, std::function<void()> call)
    {
        loop_.after(delay, std::move(call));
    }

    // Callers

    void connect_callers()
    {
        http_client_limits limits;
        limits.timeout = milliseconds(1500);
        limits.idle = keep_alive_time;
        for (std::size_t at = 0; at < deployed_.schedulers().size(); ++at)
            callers_.push_back(std::make_unique<http_client>(
                loop_, deployed_.callers_of(at), limits));
    }

    void call(
        std::size_t scheduler, std::string const& method, std::string const& id,
        std::string const& body, std::function<void(int)> on_status)
    {
        callers_[scheduler]->call(
            {method,
             deployed_.prefix + id,
             {{"Content-Type", "application/json"},
              {"X-Request-Deadline-Ms", "1500"}},
             body},
            [this, method, id,
             on_status = std::move(on_status)](auto const& answer) {
                auto const status = ok(answer) ? value(answer).status : 0;
                note(fmt::format("caller {} {}: {}", method, id, status));
                on_status(status);
            });
    }

    void submit_next()
    {
        if (event_loop::now() >= faults_end_)
            return;
        auto const id = fmt::format("{:016x}", ++last_job_);
        jobs_[id] = draw_job();
        submit(id, any_of(callers_));
        after(between_ms(150, 450), [this] { submit_next(); });
    }

    submitted_job draw_job()
    {
        submitted_job drawn;
        drawn.is_lasting = chance(limits_.lasting);
        auto const failures = !drawn.is_lasting && chance(0.1) ? 1 : 0;
        auto const millicores = between(200, 1500);
        auto const longest_ms = chance(0.3) ? 12'000 : 2500;
        auto const time_ms = drawn.is_lasting ? 0 : between(100, longest_ms);
        nlohmann::json steps = nlohmann::json::array();
        auto const count = drawn.is_lasting ? 1 : between(1, 3);
        for (std::int64_t at = 0; at < count; ++at) {
            auto const tasks = between(2, drawn.is_lasting ? 4 : 14);
            nlohmann::json step = {
                {"count", tasks},
                {"cpu", millicores},
                {"mem_mb", 256},
                {"estimated_ms", time_ms}};
            if (at > 0)
                step["after"] = {at - 1};
            if (drawn.is_lasting)
                step["long_running"] = true;
            steps.push_back(std::move(step));
            drawn.step_counts.push_back(static_cast<std::size_t>(tasks));
        }
        drawn.millicores = millicores;
        drawn.run_time = milliseconds(time_ms);
        drawn.runs_needed = 1 + failures;
        drawn.body = nlohmann::json{
            {"spec", fmt::format("{} {} {}", millicores, time_ms, failures)},
            {"steps",
             std::move(
                 steps)}}.dump();
        return drawn;
    }

    void submit(std::string const& id, std::size_t scheduler)
    {
        auto& job = jobs_.at(id);
        ++job.attempts;
        call(
            scheduler, "POST", id, job.body, [this, id, scheduler](int status) {
                on_submitted(id, scheduler, status);
            });
    }

    void on_submitted(std::string const& id, std::size_t scheduler, int status)
    {
        constexpr int accepted = 200;
        constexpr int too_many = 429;
        constexpr int unavailable = 503;
        constexpr std::size_t most_attempts = 8;
        auto& job = jobs_.at(id);
        bool const is_refused = status == unavailable || status == too_many;
        job.refusals += is_refused ? 1 : 0;
        job.may_run = job.may_run || !is_refused;
        auto const next = (scheduler + 1) % callers_.size();
        if (status != accepted) {
            if (job.attempts < most_attempts)
                after(
                    milliseconds(300), [this, id, next] { submit(id, next); });
            return;
        }
        if (std::exchange(job.is_accepted, true))
            return;
        if (chance(0.15))
            after(
                between_ms(500, 5000), [this, id, next] { submit(id, next); });
        if (job.is_lasting || chance(0.05))
            after(between_ms(200, 9000), [this, id] { cancel(id); });
    }

    void cancel(std::string const& id)
    {
        constexpr int accepted = 200;
        jobs_.at(id).is_cancel_sent = true;
        call(any_of(callers_), "DELETE", id, {}, [this, id](int status) {
            if (status == accepted)
                jobs_.at(id).cancelled = event_loop::now();
            else
                after(milliseconds(500), [this, id] { cancel(id); });
        });
    }

    // Faults

    void inject_next()
    {
        if (event_loop::now() >= faults_end_)
            return;
        int sum = 0;
        for (auto const& each : faults_)
            sum += each.weight;
        auto left = between(0, sum - 1);
        for (auto const& each : faults_) {
            left -= each.weight;
            if (left < 0) {
                (this->*each.inject)();
                break;
            }
        }
        after(between_ms(100, 1800), [this] { inject_next(); });
    }

    std::size_t leader_or_any()
    {
        auto const leader = deployed_.leader();
        return leader && chance(0.7) ? *leader : any_of(deployed_.schedulers());
    }

    void lose_store()
    {
        constexpr std::array<char const*, 4> modes = {
            "down", "silent", "busy", "slow"};
        auto const mode = modes.at(static_cast<std::size_t>(between(0, 3)));
        auto const time = between_ms(300, 8000);
        note(fmt::format("store {} for {} ms", mode, time.count()));
        deployed_.store().control({{"mode", mode}, {"delay_ms", 120}});
        auto const number = ++last_outage_;
        after(time, [this, number] {
            if (number == last_outage_)
                restore_store();
        });
    }

    void restore_store()
    {
        note("store up");
        deployed_.store().control({{"mode", "up"}});
    }

    /// The machines whose connections to the store are cut together, each with
    /// the given chance.
    std::vector<standins::loopback_proxy*> draw_machines(double part)
    {
        std::vector<standins::loopback_proxy*> drawn;
        drawn.push_back(deployed_.schedulers()[leader_or_any()].store.get());
        for (auto& each : deployed_.runners()) {
            if (chance(part))
                drawn.push_back(each.store.get());
        }
        return drawn;
    }

    void part_machines()
    {
        auto const mode = chance(0.5) ? standins::proxy_mode::reset
                                      : standins::proxy_mode::silent;
        auto const time = between_ms(1000, 9000);
        auto const parted = draw_machines(0.1 + 0.4 * share());
        note(fmt::format(
            "{} machines parted from the store, mode {}, for {} ms",
            parted.size(), static_cast<int>(mode), time.count()));
        for (auto* const each : parted) {
            each->set_mode(mode);
            auto const number = ++parted_[each];
            after(time, [this, each, number] {
                if (parted_[each] == number)
                    each->set_mode(standins::proxy_mode::pass);
            });
        }
        if (chance(0.3))
            revoke_leadership();
    }

    void freeze_runners()
    {
        auto const count = between(1, 2);
        for (std::int64_t at = 0; at < count; ++at)
            freeze(deployed_.runners()[any_of(deployed_.runners())]);
    }

    /// Runners stand still, and then the leader is parted from the store with
    /// others: when they wake up, they follow another leader.
    void freeze_and_part()
    {
        freeze_runners();
        after(between_ms(500, 2500), [this] { part_machines(); });
    }

    void freeze_scheduler() { freeze(deployed_.schedulers()[leader_or_any()]); }

    void freeze(standins::deployed_machine& machine)
    {
        auto const time = between_ms(300, 7000);
        note(fmt::format("{} frozen for {} ms", machine.address, time.count()));
        auto* const process = machine.process.get();
        process->signal(SIGSTOP);
        after(time, [process] { process->signal(SIGCONT); });
    }

    standins::deployed_machine& any_machine()
    {
        return chance(0.5) ? deployed_.schedulers()[leader_or_any()]
                           : deployed_.runners()[any_of(deployed_.runners())];
    }

    void kill_machine()
    {
        auto& machine = any_machine();
        note(fmt::format("{} killed", machine.address));
        machine.process->kill();
        restart_later(*machine.process, between_ms(50, 2500));
    }

    void stop_machine()
    {
        auto& machine = any_machine();
        note(fmt::format("{} stopped", machine.address));
        machine.process->signal(SIGTERM);
        restart_later(*machine.process, between_ms(300, 3000));
    }

    /// Starts the process again; one that doesn't end in time is killed, as the
    /// platform does.
    void restart_later(standins::managed_process& process, milliseconds delay)
    {
        after(delay, [&process] {
            process.kill();
            process.start();
        });
    }

    void crash_worker()
    {
        auto const at = any_of(deployed_.workers());
        auto& worker = *deployed_.workers()[at];
        if (!worker.is_up())
            return;
        note(fmt::format("worker {} crashes", worker.id()));
        worker.crash();
        std::optional<std::string> id;
        if (chance(0.5))
            id = fmt::format("i-{}-{}", at + 1, between(100, 999));
        after(between_ms(200, 3000), [this, &worker, id] {
            auto const started = worker.start(id);
            note(fmt::format("worker {} starts: {}", worker.id(), ok(started)));
        });
    }

    void delay_orders()
    {
        auto const part = 0.1 + 0.5 * share();
        auto const time = between_ms(1000, 6000);
        note(fmt::format("orders late, {:.2f}, {} ms", part, time.count()));
        for (auto& each : deployed_.workers()) {
            if (chance(0.6))
                each->delay_orders(part, event_loop::now() + time);
        }
    }

    std::vector<standins::loopback_proxy*> all_proxies()
    {
        std::vector<standins::loopback_proxy*> found;
        for (auto* const group :
             {&deployed_.schedulers(), &deployed_.runners()}) {
            for (auto& each : *group)
                found.push_back(each.store.get());
        }
        return found;
    }

    void cut_watches()
    {
        bool const loses_history = chance(0.6);
        note(fmt::format("watches cut, history lost {}", loses_history));
        if (loses_history)
            deployed_.store().kv().drop_history();
        for (auto* const each : all_proxies())
            each->reset_connections();
    }

    void silence_connections()
    {
        auto const part = 0.2 + 0.6 * share();
        note(fmt::format("connections silent, {:.2f}", part));
        for (auto* const each : all_proxies()) {
            if (chance(part))
                each->silence_connections();
        }
    }

    void lose_answers()
    {
        auto const count = between(1, 6);
        note(fmt::format("{} answers to writes lost", count));
        deployed_.store().control({{"lose_answers", count}});
    }

    void delay_write()
    {
        auto const time = between_ms(1000, 6000);
        auto& machine = deployed_.schedulers()[leader_or_any()];
        note(fmt::format(
            "a write of {} is {} ms late", machine.address, time.count()));
        machine.store->delay_next("/-/kv-txn", time);
    }

    void revoke_leadership()
    {
        auto& kv = deployed_.store().kv();
        note("leadership revoked");
        kv.revoke_lease(kv.lease_of("office/scheduler"));
    }

    /// Announcements of another writer reach a runner for a while. They name no
    /// worker.
    void announce_oddly()
    {
        auto const at = any_of(deployed_.workers());
        odd_writer writer;
        writer.kind = between(0, 5);
        if (chance(0.5))
            writer.id = "i-odd";
        writer.born_later_ms = between(-1, 1) * between(0, 5000);
        writer.left = between(1, 4);
        note(fmt::format(
            "odd announcements {} to runner {}, id {}, born {} ms later",
            writer.kind, at + 1, writer.id, writer.born_later_ms));
        announce_oddly(at, writer);
    }

    void announce_oddly(std::size_t at, odd_writer writer)
    {
        auto& worker = *deployed_.workers()[at];
        auto body = worker.make_announcement();
        body["born"] = body["born"].get<std::int64_t>() + writer.born_later_ms;
        if (writer.kind == 0)
            body.erase("address");
        else if (writer.kind == 1)
            body["state"] = "resting";
        else if (writer.kind == 2)
            body["service"] = "no-such-service";
        else if (writer.kind == 3)
            body["capacity"] = "much";
        else if (writer.kind == 4)
            body["born"] = "yesterday";
        else
            body["clock_ms"] = nullptr;
        worker.announce(writer.id.empty() ? worker.id() : writer.id, body);
        if (--writer.left > 0)
            after(milliseconds(1000), [this, at, writer] {
                announce_oddly(at, writer);
            });
    }

    void change_configuration()
    {
        note("configuration changes");
        deployed_.change_configuration();
    }

    // The end

    void check_end()
    {
        auto const now = event_loop::now();
        if (now < faults_end_)
            return;
        if (!std::exchange(is_settling_, true))
            end_faults();
        if (now < quiet_end())
            return;
        if (!settle_end_) {
            settle_end_ =
                now +
                std::max(longest_settling(), limits_.cancel + limits_.stop);
            note(fmt::format(
                "settling for {} ms at most",
                std::chrono::duration_cast<milliseconds>(*settle_end_ - now)
                    .count()));
        }
        check_idle_jobs();
        bool const is_cancelled_gone =
            now > quiet_end() + limits_.cancel + limits_.stop;
        if (now >= *settle_end_ || (is_cancelled_gone && unfinished().empty()))
            loop_.stop();
    }

    /// How long the jobs may still take where LOST is kept: while half of the
    /// capacity is in use, that does the work that is left, and otherwise each
    /// job has a run going on, or begins one in time.
    milliseconds longest_settling()
    {
        std::int64_t work = 0;
        std::int64_t rate = capacity() / 2;
        milliseconds chain{};
        for (auto const& [id, job] : jobs_) {
            if (job.is_lasting) {
                rate -= job.millicores * running_tasks(id, job);
                continue;
            }
            auto const left = tasks_left(id, job);
            if (!job.may_run || left.empty())
                continue;
            work += static_cast<std::int64_t>(left.size()) * job.runs_needed *
                    job.millicores * job.run_time.count();
            auto const runs =
                static_cast<std::int64_t>(job.step_counts.size()) *
                job.runs_needed;
            chain =
                std::max(chain, runs * (job.run_time + limits_.longest_idle));
        }
        // Tasks that last hold their room until they are cancelled.
        rate = std::max(rate, capacity() / 4);
        return chain + milliseconds(work / rate);
    }

    std::int64_t capacity()
    {
        std::int64_t sum = 0;
        for (auto& each : deployed_.workers())
            sum += each->millicores();
        return sum;
    }

    /// True if there is room for two tasks of a size, and under half of the
    /// capacity is in use.
    bool has_room(std::int64_t millicores)
    {
        std::int64_t used = 0;
        std::int64_t fitting = 0;
        for (auto& each : deployed_.workers()) {
            used += each->used_millicores();
            if (each->is_up())
                fitting +=
                    (each->millicores() - each->used_millicores()) / millicores;
        }
        return fitting >= 2 && used < capacity() / 2;
    }

    /// A job that isn't done has a task whose turn has come: its first step
    /// that isn't done has one.
    void check_idle_jobs()
    {
        auto const now = event_loop::now();
        for (auto& [id, job] : jobs_) {
            if (!is_owed(job) || tasks_left(id, job).empty() ||
                running_tasks(id, job) > 0 || !has_room(job.millicores)) {
                job.idle_since.reset();
                continue;
            }
            if (!job.idle_since)
                job.idle_since = now;
            if (now - *job.idle_since >= limits_.longest_idle &&
                !std::exchange(job.is_lost, true))
                lost_.push_back(id + ": nothing runs though there is room");
        }
    }

    void end_faults()
    {
        note("faults end");
        ++last_outage_;
        restore_store();
        deployed_.store().control({{"lose_answers", 0}});
        for (auto* const each : all_proxies()) {
            ++parted_[each];
            each->set_mode(standins::proxy_mode::pass);
        }
    }

    /// True if the job must be done in the end.
    static bool is_owed(submitted_job const& job)
    {
        return job.is_accepted && !job.is_cancel_sent && !job.is_lasting;
    }

    static std::vector<std::string>
    tasks_of(std::string const& id, submitted_job const& job)
    {
        std::vector<std::string> named;
        for (std::size_t step = 0; step < job.step_counts.size(); ++step) {
            for (std::size_t at = 0; at < job.step_counts[step]; ++at)
                named.push_back(fmt::format("{}.0.{}.{}", id, step, at));
        }
        return named;
    }

    std::vector<std::string>
    tasks_left(std::string const& id, submitted_job const& job)
    {
        auto left = tasks_of(id, job);
        std::erase_if(left, [this](std::string const& task) {
            return deployed_.history().is_done(task);
        });
        return left;
    }

    std::int64_t running_tasks(std::string const& id, submitted_job const& job)
    {
        auto const tasks = tasks_of(id, job);
        return std::count_if(
            tasks.begin(), tasks.end(), [this](std::string const& task) {
                return deployed_.history().is_running(task);
            });
    }

    /// The last faults act no longer.
    monotonic_time quiet_end() const { return faults_end_ + limits_.quiet; }

    std::vector<std::string> unfinished()
    {
        std::vector<std::string> found;
        for (auto const& [id, job] : jobs_) {
            if (!is_owed(job))
                continue;
            for (auto& task : tasks_left(id, job))
                found.push_back(std::move(task));
        }
        return found;
    }

    void check()
    {
        violations_ = deployed_.history().find_duplicates();
        for (auto const& [task, runs] : deployed_.history().tasks()) {
            check_job_of(task);
            check_cancelled(task, runs);
        }
        violations_.insert(violations_.end(), lost_.begin(), lost_.end());
        for (auto const& task : unfinished())
            violations_.push_back(task + ": accepted and not done");
        for (auto* const group :
             {&deployed_.schedulers(), &deployed_.runners()}) {
            for (auto& each : *group)
                check_process(*each.process);
        }
        for (auto const& each : violations_)
            note("VIOLATION " + each);
    }

    void check_job_of(std::string const& task)
    {
        auto const found = jobs_.find(task.substr(0, task.find('.')));
        if (found == jobs_.end())
            violations_.push_back(task + ": started, and nobody submitted it");
        else if (!found->second.may_run)
            violations_.push_back(
                task + ": started, and all attempts were refused");
    }

    void check_cancelled(
        std::string const& task, std::vector<standins::run_record> const& runs)
    {
        auto const found = jobs_.find(task.substr(0, task.find('.')));
        if (found == jobs_.end() || !found->second.cancelled)
            return;
        auto const last_start =
            std::max(*found->second.cancelled, quiet_end()) + limits_.cancel;
        auto const last_end = last_start + limits_.stop;
        for (auto const& run : runs) {
            auto const where = fmt::format(
                "run {} on {} life {}, token {}", run.number, run.worker,
                run.life, run.token);
            if (run.began > last_start)
                violations_.push_back(fmt::format(
                    "{}: begun, and its job was cancelled: {}", task, where));
            else if (run.ended.value_or(event_loop::now()) > last_end)
                violations_.push_back(fmt::format(
                    "{}: runs on, and its job was cancelled: {}", task, where));
        }
    }

    void check_process(standins::managed_process& process)
    {
        process.is_running();
        if (!process.failure_text().empty())
            violations_.push_back(process.failure_text());
    }

    process_soak_limits limits_;
    std::vector<fault> faults_;
    boost::random::mt19937_64 random_;
    std::ofstream record_;
    event_loop loop_;
    standins::deployment deployed_;
    std::vector<std::unique_ptr<http_client>> callers_;
    std::map<std::string, submitted_job> jobs_;
    std::uint64_t last_job_ = 0xa0000000;
    monotonic_time began_{};
    monotonic_time faults_end_{};
    std::uint64_t last_outage_ = 0;
    std::map<standins::loopback_proxy*, std::uint64_t> parted_;
    bool is_settling_ = false;
    std::optional<monotonic_time> settle_end_;
    /// Accepted jobs that nothing goes on with.
    std::vector<std::string> lost_;
    std::vector<std::string> violations_;
};

} // namespace sycamorespar::tests

#endif
