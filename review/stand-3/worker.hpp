// A stand-in for a minion (PROTOCOL.md, "Running tasks" and "Service
// discovery"). The spec of a job tells what its tasks do, as JSON:
// {"ms":[work of step 0, of step 1, ...],"fails":[how often each task of step 0
// fails, ...],"saves":[...],"cpu":[...]}.
#pragma once

#include "record.hpp"
#include "store.hpp"

#include <set>

namespace stand {

struct worker_facts
{
    std::string name;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    address app;
    address control;
    std::int64_t cpu = 16'000;
    std::int64_t mem_mb = 64'000;
};

// One run as the worker saw it.
struct seen_run
{
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    double began_s = 0;
    double ended_s = -1;
    std::string how;
};

class worker
{
public:
    worker(worker_facts facts, record& to)
        : facts_(std::move(facts)), record_(to)
    {}

    bool start()
    {
        born_at_ = clock_type::now();
        born_ms_ = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
        if (!server_.listen(facts_.app, [this](request const& from) {
                return handle(from);
            }))
            return false;
        std::thread([this] { beat(); }).detach();
        std::thread([this] { work(); }).detach();
        return true;
    }

    // From now on it is unhealthy: it rejects each start and does nothing.
    void set_unhealthy(bool is_unhealthy)
    {
        std::lock_guard const lock(mutex_);
        is_unhealthy_ = is_unhealthy;
    }

    std::vector<seen_run> seen()
    {
        std::lock_guard const lock(mutex_);
        return seen_;
    }

    // The runs of this job get no lines in the record.
    void leave_out(std::string const& job)
    {
        std::lock_guard const lock(mutex_);
        left_out_ = job;
    }

    // Starts that it has rejected, by task.
    std::map<std::string, int> rejected()
    {
        std::lock_guard const lock(mutex_);
        return rejected_;
    }

    std::int64_t used_cpu()
    {
        std::lock_guard const lock(mutex_);
        return used();
    }

    // The ends that were taken note of.
    std::size_t noted()
    {
        std::lock_guard const lock(mutex_);
        return noted_;
    }

    // The ends that were first listed before this time, and that have not been
    // taken note of.
    std::size_t not_noted(double listed_before_s)
    {
        std::lock_guard const lock(mutex_);
        return static_cast<std::size_t>(
            std::count_if(ended_.begin(), ended_.end(), [&](auto const& each) {
                return each.listed_s >= 0 && each.listed_s < listed_before_s;
            }));
    }

    worker_facts const& facts() const { return facts_; }

private:
    struct live_run
    {
        std::uint64_t run = 0;
        std::int64_t work_ms = 0;
        std::int64_t done_before_ms = 0;
        bool saves = false;
        bool fails = false;
        std::int64_t cpu = 0;
        clock_type::time_point began;
        std::optional<clock_type::time_point> stops;
        std::size_t seen = 0;
    };
    struct ended_run
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::string saved;
        // When it was first listed; negative before.
        double listed_s = -1;
    };

    std::int64_t clock_ms() const
    {
        return 1000 + std::chrono::duration_cast<milliseconds>(
                          clock_type::now() - born_at_)
                          .count();
    }

    std::int64_t used() const
    {
        std::int64_t sum = 0;
        for (auto const& [task, each] : running_)
            sum += each.cpu;
        return sum;
    }

    static std::int64_t
    at_step(json const& spec, char const* name, std::size_t step)
    {
        auto const found = spec.find(name);
        if (found == spec.end() || step >= found->size())
            return 0;
        return (*found)[step].get<std::int64_t>();
    }

    std::int64_t done_ms(live_run const& of, clock_type::time_point now) const
    {
        constexpr std::int64_t restore_ms = 250;
        auto worked =
            std::chrono::duration_cast<milliseconds>(now - of.began).count();
        if (of.done_before_ms > 0)
            worked = std::max<std::int64_t>(0, worked - restore_ms);
        return std::min(of.work_ms, of.done_before_ms + worked);
    }

    // A checkpoint for each half second of work, and at a stop.
    std::string
    saved(live_run const& of, clock_type::time_point now, bool is_stop) const
    {
        constexpr std::int64_t checkpoint_ms = 500;
        if (!of.saves)
            return "";
        auto const done = done_ms(of, now);
        auto const kept = is_stop ? done : done / checkpoint_ms * checkpoint_ms;
        return kept == 0 ? "" : std::to_string(kept);
    }

    response with_clock(int status, json body)
    {
        body["clock_ms"] = clock_ms();
        return {status, body.dump(), false};
    }

    void tell(std::string const& task, std::string const& text)
    {
        if (left_out_.empty() || !task.starts_with(left_out_))
            record_.line(text);
    }

    bool accept_token(json const& order)
    {
        auto const token = order.value("fencing_token", std::uint64_t{0});
        if (token < token_)
            return false;
        token_ = token;
        return true;
    }

    void extend(json const& order)
    {
        constexpr std::int64_t hold_max_ms = 6000;
        auto const deadline = order.value("deadline_ms", std::int64_t{0});
        lease_end_ =
            std::max(lease_end_, std::min(deadline, clock_ms() + hold_max_ms));
    }

    response handle(request const& from)
    {
        auto const named = from.headers.find("x-expected-instance");
        if (named != from.headers.end() && named->second != facts_.name)
            return with_clock(421, json::object());
        auto const order = json::parse(from.body);
        if (from.path == "/-/run-start")
            return start_run(order);
        if (from.path == "/-/run-stop")
            return stop_run(order);
        if (from.path == "/-/hold")
            return hold(order);
        if (from.path == "/-/pace") {
            std::lock_guard const lock(mutex_);
            if (!accept_token(order))
                return with_clock(409, {{"reason", "fence"}});
            return with_clock(200, json::object());
        }
        return with_clock(404, json::object());
    }

    response start_run(json const& order)
    {
        std::lock_guard const lock(mutex_);
        auto const task = order.at("task").get<std::string>();
        auto const run = order.at("run").get<std::uint64_t>();
        if (is_unhealthy_) {
            if (rejected_[task]++ == 0)
                record_.line(
                    facts_.name + " is unhealthy and rejects the start of " +
                    task);
            return with_clock(503, json::object());
        }
        if (!accept_token(order))
            return with_clock(409, {{"reason", "fence"}});
        if (order.value("deadline_ms", std::int64_t{0}) < clock_ms())
            return with_clock(409, {{"reason", "late"}});
        extend(order);
        auto const live = running_.find(task);
        if (live != running_.end() && live->second.run == run)
            return with_clock(200, json::object());
        if (live != running_.end() || run <= highest_over_[task])
            return with_clock(409, {{"reason", "old"}});
        auto const spec = json::parse(order.at("spec").get<std::string>());
        auto const step = step_of(task);
        live_run made;
        made.run = run;
        made.cpu = at_step(spec, "cpu", step);
        if (used() + made.cpu > facts_.cpu)
            return with_clock(409, {{"reason", "room"}});
        made.work_ms = at_step(spec, "ms", step);
        made.saves = at_step(spec, "saves", step) != 0;
        made.fails = fails_again(task, at_step(spec, "fails", step));
        auto const checkpoint = order.value("checkpoint", std::string());
        if (!checkpoint.empty())
            made.done_before_ms = std::stoll(checkpoint);
        made.began = clock_type::now();
        made.seen = seen_.size();
        seen_.push_back({task, run, facts_.name, record_.now_s(), -1, ""});
        tell(
            task,
            "run begins: " + task + " run " + std::to_string(run) + " on " +
                facts_.name +
                (checkpoint.empty() ? "" : " from " + checkpoint + " ms"));
        running_[task] = made;
        return with_clock(200, json::object());
    }

    static std::size_t step_of(std::string const& task)
    {
        auto const first = task.find('.');
        auto const second = task.find('.', first + 1);
        return std::stoul(task.substr(second + 1));
    }

    // Counts the failures of a task on all workers.
    static bool fails_again(std::string const& task, std::int64_t most)
    {
        static std::mutex mutex;
        static std::map<std::string, std::int64_t> fails;
        std::lock_guard const lock(mutex);
        if (fails[task] >= most)
            return false;
        ++fails[task];
        return true;
    }

    response stop_run(json const& order)
    {
        std::lock_guard const lock(mutex_);
        if (!accept_token(order))
            return with_clock(409, {{"reason", "fence"}});
        auto const task = order.at("task").get<std::string>();
        auto const run = order.at("run").get<std::uint64_t>();
        auto& over = highest_over_[task];
        over = std::max(over, run);
        auto const live = running_.find(task);
        if (live != running_.end() && live->second.run == run &&
            !live->second.stops) {
            // A task that saves progress writes its checkpoint first.
            live->second.stops = clock_type::now() +
                                 milliseconds(live->second.saves ? 700 : 150);
            tell(task, "stop ordered: " + task + " run " + std::to_string(run));
        }
        return with_clock(200, json::object());
    }

    response hold(json const& order)
    {
        std::unique_lock lock(mutex_);
        if (!accept_token(order))
            return with_clock(409, {{"reason", "fence"}});
        extend(order);
        auto const last_seen = order.value("last_seen", std::uint64_t{0});
        while (!ended_.empty() && ended_.front().number <= last_seen) {
            ended_.pop_front();
            ++noted_;
        }
        auto const until =
            clock_type::now() +
            milliseconds(order.value("wait_ms", std::int64_t{0}));
        while (ended_.empty() && clock_type::now() < until)
            over_.wait_until(lock, until);
        json running = json::array();
        auto const now = clock_type::now();
        for (auto const& [task, each] : running_) {
            auto const percent =
                each.work_ms == 0 ? 0 : 100 * done_ms(each, now) / each.work_ms;
            running.push_back(
                {task, each.run, saved(each, now, false), percent, each.cpu});
        }
        json ended = json::array();
        constexpr std::size_t most_ends = 500;
        for (auto& each : ended_) {
            if (ended.size() == most_ends)
                break;
            if (each.listed_s < 0)
                each.listed_s = record_.now_s();
            ended.push_back(
                {each.number, each.task, each.run, each.how, each.saved});
        }
        return with_clock(
            200,
            {{"running", running}, {"ended_runs", ended}, {"born", born_ms_}});
    }

    void end_run(std::string const& task, std::string const& how)
    {
        auto const found = running_.find(task);
        auto const& live = found->second;
        auto& over = highest_over_[task];
        over = std::max(over, live.run);
        auto const checkpoint =
            how == "done" ? ""
                          : saved(live, clock_type::now(), how == "stopped");
        ended_.push_back({++last_end_, task, live.run, how, checkpoint});
        seen_[live.seen].ended_s = record_.now_s();
        seen_[live.seen].how = how;
        tell(
            task, "run ends: " + task + " run " + std::to_string(live.run) +
                      " on " + facts_.name + ": " + how);
        running_.erase(found);
        over_.notify_all();
    }

    void work()
    {
        for (;;) {
            std::this_thread::sleep_for(milliseconds(10));
            std::lock_guard const lock(mutex_);
            auto const now = clock_type::now();
            std::vector<std::pair<std::string, std::string>> over;
            for (auto const& [task, each] : running_) {
                bool const is_done =
                    each.work_ms > 0 && done_ms(each, now) >= each.work_ms;
                if (clock_ms() > lease_end_)
                    over.emplace_back(task, "lapsed");
                else if (is_done)
                    over.emplace_back(task, each.fails ? "failed" : "done");
                else if (each.stops && now >= *each.stops)
                    over.emplace_back(task, "stopped");
            }
            for (auto const& [task, how] : over)
                end_run(task, how);
        }
    }

    void beat()
    {
        constexpr milliseconds period{1100};
        constexpr milliseconds timeout{1000};
        for (std::uint64_t sequence = 1;; ++sequence) {
            json const body = {
                {"service", facts_.service},
                {"address", facts_.app.text()},
                {"zone", facts_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"capacity",
                 {{"cpu", facts_.cpu}, {"mem_mb", facts_.mem_mb}, {"gpu", 0}}},
                {"labels", facts_.labels},
                {"clock_ms", clock_ms()},
                {"born", born_ms_},
                {"sequence", sequence}};
            call(
                facts_.control, "PUT", "/-/minions/" + facts_.name, body.dump(),
                {}, timeout);
            std::this_thread::sleep_for(period);
        }
    }

    worker_facts facts_;
    record& record_;
    server server_;
    std::mutex mutex_;
    std::condition_variable over_;
    clock_type::time_point born_at_;
    std::int64_t born_ms_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_end_ = 0;
    std::map<std::string, live_run> running_;
    std::deque<ended_run> ended_;
    std::uint64_t last_end_ = 0;
    std::size_t noted_ = 0;
    std::map<std::string, std::uint64_t> highest_over_;
    std::map<std::string, int> rejected_;
    std::vector<seen_run> seen_;
    bool is_unhealthy_ = false;
    std::string left_out_;
};

} // namespace stand
