/// Each case says in its claim.txt which rule it checks and how.
#include "cases.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace review {

namespace {

constexpr char const* ok_prefix = "/bundles/";

std::string job_name(unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0xa0000000U + number);
    return text;
}

json one_step_job(std::string const& spec, unsigned count, int cpu, int mem)
{
    return {
        {"spec", spec},
        {"steps",
         {{{"count", count},
           {"cpu", cpu},
           {"mem_mb", mem},
           {"estimated_ms", 1000}}}}};
}

/// Hands a job in as clients do: again, at the next daemon, where there is no
/// answer, a 502, 503, 504 or 429.
bool submit(
    world& all, std::string const& path, json const& body, std::size_t first,
    std::int64_t for_ms = 3000)
{
    auto const end = now_ms() + for_ms;
    for (auto at = first; now_ms() < end; ++at) {
        auto const answer = all.call(
            at % all.schedulers.size(), "POST", path, body.dump(), 1500);
        if (answer.status / 100 == 2)
            return true;
        all.run_for(100);
    }
    return false;
}

int verdict(
    world& all, std::string const& rule, std::vector<std::string> const& broken)
{
    for (auto const& each : broken)
        all.record.line("BROKEN " + rule + " " + each);
    all.record.line(
        broken.empty()
            ? rule + " held"
            : rule + " broken " + std::to_string(broken.size()) + " times");
    std::cout << (broken.empty() ? rule + " held"
                                 : rule + " broken: " + broken.front())
              << " (" << broken.size() << ")\n";
    return broken.empty() ? 0 : 1;
}

/// LOST: for 3 s on end, the job has nothing running though it isn't over and
/// twice its room is free. Looks for this long.
std::vector<std::string> find_stalled(
    world& all, std::string const& job, std::size_t tasks, std::int64_t cpu,
    std::int64_t look_ms)
{
    constexpr std::int64_t stall_ms = 3000;
    auto const count_done = [&] {
        std::size_t done = 0;
        for (auto at = all.seen.lower_bound(job);
             at != all.seen.end() && at->first.starts_with(job); ++at)
            done += std::any_of(
                at->second.begin(), at->second.end(),
                [](run_history const& run) { return run.how == "done"; });
        return done;
    };
    std::int64_t since = -1;
    std::int64_t longest = 0;
    all.until(
        [&] {
            bool const is_stalled = !all.is_running(job) &&
                                    all.free_cpu() >= 2 * cpu &&
                                    2 * all.free_cpu() > all.whole_cpu();
            if (!is_stalled)
                since = -1;
            else if (since < 0)
                since = now_ms();
            if (since >= 0)
                longest = std::max(longest, now_ms() - since);
            return count_done() == tasks;
        },
        look_ms);
    auto const done = count_done();
    all.record.line(
        "job " + job + ": " + std::to_string(done) + " of " +
        std::to_string(tasks) + " tasks are done; nothing of it ran for " +
        std::to_string(longest) + " ms on end, with room free");
    if (done == tasks || longest < stall_ms)
        return {};
    return {
        "job " + job + " has nothing running for " + std::to_string(longest) +
        " ms, " + std::to_string(tasks - done) +
        " tasks aren't done, and there is capacity"};
}

minion_settings small_site()
{
    minion_settings each;
    each.cpu = 16000;
    each.mem_mb = 64000;
    return each;
}

} // namespace

int run_many_ends(std::string const& record_file)
{
    world all(record_file, 3, 4, small_site());
    all.put_config(json::array({all.route("r-1", ok_prefix)}));
    all.start();
    auto const job = job_name(1);
    constexpr unsigned tasks = 4000;
    if (!submit(
            all, ok_prefix + job,
            one_step_job("cpu=240 ms=400", tasks, 240, 480), 0))
        throw cannot_run{"the job wasn't accepted"};
    all.run_for(1000);
    if (has_trouble()) {
        all.record.line("the store is silent");
        if (!ok(all.store->control({{"mode", "silent"}})))
            throw cannot_run{"the store has no such mode"};
        all.run_for(4400);
        all.store->control({{"mode", "up"}});
        all.record.line("the store answers again");
    }
    for (int look = 0; look < 50; ++look) {
        auto const answer = all.call(
            static_cast<std::size_t>(look) % 3, "GET", ok_prefix + job, "",
            1000);
        if (answer.body.find("completed") != std::string::npos)
            break;
        all.run_for(1000);
    }
    return verdict(all, "TWICE", find_twice(all.seen));
}

int run_dropped_route(std::string const& record_file)
{
    world all(record_file, 3, 4, small_site());
    auto const kept = all.route("r-1", ok_prefix);
    auto const dropped = all.route("r-2", "/members/");
    all.put_config(json::array({kept, dropped}));
    all.start();
    auto const job = job_name(2);
    json body = one_step_job("cpu=1000 ms=2500", 4, 1000, 256);
    body["steps"].push_back(
        {{"count", 4},
         {"cpu", 1000},
         {"mem_mb", 256},
         {"estimated_ms", 1000},
         {"after", {0}}});
    if (!submit(all, "/members/" + job, body, 0))
        throw cannot_run{"the job wasn't accepted"};
    all.run_for(500);
    all.put_config(json::array({kept}));
    all.run_for(1000);
    if (has_trouble()) {
        auto const leader = all.leader();
        if (leader < 0)
            throw cannot_run{"no leader to kill"};
        auto& killed = all.schedulers[static_cast<std::size_t>(leader)];
        all.kill(killed);
        all.run_for(500);
        all.spawn(killed);
    }
    // The end of the traffic; jobs are asked for 14 s later.
    all.run_for(14'000);
    return verdict(all, "LOST", find_stalled(all, job, 8, 1000, 10'000));
}

int run_large_reply(std::string const& record_file)
{
    auto each = small_site();
    each.cpu = 64000;
    each.mem_mb = 250'000;
    world all(record_file, 3, 4, each);
    all.put_config(json::array({all.route("r-1", ok_prefix)}));
    all.start();
    std::string spec = "cpu=40 ms=8000 ";
    spec.resize(4000, 'x');
    constexpr unsigned jobs = 24;
    constexpr unsigned tasks = 250;
    for (unsigned at = 0; at < jobs; ++at) {
        if (at == 4 && has_trouble())
            all.signal(all.runners[0], SIGSTOP);
        if (!submit(
                all, ok_prefix + job_name(100 + at),
                one_step_job(spec, tasks, 40, 100), at))
            throw cannot_run{"a job wasn't accepted"};
        all.run_for(100);
    }
    if (has_trouble()) {
        all.run_for(500);
        all.signal(all.runners[0], SIGCONT);
    }
    all.record.line("the end of the traffic");
    all.run_for(14'000);
    std::vector<std::string> broken;
    all.run_for(20'000);
    for (unsigned at = 0; at < jobs; ++at) {
        auto const job = job_name(100 + at);
        auto const stalled = find_stalled(all, job, tasks, 40, 4000);
        broken.insert(broken.end(), stalled.begin(), stalled.end());
        if (!broken.empty())
            break;
    }
    return verdict(all, "LOST", broken);
}

int run_late_route(std::string const& record_file)
{
    world all(record_file, 3, 4, small_site());
    auto const first = all.route("r-1", ok_prefix);
    all.put_config(json::array({first}));
    all.start();
    auto const leader = all.leader();
    if (leader < 0)
        throw cannot_run{"no leader"};
    auto const other = static_cast<std::size_t>(leader + 1) % 3;
    if (has_trouble()) {
        auto const silent =
            all.store_links[static_cast<std::size_t>(leader)]->silence(
                "/-/kv-watch?prefix=op/");
        all.record.line(
            "a connection of " +
            all.schedulers[static_cast<std::size_t>(leader)].name +
            " to the store goes silent, with a watch that waits: " +
            std::to_string(silent));
        if (silent != 1)
            throw cannot_run{"the watch wasn't found"};
    }
    all.put_config(json::array({first, all.route("r-2", "/members/", 3)}));
    all.run_for(300);
    auto const job = job_name(3);
    auto const body = one_step_job("cpu=1000 ms=500 fail=1", 4, 1000, 256);
    if (all.call(other, "POST", "/members/" + job, body.dump()).status != 200)
        throw cannot_run{"the job wasn't accepted"};
    std::vector<std::string> broken;
    std::string state;
    for (int look = 0; look < 20; ++look) {
        all.run_for(500);
        auto const answer = all.call(other, "GET", "/members/" + job, "");
        state = answer.body;
        if (state.find("completed") != std::string::npos ||
            state.find("failed") != std::string::npos)
            break;
    }
    std::size_t most = 0;
    for (auto const& [task, runs] : all.seen)
        most = std::max<std::size_t>(
            most, static_cast<std::size_t>(std::count_if(
                      runs.begin(), runs.end(), [](run_history const& run) {
                          return run.how == "failed";
                      })));
    all.record.line(
        "the most failed runs of one task: " + std::to_string(most) +
        ", max_attempts 3");
    if (state.find("failed") != std::string::npos && most < 3)
        broken.push_back(
            "job " + job + " is shown as failed after " + std::to_string(most) +
            " failed runs of a task; max_attempts is 3");
    return verdict(all, "LOST", broken);
}

int run_late_job(std::string const& record_file)
{
    constexpr std::int64_t cancel_ms = 3000;
    world all(record_file, 3, 4, small_site());
    all.put_config(json::array({all.route("r-1", ok_prefix)}));
    all.start();
    auto const leader = all.leader();
    if (leader < 0)
        throw cannot_run{"no leader"};
    auto const first = static_cast<std::size_t>(leader + 1) % 3;
    auto const second = static_cast<std::size_t>(leader + 2) % 3;
    auto const job = job_name(4);
    if (has_trouble()) {
        all.store_links[first]->delay_next("/-/kv-txn", 6000);
        all.record.line(
            "the next write of " + all.schedulers[first].name +
            " gets no answer and is done 6 s later");
    }
    // The client waits for its answer for the whole 3 s of its deadline.
    auto const handed_in = all.call(
        first, "POST", ok_prefix + job,
        one_step_job("cpu=1000 ms=1000", 4, 1000, 256).dump());
    if (handed_in.status == 503 || handed_in.status == 429)
        throw cannot_run{"the job was refused"};
    auto const cancelled = all.call(second, "DELETE", ok_prefix + job, "");
    if (cancelled.status / 100 != 2 && cancelled.status != 410)
        throw cannot_run{"the cancel wasn't acknowledged"};
    auto const acknowledged_ms = now_ms();
    all.run_for(12'000);
    std::vector<std::string> broken;
    for (auto const& [task, runs] : all.seen) {
        for (auto const& run : runs) {
            if (run.began_ms > acknowledged_ms + cancel_ms)
                broken.push_back(
                    task + " begins on " + run.minion + " " +
                    std::to_string(run.began_ms - acknowledged_ms) +
                    " ms after the job's cancelling was answered with " +
                    std::to_string(cancelled.status));
        }
    }
    all.call(second, "GET", ok_prefix + job, "");
    return verdict(all, "UNASKED", broken);
}

int run_clock_back(std::string const& record_file)
{
    constexpr std::int64_t jump_ms = 2400;
    world all(record_file, 3, 4, small_site());
    all.put_config(json::array({all.route("r-1", ok_prefix)}));
    all.start();
    auto& restarted = *all.minions[0];
    restarted.crash();
    all.run_for(300);
    if (has_trouble()) {
        restarted.clock_error_ms = jump_ms;
        all.record.line("the time of day of minion-1's machine jumps ahead");
    }
    restarted.start();
    all.run_for(900);
    auto const job = job_name(6);
    constexpr unsigned tasks = 32;
    if (!submit(
            all, ok_prefix + job,
            one_step_job("cpu=1000 ms=2000", tasks, 1000, 256), 0))
        throw cannot_run{"the job wasn't accepted"};
    all.run_for(200);
    restarted.crash();
    restarted.clock_error_ms = 0;
    all.record.line("the time of day of minion-1's machine is right");
    all.run_for(500);
    restarted.start();
    all.run_for(14'000);
    return verdict(all, "LOST", find_stalled(all, job, tasks, 1000, 10'000));
}

int run_late_beat(std::string const& record_file)
{
    constexpr std::int64_t drain_ms = 2000;
    world all(record_file, 3, 2, small_site());
    all.put_config(json::array({all.route("r-1", ok_prefix)}));
    all.start();
    auto& leaving = *all.minions[0];
    auto const late = leaving.beat_body();
    std::int64_t acknowledged_ms = -1;
    leaving.on_beat_answer = [&](int status, json const& body) {
        if (status == 200 && body.at("state") == "draining" &&
            acknowledged_ms < 0)
            acknowledged_ms = now_ms();
    };
    leaving.is_draining = true;
    leaving.beat();
    if (!all.until([&] { return acknowledged_ms >= 0; }, 2000))
        throw cannot_run{"the heartbeat wasn't acknowledged"};
    all.run_for(drain_ms + 300);
    leaving.on_beat_answer = nullptr;
    if (has_trouble()) {
        all.record.line("a heartbeat from before the draining arrives late");
        leaving.send_beat(late);
    }
    all.run_for(50);
    submit(
        all, ok_prefix + job_name(7),
        one_step_job("cpu=1000 ms=1000", 24, 1000, 256), 0);
    all.run_for(2000);
    std::vector<std::string> broken;
    for (auto const& [task, runs] : all.seen) {
        for (auto const& run : runs) {
            if (run.minion == leaving.settings().name &&
                run.began_ms > acknowledged_ms + drain_ms)
                broken.push_back(
                    task + " begins on a draining minion " +
                    std::to_string(run.began_ms - acknowledged_ms) +
                    " ms after the acknowledgement");
        }
    }
    return verdict(all, "DRAIN", broken);
}

int run_stale_leader(std::string const& record_file)
{
    world all(record_file, 3, 4, small_site());
    all.put_config(json::array({all.route("r-1", ok_prefix)}));
    all.start();
    auto const leader = all.leader();
    if (leader < 0)
        throw cannot_run{"no leader"};
    auto const old = static_cast<std::size_t>(leader);
    auto body = one_step_job("cpu=1000 ms=12000", 16, 1000, 256);
    body["steps"][0]["estimated_ms"] = 12000;
    if (!submit(all, ok_prefix + job_name(8), body, old + 1))
        throw cannot_run{"the job wasn't accepted"};
    all.run_for(1000);
    if (has_trouble()) {
        all.signal(all.runners[0], SIGSTOP);
        all.run_for(1200);
        all.record.line(
            "the store turns " + all.schedulers[old].name +
            ", which leads, and runner-2 away");
        all.store_links[old]->refuse(true);
        all.runner_links[1]->refuse(true);
        all.run_for(2300);
        all.signal(all.runners[0], SIGCONT);
        all.run_for(6200);
        all.store_links[old]->refuse(false);
        all.runner_links[1]->refuse(false);
        all.record.line("the store serves all again");
    }
    all.run_for(15'000);
    return verdict(all, "TWICE", find_twice(all.seen));
}

} // namespace review
