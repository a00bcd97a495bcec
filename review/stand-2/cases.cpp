#include "cases.hpp"

#include "cutting_proxy.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace review {

using namespace sycamorespar;
using nlohmann::json;

namespace {

constexpr char const* jobs_prefix = "/jobs/";

/// A job of one task on one core. The stand-in minion reads the payload: the
/// cores, the time, and the number up to which runs fail.
json job(int time_ms)
{
    return {
        {"spec", fmt::format("1000 {} 0", time_ms)},
        {"steps", json::array(
                      {{{"count", 1},
                        {"cpu", 1000},
                        {"mem_mb", 64},
                        {"estimated_ms", time_ms}}})}};
}

std::string job_id(unsigned number)
{
    return fmt::format("{:016x}", 0xa000000000000000ULL + number);
}

} // namespace

verdict run_long_watch(world_settings const& settings)
{
    constexpr std::size_t idle_routes = 4500;
    constexpr std::uint64_t first_version = 11;
    constexpr int versions = 12;
    // The watch is sent anew each second, so that it is silent by then.
    constexpr int added_from = 4;
    constexpr milliseconds silent_at{6000};
    constexpr milliseconds storm_at{6100};
    constexpr milliseconds gap{330};
    constexpr milliseconds evacuated_at{10'600};
    constexpr milliseconds evacuate_bound{5000};
    constexpr milliseconds history{20'000};
    constexpr unsigned jobs = 60;
    std::vector<route> const before = {{"queue", jobs_prefix}};
    std::vector<route> const after = {
        {"queue", jobs_prefix}, {"added", "/added/"}};
    world all(settings, 2, 3);
    if (!all.start())
        return verdict::not_run;
    all.configure(10, before, idle_routes);
    std::optional<std::size_t> leader;
    all.at(silent_at, [&] {
        leader = all.system().leader();
        if (!leader || !all.has_trouble())
            return;
        all.note(fmt::format(
            "the connection on which scheduler-{}, which leads, watches the "
            "operator's keys goes silent; new ones work",
            *leader + 1));
        all.system().schedulers()[*leader].store->delay_next(
            "kv-watch?prefix=op/", std::chrono::minutes(5));
    });
    for (int each = 0; each < versions; ++each)
        all.at(storm_at + gap * each, [&, each] {
            all.configure(
                first_version + static_cast<std::uint64_t>(each),
                each < added_from ? before : after, idle_routes);
        });
    // Runner 1 and its minion are in the first zone.
    all.at(evacuated_at, [&] {
        all.note("operator: evacuation of the zone of runner-1 acknowledged");
        all.system().evacuate(0, true);
    });
    all.at(storm_at + history, [&] {
        all.note("the store drops its history");
        all.system().store().kv().drop_history();
    });
    for (unsigned each = 0; each < jobs; ++each)
        all.at(milliseconds(16'000 + 150 * each), [&all, each] {
            all.submit(each % 2, jobs_prefix + job_id(each), job(300));
        });
    std::size_t refused = 0;
    for (milliseconds when{16'000}; when < storm_at + history;
         when += milliseconds(2000))
        all.at(when, [&] {
            if (!leader)
                return;
            all.call(
                *leader, "GET", "/added/" + job_id(999), "",
                [&](int status, json const&) {
                    refused += status == 404 ? 1 : 0;
                });
        });
    all.run_until(milliseconds(30'000));
    all.note_runs();
    std::size_t late = 0;
    std::size_t runs = 0;
    for (auto const& [task, all_runs] : all.system().history().tasks()) {
        for (auto const& run : all_runs) {
            ++runs;
            late +=
                run.worker == "runner-1" && all.since_start(run.began) >
                                                evacuated_at + evacuate_bound
                    ? 1
                    : 0;
        }
    }
    all.note(fmt::format(
        "{} of {} tasks started in the evacuated zone more than 5 s after the "
        "acknowledgement; {} requests on the added route were answered 404",
        late, runs, refused));
    if (!leader || runs == 0)
        return verdict::not_run;
    return late == 0 ? verdict::held : verdict::broken;
}

verdict run_overdue(world_settings const& settings)
{
    // Twelve days of seconds.
    constexpr unsigned occurrences = 1'000'000;
    constexpr unsigned jobs = 25;
    constexpr milliseconds first_job{6000};
    constexpr milliseconds between{500};
    // Jobs are asked for this long after the end of the traffic.
    constexpr milliseconds finish{14'000};
    constexpr milliseconds idle{3000};
    world all(settings, 2, 3);
    if (!all.start())
        return verdict::not_run;
    all.configure(10, {{"queue", jobs_prefix}});
    if (all.has_trouble())
        all.at(milliseconds(4000), [&] {
            all.note("a job that can never be done is handed in: no minion has "
                     "its label; its occurrences have been due since 1970");
            auto hopeless = job(500);
            hopeless["steps"][0]["required_labels"] = "none";
            hopeless["repeat_count"] = occurrences;
            hopeless["interval_ms"] = 1000;
            all.submit(0, jobs_prefix + job_id(999), hopeless);
        });
    for (unsigned each = 0; each < jobs; ++each)
        all.at(first_job + between * each, [&all, each] {
            all.submit(each % 2, jobs_prefix + job_id(each), job(500));
        });
    auto const asked = first_job + between * static_cast<int>(jobs) + finish;
    all.run_until(asked);
    std::set<unsigned> accepted;
    for (unsigned each = 0; each < jobs; ++each) {
        if (all.is_accepted(jobs_prefix + job_id(each)))
            accepted.insert(each);
    }
    all.run_until(asked + idle);
    all.note_runs();
    if (accepted.empty())
        return verdict::not_run;
    std::size_t lost = 0;
    for (auto const each : accepted) {
        auto const& tasks = all.system().history().tasks();
        lost += tasks.contains(job_id(each) + ".0.0.0") ? 0 : 1;
    }
    all.note(fmt::format(
        "{} of {} jobs with one task of 0.5 s were accepted; of these {} have "
        "not begun, on 3 minions of 16 cores that run nothing",
        accepted.size(), jobs, lost));
    return lost == 0 ? verdict::held : verdict::broken;
}

namespace {

/// Lets the schedulers reach the store through proxies of this case.
std::vector<std::unique_ptr<cutting_proxy>>
insert_proxies(world& all, std::string const& folder)
{
    constexpr std::uint16_t store_port = 8169;
    constexpr std::uint16_t proxy_port = 8170;
    std::vector<std::unique_ptr<cutting_proxy>> proxies;
    std::size_t number = 0;
    for (auto& each : all.system().schedulers()) {
        ++number;
        proxies.push_back(std::make_unique<cutting_proxy>(
            all.loop(), endpoint{each.address, store_port}));
        if (!proxies.back()->listen({each.address, proxy_port}))
            return {};
        auto const path =
            fmt::format("{}/scheduler-{}.settings", folder, number);
        std::ifstream in(path);
        std::string text{std::istreambuf_iterator<char>(in), {}};
        auto const old_store = each.address + ":" + std::to_string(store_port);
        auto const at = text.find(old_store);
        if (at == std::string::npos)
            return {};
        text.replace(
            at, old_store.size(),
            each.address + ":" + std::to_string(proxy_port));
        std::ofstream(path) << text;
        each.process->kill();
        each.process->start();
    }
    return proxies;
}

} // namespace

verdict run_half_answer(world_settings const& settings)
{
    constexpr milliseconds cancel_bound{3000};
    constexpr milliseconds contact{3000};
    constexpr int tasks = 600;
    world all(settings, 2, 3);
    if (!all.start())
        return verdict::not_run;
    auto const proxies = insert_proxies(all, settings.folder);
    if (proxies.empty())
        return verdict::not_run;
    all.configure(10, {{"queue", jobs_prefix}});
    auto const cancelled = job_id(1);
    std::optional<std::size_t> other;
    std::optional<monotonic_time> silent;
    std::optional<monotonic_time> acknowledged;
    std::function<void()> const cancel = [&] {
        all.call(
            *other, "DELETE", jobs_prefix + cancelled, "",
            [&](int status, json const&) {
                if (status == 200 && !acknowledged)
                    acknowledged = event_loop::now();
            });
    };
    // 48 at once, for some 8 s.
    all.at(milliseconds(6000), [&] {
        if (auto const leader = all.system().leader())
            other = 1 - *leader;
        else
            return;
        auto large = job(600);
        large["steps"][0]["count"] = tasks;
        all.submit(*other, jobs_prefix + cancelled, large);
    });
    all.at(milliseconds(8000), [&] {
        if (!other || !all.has_trouble())
            return;
        constexpr std::size_t least_body = 200;
        proxies[1 - *other]->cut_next(
            "kv-watch?prefix=job/", least_body, [&, leader = 1 - *other] {
                silent = event_loop::now();
                all.note(fmt::format(
                    "the connection on which scheduler-{}, which leads, "
                    "watches "
                    "the jobs goes silent within an answer; new ones work",
                    leader + 1));
            });
    });
    // The answer tells of this job.
    all.at(milliseconds(8200), [&] {
        if (other)
            all.submit(*other, jobs_prefix + job_id(2), job(300));
    });
    all.at(milliseconds(8400), [&] {
        if (other)
            cancel();
    });
    all.run_until(milliseconds(20'000));
    all.note_runs();
    if (!acknowledged || (all.has_trouble() && !silent))
        return verdict::not_run;
    auto bound = *acknowledged + cancel_bound;
    if (silent)
        bound = std::max(bound, *silent + contact);
    std::size_t late = 0;
    std::size_t runs = 0;
    for (auto const& [task, all_runs] : all.system().history().tasks()) {
        for (auto const& run : all_runs) {
            if (!task.starts_with(cancelled))
                continue;
            ++runs;
            late += run.began > bound ? 1 : 0;
        }
    }
    all.note(fmt::format(
        "{} runs of the cancelled job; {} began later than {:.3f} s: 3 s after "
        "the cancelling was acknowledged, and after the connection went silent",
        runs, late, all.since_start(bound).count() / 1000.0));
    if (runs == 0)
        return verdict::not_run;
    return late == 0 ? verdict::held : verdict::broken;
}

verdict run_dark_minion(world_settings const& settings)
{
    constexpr std::size_t minions = 8;
    constexpr unsigned jobs = 48;
    constexpr milliseconds dark_at{6000};
    constexpr milliseconds between{30};
    // visible_ms, and 2 s by which a count may be old.
    constexpr milliseconds visible{5000};
    world all(settings, 2, minions);
    if (!all.start())
        return verdict::not_run;
    all.configure(10, {{"queue", jobs_prefix}});
    if (all.has_trouble())
        all.at(dark_at, [&] {
            all.note("the minion of runner-1 is lost for good, silently");
            all.system().workers().front()->pause();
        });
    std::map<std::string, monotonic_time> accepted;
    for (unsigned each = 0; each < jobs; ++each)
        all.at(dark_at + milliseconds(50) + between * each, [&, each] {
            all.call(
                0, "POST", jobs_prefix + job_id(each), job(3000).dump(),
                [&, id = job_id(each)](int status, json const&) {
                    if (status == 200)
                        accepted[id] = event_loop::now();
                });
        });
    struct answer
    {
        monotonic_time at;
        std::size_t pending;
    };
    std::vector<answer> answers;
    for (auto when = dark_at + visible; when < dark_at + milliseconds(9000);
         when += milliseconds(250))
        all.at(when, [&] {
            all.call(
                0, "GET", jobs_prefix, "", [&](int status, json const& body) {
                    if (status == 200)
                        answers.push_back(
                            {event_loop::now(),
                             body.at("pending").get<std::size_t>()});
                });
        });
    all.run_until(milliseconds(18'000));
    all.note_runs();
    if (accepted.size() < jobs / 2 || answers.empty())
        return verdict::not_run;
    std::size_t wrong = 0;
    for (auto const& each : answers) {
        std::size_t not_begun = 0;
        for (auto const& [id, since] : accepted) {
            if (since > each.at - visible)
                continue;
            auto const& tasks = all.system().history().tasks();
            auto const found = tasks.find(id + ".0.0.0");
            not_begun +=
                found == tasks.end() || found->second.front().began > each.at
                    ? 1
                    : 0;
        }
        bool const is_wrong = 2 * each.pending < not_begun;
        wrong += is_wrong ? 1 : 0;
        all.note(fmt::format(
            "at {:.3f} s pending is {}; {} jobs that were accepted over 5 s "
            "before have not begun{}",
            all.since_start(each.at).count() / 1000.0, each.pending, not_begun,
            is_wrong ? ": wrong" : ""));
    }
    return wrong == 0 ? verdict::held : verdict::broken;
}

} // namespace review
