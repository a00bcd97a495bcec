// A small deployment on loopback addresses: the project's programs as
// processes, the store, the minions, the operator and the clients as stand-ins.
#pragma once

#include "worker.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <memory>
#include <sys/wait.h>

namespace stand {

// A process of the project, started with the command of the deploy file.
class program
{
public:
    program(std::string command, std::string settings, std::string log)
        : command_(std::move(command)), settings_(std::move(settings)),
          log_(std::move(log))
    {}
    ~program() { kill(); }
    program(program const&) = delete;
    program& operator=(program const&) = delete;

    void start()
    {
        auto const variable = "SYCAMORESPAR_CONFIG=" + settings_;
        auto const path = "PATH=/usr/bin:/bin";
        auto const child = ::fork();
        if (child != 0) {
            pid_ = child;
            return;
        }
        int const out =
            ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        char const* const arguments[] = {command_.c_str(), nullptr};
        char const* const environment[] = {variable.c_str(), path, nullptr};
        ::execve(
            command_.c_str(), const_cast<char* const*>(arguments),
            const_cast<char* const*>(environment));
        ::_exit(127);
    }

    // Asks it to end, and waits until it has; kills it after the grace time.
    void terminate(milliseconds grace)
    {
        ::kill(pid_, SIGTERM);
        auto const until = clock_type::now() + grace;
        while (clock_type::now() < until) {
            if (::waitpid(pid_, nullptr, WNOHANG) == pid_) {
                pid_ = 0;
                return;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        kill();
    }

    void kill()
    {
        auto const pid = pid_.exchange(0);
        if (pid <= 0)
            return;
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }

    // Gives it a share of a core as a quota (DEPLOY.md, "How these days are
    // played"): in each tenth of a second it runs at full speed until its quota
    // is used up, and then not at all until the next.
    void limit(double share)
    {
        std::thread([this, share] {
            constexpr milliseconds period{100};
            auto const quota = std::chrono::duration<double>(period) * share;
            for (;;) {
                auto const until = clock_type::now() + period;
                auto const pid = pid_.load();
                auto const before = used(pid);
                bool is_stopped = false;
                while (clock_type::now() < until) {
                    std::this_thread::sleep_for(milliseconds(1));
                    if (!is_stopped && pid > 0 && pid == pid_ &&
                        used(pid) - before > quota) {
                        is_stopped = true;
                        ::kill(pid, SIGSTOP);
                    }
                }
                if (is_stopped && pid == pid_)
                    ::kill(pid, SIGCONT);
            }
        }).detach();
    }

    // Stands still until it is told to go on.
    void freeze() { ::kill(pid_, SIGSTOP); }
    void wake() { ::kill(pid_, SIGCONT); }

    // True if it has ended by itself.
    bool has_ended()
    {
        if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) == 0)
            return false;
        pid_ = 0;
        return true;
    }

private:
    // The processor time of a process.
    static std::chrono::duration<double> used(pid_t pid)
    {
        clockid_t clock{};
        timespec time{};
        if (pid <= 0 || ::clock_getcpuclockid(pid, &clock) != 0 ||
            ::clock_gettime(clock, &time) != 0)
            return std::chrono::duration<double>(0);
        return std::chrono::duration<double>(
            static_cast<double>(time.tv_sec) +
            static_cast<double>(time.tv_nsec) / 1e9);
    }

    std::string command_;
    std::string settings_;
    std::string log_;
    std::atomic<pid_t> pid_ = 0;
};

struct route
{
    std::string name;
    std::string service;
    int max_attempts = 3;
};

// What the case can't run for, such as a missing program.
class cannot_run : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

class deployment
{
public:
    explicit deployment(record& to) : record_(to)
    {
        for (auto const* name :
             {"target/spar-scheduler", "target/spar-runner"}) {
            if (::access(name, X_OK) != 0)
                throw cannot_run(std::string(name) + " is not built");
        }
        char folder[] = "/tmp/review-3-XXXXXX";
        if (::mkdtemp(folder) == nullptr)
            throw cannot_run("no temporary folder");
        folder_ = folder;
        listen_store();
    }

    // Ends all processes that were started.
    void shut_down()
    {
        schedulers_.clear();
        runners_.clear();
        std::error_code ignored;
        if (::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(folder_, ignored);
        else
            record_.line("logs are in " + folder_);
    }

    // Makes the next version of the configuration.
    // \param more  idle routes beside those named.
    std::string
    make_configuration(std::vector<route> const& routes, std::size_t more = 0)
    {
        auto all = routes;
        for (std::size_t each = 0; each < more; ++each)
            all.push_back(
                {"idle-" + std::to_string(each), routes.front().service});
        json listed = json::array();
        for (auto const& each : all)
            listed.push_back(
                {{"name", each.name},
                 {"host", "example"},
                 {"prefix", "/" + each.name + "/"},
                 {"service", each.service},
                 {"priority", 0},
                 {"max_attempts", each.max_attempts},
                 {"stretch", 2.0},
                 {"target_latency_ms", 1000}});
        json services = json::array();
        services.push_back(
            {{"name", routes.front().service}, {"admission_check", true}});
        version_ += 3;
        return json{
            {"version", version_},
            {"routes", listed},
            {"services", services},
            {"limits", {{"max_body_bytes", 262144}}}}
            .dump();
    }

    // The operator writes a configuration.
    void write_configuration(std::string const& text)
    {
        platform_store().put("op/config", text);
        record_.line(
            "the operator writes a configuration of " +
            std::to_string(text.size()) + " bytes");
    }

    // The operator writes the next version of the configuration.
    void configure(std::vector<route> const& routes, std::size_t more = 0)
    {
        std::string names;
        for (auto const& each : routes)
            names += " " + each.name;
        write_configuration(make_configuration(routes, more));
        record_.line(
            "it is version " + std::to_string(version_) + " with the routes" +
            names +
            (more == 0 ? "" : " and " + std::to_string(more) + " idle ones"));
    }

    void add_scheduler()
    {
        auto const number = schedulers_.size() + 1;
        auto const ip = network_ + std::to_string(10 + number);
        auto const name = "frontend-" + std::to_string(number);
        json const settings = {
            {"machine", name},         {"failure_domain", zone_of(number)},
            {"callers", ip + ":8161"}, {"readiness", ip + ":8167"},
            {"runners", ip + ":7720"}, {"store", network_ + "1:8169"},
            {"processor_share", 0.25}, {"link_mbps", 1000.0},
            {"metrics", ip + ":9464"}, {"longest_hold_ms", 6000}};
        schedulers_.push_back(
            make_program("target/spar-scheduler", name, settings));
        schedulers_.back()->start();
        scheduler_ips_.push_back(ip);
    }

    // A worker and the runner on its machine.
    worker& add_worker(
        std::string const& service, std::vector<std::string> labels,
        std::int64_t cpu = 16'000)
    {
        auto const number = runners_.size() + 1;
        auto const ip = network_ + std::to_string(100 + number);
        auto const name = "side-" + std::to_string(number);
        json seeds = json::array();
        for (auto const& each : scheduler_ips_)
            seeds.push_back(each + ":8166");
        json const settings = {
            {"machine", name},         {"announcements", ip + ":8166"},
            {"worker", ip + ":8080"},  {"store", network_ + "1:8169"},
            {"schedulers", seeds},     {"scheduler_port", 7720},
            {"metrics", ip + ":9464"}, {"longest_hold_ms", 6000}};
        runners_.push_back(make_program("target/spar-runner", name, settings));
        runners_.back()->start();
        worker_facts facts;
        facts.name = "i-" + std::to_string(number);
        facts.service = service;
        facts.zone = zone_of(number);
        facts.labels = std::move(labels);
        facts.cpu = cpu;
        facts.app = {ip, 8080};
        facts.control = {ip, 8166};
        // Workers live as long as this process, as do their threads.
        auto* const made = new worker(facts, record_);
        workers_.push_back(made);
        if (!made->start())
            throw cannot_run("a worker can't listen");
        return *made;
    }

    // Waits until each scheduler is ready and some job would be accepted.
    void await_ready(milliseconds most = milliseconds(15'000))
    {
        auto const until = clock_type::now() + most;
        for (auto const& ip : scheduler_ips_) {
            while (
                call({ip, 8167}, "GET", "/-/readyz", "", {}, milliseconds(500))
                    .status != 200) {
                if (clock_type::now() > until)
                    throw cannot_run("a scheduler isn't ready");
                std::this_thread::sleep_for(milliseconds(50));
            }
        }
        while (!leader()) {
            if (clock_type::now() > until)
                throw cannot_run("there is no leader");
            std::this_thread::sleep_for(milliseconds(50));
        }
        // The workers announce themselves within 1.1 s.
        std::this_thread::sleep_for(milliseconds(2500));
        record_.line("the deployment is up");
    }

    // A client's request; also recorded.
    response
    ask(std::size_t scheduler, std::string const& method,
        std::string const& route, std::string const& id,
        std::string const& body = "", milliseconds timeout = milliseconds(3000))
    {
        auto const what = method + " /" + route + "/" + id + " to frontend-" +
                          std::to_string(scheduler + 1);
        if (method != "GET")
            record_.line(
                "client sends " + what +
                (body.empty() ? "" : " " + shortened(body)));
        auto const answer = call(
            {scheduler_ips_[scheduler], 8161}, method, "/" + route + "/" + id,
            body,
            {{"Host", "example"},
             {"X-Request-Deadline-Ms", std::to_string(timeout.count())}},
            timeout);
        record_.line(
            "answer to " + what + ": " +
            (answer.status > 0 ? std::to_string(answer.status) : "none") + " " +
            answer.body);
        return answer;
    }

    // Hands a job in as a client does, again until there is a final answer.
    void submit(
        std::string const& route, std::string const& id, json const& steps,
        json const& spec, json const& schedule = json::object())
    {
        json body = schedule;
        body["spec"] = spec.dump();
        body["steps"] = steps;
        for (int attempt = 0; attempt < 5; ++attempt) {
            auto const answer =
                ask(attempt % scheduler_ips_.size(), "POST", route, id,
                    body.dump());
            if (answer.status == 200)
                return;
            std::this_thread::sleep_for(milliseconds(300));
        }
        throw cannot_run("a job isn't accepted");
    }

    // The state that a GET shows; empty where none is shown.
    std::string state(
        std::size_t scheduler, std::string const& route, std::string const& id)
    {
        auto const answer = ask(scheduler, "GET", route, id);
        if (answer.status != 200)
            return {};
        return json::parse(answer.body).value("state", std::string());
    }

    // The number of the scheduler that a record of the store names as the one
    // that wrote last under a condition.
    std::optional<std::size_t> leader()
    {
        auto const named = from_base64(store_.value_of("office/scheduler"));
        for (std::size_t at = 0; at < scheduler_ips_.size(); ++at) {
            if (named.find("\"" + scheduler_ips_[at] + "\"") !=
                std::string::npos)
                return at;
        }
        return std::nullopt;
    }

    program& scheduler(std::size_t number) { return *schedulers_[number]; }
    address callers_of(std::size_t scheduler) const
    {
        return {scheduler_ips_[scheduler], 8161};
    }
    void await_ready(std::size_t scheduler)
    {
        for (int attempt = 0; attempt < 200; ++attempt) {
            auto const answer = call(
                {scheduler_ips_[scheduler], 8167}, "GET", "/-/readyz", "", {},
                milliseconds(500));
            if (answer.status == 200)
                return;
            std::this_thread::sleep_for(milliseconds(50));
        }
        throw cannot_run("a scheduler isn't ready again");
    }
    program& runner(std::size_t number) { return *runners_[number]; }
    std::size_t schedulers() const { return schedulers_.size(); }
    stand::store& platform_store() { return store_; }
    std::vector<worker*> const& workers() const { return workers_; }

    // All runs of a task, or of all tasks whose names begin so.
    std::vector<seen_run> runs_of(std::string const& beginning) const
    {
        std::vector<seen_run> found;
        for (auto* const each : workers_) {
            for (auto const& run : each->seen()) {
                if (run.task.starts_with(beginning))
                    found.push_back(run);
            }
        }
        std::sort(
            found.begin(), found.end(),
            [](auto const& left, auto const& right) {
                return left.began_s < right.began_s;
            });
        return found;
    }

    // Processes that have ended by themselves.
    int ended_programs()
    {
        int ended = 0;
        for (auto const& each : schedulers_)
            ended += each->has_ended() ? 1 : 0;
        for (auto const& each : runners_)
            ended += each->has_ended() ? 1 : 0;
        return ended;
    }

    static std::string from_base64(std::string const& text)
    {
        std::string out;
        unsigned bits = 0;
        int count = 0;
        for (char const each : text) {
            int const digit = digit_of(each);
            if (digit < 0)
                break;
            bits = (bits << 6U | static_cast<unsigned>(digit)) & 0xffffU;
            count += 6;
            if (count >= 8) {
                count -= 8;
                out += static_cast<char>(
                    bits >> static_cast<unsigned>(count) & 255U);
            }
        }
        return out;
    }

    // The text, or its begin and its length where it is long.
    static std::string shortened(std::string const& text)
    {
        constexpr std::size_t most = 400;
        if (text.size() <= most)
            return text;
        return text.substr(0, most) + "... (" + std::to_string(text.size()) +
               " bytes)";
    }

private:
    static int digit_of(char each)
    {
        if (each >= 'A' && each <= 'Z')
            return each - 'A';
        if (each >= 'a' && each <= 'z')
            return each - 'a' + 26;
        if (each >= '0' && each <= '9')
            return each - '0' + 52;
        return each == '+' ? 62 : each == '/' ? 63 : -1;
    }

    static std::string zone_of(std::size_t number)
    {
        static char const* const zones[] = {"north", "south", "coast"};
        return zones[number % 3];
    }

    // Who can listen at the store's address owns the network.
    void listen_store()
    {
        auto const first = static_cast<int>(::getpid());
        for (int attempt = 0; attempt < 200; ++attempt) {
            auto const chosen = first + attempt;
            network_ = "127." + std::to_string(20 + chosen % 200) + "." +
                       std::to_string(1 + chosen / 200 % 250) + ".";
            if (store_.listen({network_ + "1", 8169}))
                return;
        }
        throw cannot_run("the store can't listen");
    }

    std::unique_ptr<program> make_program(
        std::string const& command, std::string const& name,
        json const& settings)
    {
        auto const file = folder_ + "/" + name + ".settings";
        std::ofstream(file) << settings.dump();
        return std::make_unique<program>(
            command, file, folder_ + "/" + name + ".log");
    }

    record& record_;
    stand::store store_;
    std::string folder_;
    std::string network_;
    std::uint64_t version_ = 1;
    std::vector<std::unique_ptr<program>> schedulers_;
    std::vector<std::unique_ptr<program>> runners_;
    std::vector<std::string> scheduler_ips_;
    std::vector<worker*> workers_;
};

} // namespace stand
