#include "cases.hpp"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <optional>
#include <set>

namespace review {

using namespace sycamorespar;
using nlohmann::json;
using standins::platform_worker;
using standins::run_record;

namespace {

constexpr char const* jobs_prefix = "/jobs/";
constexpr char const* night_prefix = "/night/";

/// A step of tasks of one core. The stand-in minion reads the payload: the
/// cores, the time, and the number up to which runs fail.
json step(int tasks, int time_ms, std::vector<int> const& after = {})
{
    json made = {
        {"count", tasks},
        {"cpu", 1000},
        {"mem_mb", 64},
        {"estimated_ms", time_ms}};
    if (!after.empty())
        made["after"] = after;
    return made;
}

json job(int time_ms, int failures, std::vector<json> const& steps)
{
    return {
        {"spec", fmt::format("1000 {} {}", time_ms, failures)},
        {"steps", steps}};
}

std::string job_id(unsigned number)
{
    return fmt::format("{:016x}", 0xa000000000000000ULL + number);
}

} // namespace

verdict run_late_configuration(world_settings const& settings)
{
    constexpr unsigned jobs = 4;
    world all(settings, 2, 3);
    if (!all.start())
        return verdict::not_run;
    std::optional<std::size_t> leader;
    std::string const prefix = "/added/";
    all.configure(10, {{"queue", jobs_prefix}});
    all.at(milliseconds(4000), [&] {
        leader = all.system().leader();
        if (!leader || !all.has_trouble())
            return;
        all.note(fmt::format(
            "the connection on which scheduler-{}, which leads, watches the "
            "operator's keys goes silent; new ones work",
            *leader + 1));
        all.system().schedulers()[*leader].store->delay_next(
            "kv-watch?prefix=op/", milliseconds(60'000));
    });
    // The watch is sent anew each second.
    all.at(milliseconds(5200), [&] {
        all.configure(11, {{"queue", jobs_prefix}, {"added", prefix}});
    });
    all.at(milliseconds(5400), [&] {
        for (unsigned each = 0; leader && each < jobs; ++each)
            all.submit(
                1 - *leader, prefix + job_id(each),
                job(1000, 1, {step(2, 1000)}));
    });
    std::size_t failed = 0;
    std::size_t answers = 0;
    all.at(milliseconds(20'000), [&] {
        for (unsigned each = 0; leader && each < jobs; ++each)
            all.call(
                1 - *leader, "GET", prefix + job_id(each), "",
                [&](int status, json const& answer) {
                    answers += status == 200 ? 1 : 0;
                    if (answer.is_object() &&
                        answer.value("state", "") == "failed")
                        ++failed;
                });
    });
    all.run_until(milliseconds(24'000));
    all.note_runs();
    if (answers != jobs)
        return verdict::not_run;
    // No task may be given up before max_attempts of its runs have failed.
    std::ptrdiff_t most = 0;
    for (auto const& [task, runs] : all.system().history().tasks())
        most = std::max(
            most, std::count_if(runs.begin(), runs.end(), [](auto const& run) {
                return run.how == "failed";
            }));
    all.note(fmt::format(
        "{} of {} jobs are shown as failed; no task failed more than {} "
        "time(s), max_attempts is 3",
        failed, jobs, most));
    return failed == 0 || most >= 3 ? verdict::held : verdict::broken;
}

verdict run_removed_route(world_settings const& settings)
{
    constexpr int task_ms = 6000;
    world all(settings, 2, 3);
    if (!all.start())
        return verdict::not_run;
    auto const night = night_prefix + job_id(1);
    auto const day = jobs_prefix + job_id(2);
    std::vector<json> const steps = {step(1, task_ms), step(1, task_ms, {0})};
    all.configure(10, {{"queue", jobs_prefix}, {"night", night_prefix}});
    all.at(milliseconds(4000), [&] {
        all.submit(0, night, job(task_ms, 0, steps));
        all.submit(0, day, job(task_ms, 0, steps));
    });
    all.at(milliseconds(6000), [&] {
        all.configure(11, {{"queue", jobs_prefix}});
    });
    if (all.has_trouble()) {
        all.at(milliseconds(9000), [&] {
            auto const leader = all.system().leader();
            if (!leader)
                return;
            all.note(fmt::format(
                "scheduler-{}, which leads, is killed", *leader + 1));
            all.system().schedulers()[*leader].process->kill();
            all.at(milliseconds(9500), [&all, at = *leader] {
                all.note("it starts again");
                all.system().schedulers()[at].process->start();
            });
        });
    }
    all.run_until(milliseconds(40'000));
    auto const began = [&](std::string const& task) {
        auto const& tasks = all.system().history().tasks();
        return tasks.contains(task) && !tasks.at(task).empty();
    };
    auto const night_task = job_id(1) + ".0.1.0";
    bool const was_first_done =
        all.system().history().is_done(job_id(1) + ".0.0.0");
    bool const has_begun = began(night_task);
    bool const is_usable = all.is_accepted(night) && was_first_done &&
                           all.system().history().is_done(job_id(2) + ".0.1.0");
    all.note(fmt::format(
        "task {}: its turn came when {}.0.0.0 ended done; {}", night_task,
        job_id(1), has_begun ? "it has begun" : "it has not begun"));
    // What the system says of the job once its queue is back.
    all.at(milliseconds(40'100), [&] {
        all.configure(12, {{"queue", jobs_prefix}, {"night", night_prefix}});
    });
    all.at(milliseconds(40'200), [&] { all.call(0, "GET", night, ""); });
    all.run_until(milliseconds(44'000));
    all.note_runs();
    if (!is_usable)
        return verdict::not_run;
    return has_begun ? verdict::held : verdict::broken;
}

namespace {

/// A minion whose heartbeats the case sends.
class leaving_minion
{
public:
    explicit leaving_minion(world& all)
        : all_(all), machine_(all.system().runners().front()),
          worker_(all.loop(), all.system().history(), settings(), 1),
          runner_(all.loop(), {machine_.address, link_port}, limits())
    {}

    bool start() { return ok(worker_.start()); }
    void beat()
    {
        if (has_ended_)
            return;
        auto body = worker_.make_announcement();
        if (is_draining_) {
            body["state"] = "draining";
            body["drain_remaining_ms"] = 1000;
        }
        auto const text = fmt::format(
            "minion: heartbeat {} {}", body["sequence"].get<int>(),
            body["state"].get<std::string>());
        all_.note(text);
        runner_.call(
            {"PUT",
             "/-/minions/" + worker_.id(),
             {{"Content-Type", "application/json"}},
             body.dump()},
            [this, text, drains = is_draining_](auto const& answer) {
                bool const is_acknowledged =
                    ok(answer) && value(answer).status == 200;
                all_.note(
                    text + (is_acknowledged ? ": 200" : ": no answer in time"));
                if (is_acknowledged && drains && !acknowledged_)
                    acknowledged_ = event_loop::now();
            });
    }
    /// The next heartbeat of a state reaches the runner after this time.
    void delay_next(std::string const& state, milliseconds delay)
    {
        all_.system().links().front().announcements->delay_next(
            "\"state\":\"" + state + "\"", delay);
    }
    void drain() { is_draining_ = true; }
    void leave()
    {
        all_.note("minion: DELETE, and it ends");
        has_ended_ = true;
        runner_.call(
            {"DELETE", "/-/minions/" + worker_.id(), {}, {}},
            [this](auto const&) { worker_.crash(); });
    }
    std::optional<monotonic_time> acknowledged() const { return acknowledged_; }

private:
    static constexpr std::uint16_t app_port = 8080;
    static constexpr std::uint16_t link_port = 8165;

    standins::platform_worker_settings settings() const
    {
        standins::platform_worker_settings made;
        made.machine = "runner-1";
        made.id = "i-leaving";
        made.domain = "north";
        made.rack = "rack-1";
        made.service = "ledger";
        made.address = {machine_.address, app_port};
        made.runner = {machine_.address, link_port};
        made.announcement_period = std::chrono::hours(1);
        return made;
    }
    static http_client_limits limits()
    {
        // A heartbeat counts if it is acknowledged within a second.
        http_client_limits made;
        made.timeout = milliseconds(500);
        return made;
    }

    world& all_;
    standins::deployed_machine& machine_;
    platform_worker worker_;
    http_client runner_;
    bool is_draining_ = false;
    bool has_ended_ = false;
    std::optional<monotonic_time> acknowledged_;
};

} // namespace

verdict run_late_heartbeat(world_settings const& settings)
{
    constexpr milliseconds period{1100};
    constexpr milliseconds drain_bound{2000};
    constexpr unsigned jobs = 40;
    world all(settings, 1, 2);
    if (!all.start())
        return verdict::not_run;
    all.configure(10, {{"queue", jobs_prefix}});
    all.system().workers().front()->crash();
    leaving_minion minion(all);
    if (!minion.start())
        return verdict::not_run;
    for (milliseconds when{1500}; when < milliseconds(15'000); when += period)
        all.at(when, [&] { minion.beat(); });
    if (all.has_trouble())
        all.at(milliseconds(5500), [&] {
            all.note("the next heartbeat is held up for 5 s");
            minion.delay_next("ready", milliseconds(5000));
        });
    // The heartbeats are at 1.5 s and each 1.1 s later: 5.9 s is the last one
    // that says "ready".
    all.at(milliseconds(6500), [&] {
        minion.drain();
        minion.beat();
    });
    for (unsigned each = 0; each < jobs; ++each)
        all.at(milliseconds(9000 + 100 * each), [&all, each] {
            all.submit(
                0, jobs_prefix + job_id(each), job(4000, 0, {step(1, 4000)}));
        });
    all.at(milliseconds(13'500), [&] { minion.leave(); });
    all.run_until(milliseconds(24'000));
    all.note_runs();
    if (!minion.acknowledged())
        return verdict::not_run;
    std::size_t late = 0;
    std::size_t lost = 0;
    for (auto const& [task, runs] : all.system().history().tasks()) {
        for (auto const& run : runs) {
            bool const is_late =
                run.worker == "runner-1" &&
                run.began > *minion.acknowledged() + drain_bound;
            late += is_late ? 1 : 0;
            lost += is_late && run.how != "done" ? 1 : 0;
        }
    }
    all.note(fmt::format(
        "draining was acknowledged at {:.3f} s; {} task(s) started there more "
        "than 2 s later, {} of them ended with the minion",
        all.since_start(*minion.acknowledged()).count() / 1000.0, late, lost));
    return late == 0 ? verdict::held : verdict::broken;
}

} // namespace review
