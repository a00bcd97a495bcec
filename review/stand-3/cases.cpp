// Runs one case of the review: cases CASE RECORD. Ends with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
#include "deployment.hpp"

#include <iostream>

using namespace stand;

namespace {

bool has_trouble()
{
    auto const* const given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

// Bounds of the rules.
constexpr double cancel_s = 3.0;
constexpr double finish_s = 14.0;
// "for 3 s, a job has nothing running while a task's turn has come".
constexpr double idle_limit_s = 3.0;

void sleep_s(double seconds)
{
    std::this_thread::sleep_for(
        std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

// The longest time in which a job had no run, from one time on; until now if it
// has not ended.
double longest_idle_s(
    std::vector<seen_run> runs, double from_s, bool is_over, record const& to)
{
    double longest = 0;
    double idle_since = from_s;
    for (auto const& run : runs) {
        longest = std::max(longest, run.began_s - idle_since);
        idle_since =
            std::max(idle_since, run.ended_s < 0 ? to.now_s() : run.ended_s);
    }
    return is_over ? longest : std::max(longest, to.now_s() - idle_since);
}

// True if the rule was broken.
using case_function = bool (*)(deployment&, record&);

// A job whose acceptance is lost, withdrawn by its client, runs seconds later.
bool withdrawn_job(deployment& made, record& to)
{
    made.configure({{"ledger", "bundle"}});
    for (int each = 0; each < 3; ++each)
        made.add_scheduler();
    for (int each = 0; each < 3; ++each)
        made.add_worker("bundle", {"a", "r1-1"});
    made.await_ready();
    // Of three jobs, the answer to the write of one is lost.
    std::string const id = "5c0e7a21d94b36f8";
    if (has_trouble()) {
        made.platform_store().set_trouble(
            [id, &to](json const& write) -> std::optional<milliseconds> {
                auto const puts = write.value("puts", json::array());
                bool const is_job =
                    !puts.empty() &&
                    puts[0].at("key").get<std::string>() == "job/" + id;
                if (!is_job)
                    return std::nullopt;
                to.line(
                    "the store loses the answer to the write of the job, and "
                    "carries it out 5.5 s later");
                return milliseconds(5500);
            });
    }
    json const steps = {
        {{"count", 2}, {"cpu", 500}, {"mem_mb", 256}, {"estimated_ms", 1500}}};
    json const spec = {{"ms", {1500}}, {"cpu", {500}}};
    json const body = {{"spec", spec.dump()}, {"steps", steps}};
    auto const first = (*made.leader() + 1) % made.schedulers();
    made.submit("ledger", "1111111111111111", steps, spec);
    made.submit("ledger", "2222222222222222", steps, spec);
    made.ask(first, "POST", "ledger", id, body.dump());
    made.platform_store().set_trouble({});
    // The client leaves: it withdraws the job, whose fate it doesn't know.
    auto const second = (first + 1) % made.schedulers();
    response answer{0, "", false};
    double acknowledged_s = 0;
    for (int attempt = 0;
         attempt < 5 && answer.status != 200 && answer.status != 410;
         ++attempt) {
        answer = made.ask(second, "DELETE", "ledger", id);
        acknowledged_s = to.now_s();
    }
    if (answer.status != 200 && answer.status != 410)
        throw cannot_run("the cancelling isn't acknowledged");
    sleep_s(9.0);
    made.state(second, "ledger", id);
    bool is_broken = false;
    for (auto const& run : made.runs_of(id)) {
        if (run.began_s <= acknowledged_s + cancel_s)
            continue;
        is_broken = true;
        to.line(
            "UNASKED: " + run.task + " began " +
            std::to_string(run.began_s - acknowledged_s) +
            " s after its job's cancelling was acknowledged");
    }
    return is_broken;
}

// Tasks that work for minutes are stopped again and again.
bool long_tasks(deployment& made, record& to)
{
    std::int64_t const factor = has_trouble() ? 60 : 1;
    made.configure({{"ledger", "bundle"}});
    for (int each = 0; each < 3; ++each)
        made.add_scheduler();
    made.add_worker("bundle", {"b", "r1-1"});
    made.add_worker("bundle", {"a", "r1-1"});
    made.add_worker("bundle", {"a", "r1-2"});
    made.await_ready();
    // The step needs the one worker of kind b.
    auto const job = [&](std::string const& id, std::int64_t work_ms,
                         bool saves) {
        json step = {
            {"count", 1},
            {"cpu", 1000},
            {"mem_mb", 512},
            {"estimated_ms", work_ms},
            {"required_labels", "b"}};
        if (saves)
            step["saves_progress"] = true;
        json const spec = {
            {"ms", {work_ms}}, {"cpu", {1000}}, {"saves", {saves ? 1 : 0}}};
        made.submit("ledger", id, json::array({step}), spec);
    };
    std::string const plain = "aaaaaaaaaaaaaaaa";
    job(plain, 5000 * factor, false);
    job("bbbbbbbbbbbbbbb1", 4000 * factor, true);
    sleep_s(0.5);
    job("bbbbbbbbbbbbbbb2", 4300 * factor, true);
    sleep_s(0.4);
    job("bbbbbbbbbbbbbbb3", 4700 * factor, true);
    double const from_s = to.now_s() + finish_s;
    to.line(
        "the traffic has ended; the job is judged from " +
        std::to_string(from_s) + " s on");
    sleep_s(finish_s + 75.0);
    auto const runs = made.runs_of(plain);
    made.state(0, "ledger", plain);
    bool const is_done =
        std::any_of(runs.begin(), runs.end(), [](auto const& run) {
            return run.how == "done";
        });
    auto const idle = longest_idle_s(runs, from_s, is_done, to);
    to.line(
        "job " + plain + ": " + std::to_string(runs.size()) + " runs, " +
        (is_done ? "done" : "not done") + "; it had no run for " +
        std::to_string(idle) + " s on end");
    return !is_done && idle >= idle_limit_s;
}

// A runner that has stood still is owed more orders than a reply may hold.
bool large_reply(deployment& made, record& to)
{
    constexpr std::uint32_t count = 3600;
    made.configure({{"ledger", "bundle"}});
    for (int each = 0; each < 3; ++each)
        made.add_scheduler();
    for (int each = 0; each < 3; ++each)
        made.add_worker("bundle", {"a", "r1-1"});
    made.await_ready();
    std::string const id = "aaaaaaaaaaaaaaaa";
    // All tasks together need less than half of the service's processors.
    json const steps = {
        {{"count", count},
         {"cpu", 4},
         {"mem_mb", 8},
         {"estimated_ms", 10'000}}};
    json const spec = {
        {"ms", {10'000}}, {"cpu", {4}}, {"input", std::string(3900, 'x')}};
    if (has_trouble()) {
        made.runner(0).freeze();
        to.line("the machine of i-1 stands still: its runner is stopped");
    }
    made.submit("ledger", id, steps, spec);
    double const traffic_ends_s = to.now_s();
    sleep_s(4.0);
    if (has_trouble()) {
        made.runner(0).wake();
        to.line("and goes on");
    }
    std::size_t done = 0;
    while (done < count && to.now_s() < traffic_ends_s + 75.0) {
        sleep_s(5.0);
        done = 0;
        std::string text;
        for (auto* const each : made.workers()) {
            auto const seen = each->seen();
            auto const ended = static_cast<std::size_t>(
                std::count_if(seen.begin(), seen.end(), [](auto const& run) {
                    return run.how == "done";
                }));
            done += ended;
            text += "; " + each->facts().name + ": " +
                    std::to_string(seen.size()) + " begun, " +
                    std::to_string(ended) + " done, " +
                    std::to_string(each->used_cpu()) + " of 16000 in use";
        }
        to.line("tasks" + text);
    }
    auto const state = made.state(0, "ledger", id);
    auto const idle = longest_idle_s(
        made.runs_of(id), traffic_ends_s + finish_s, done == count, to);
    to.line(
        std::to_string(count - done) + " tasks have not ended; from " +
        std::to_string(traffic_ends_s + finish_s) +
        " s on the job had no run for " + std::to_string(idle) + " s on end");
    return done < count && idle >= idle_limit_s;
}

// A process that is told to end drops answers that it has not sent yet.
bool cut_answers(deployment& made, record& to)
{
    constexpr double loss_slack_s = 0.2;
    constexpr std::size_t idle_routes = 6500;
    constexpr milliseconds grace{6000};
    std::vector<route> const routes = {{"ledger", "bundle"}};
    made.configure(routes, idle_routes);
    for (int each = 0; each < 3; ++each)
        made.add_scheduler();
    // A machine of this class has a quarter of a core.
    for (std::size_t each = 0; each < made.schedulers(); ++each)
        made.scheduler(each).limit(0.25);
    made.add_worker("bundle", {"a", "r1-1"});
    made.await_ready();
    int cut = 0;
    for (int round = 0; round < 15; ++round) {
        auto const at = (*made.leader() + 1 + round % 2) % made.schedulers();
        constexpr std::size_t clients = 30;
        std::vector<kept_connection> connections(clients);
        for (auto& each : connections) {
            if (!each.open(made.callers_of(at)))
                throw cannot_run("a client can't connect");
        }
        sleep_s(0.3);
        std::vector<std::string> versions;
        for (std::size_t version = 0; version < 4; ++version)
            versions.push_back(
                made.make_configuration(routes, idle_routes + version));
        to.line("round " + std::to_string(round + 1));
        for (auto const& each : versions)
            made.write_configuration(each);
        std::vector<std::thread> threads;
        std::mutex mutex;
        auto const begun_s = to.now_s();
        for (std::size_t client = 0; client < clients; ++client) {
            threads.emplace_back([&, client] {
                constexpr double pause_s = 0.025;
                sleep_s(pause_s * static_cast<double>(client));
                auto& own = connections[client];
                auto const sent_s = to.now_s();
                own.send("GET /never/ HTTP/1.1\r\nHost: example\r\n\r\n");
                auto const status = own.receive(milliseconds(5000));
                auto const took_s = to.now_s() - sent_s;
                std::lock_guard const lock(mutex);
                to.line(
                    "client " + std::to_string(client) +
                    " sent GET /never/ at " + std::to_string(sent_s - begun_s) +
                    " s; after " + std::to_string(took_s) + " s: " +
                    (status > 0     ? std::to_string(status)
                     : status == 0  ? "closed without an answer, all bytes read"
                     : status == -1 ? "reset"
                                    : "nothing"));
                if (status == 0 && took_s > loss_slack_s)
                    ++cut;
            });
        }
        sleep_s(0.1 * static_cast<double>(1 + round % 5));
        if (has_trouble()) {
            to.line("frontend-" + std::to_string(at + 1) + " gets SIGTERM");
            made.scheduler(at).terminate(grace);
            to.line("it has ended, and is started again");
            made.scheduler(at).start();
        }
        for (auto& each : threads)
            each.join();
        made.await_ready(at);
    }
    if (cut > 0)
        to.line(
            "LOST: " + std::to_string(cut) +
            " whole requests got no answer around planned work only");
    return cut > 0;
}

std::map<std::string, case_function> const cases = {
    {"cut-answers", &cut_answers},
    {"large-reply", &large_reply},
    {"withdrawn-job", &withdrawn_job},
    {"long-tasks", &long_tasks}};

int run(std::string const& name, std::string const& path)
{
    // Threads of the stand-ins use both until the end of the process.
    auto& to = *new record(path);
    deployment* made = nullptr;
    try {
        made = new deployment(to);
        bool const is_broken = cases.at(name)(*made, to);
        made->shut_down();
        to.line(is_broken ? "the rule is broken" : "the rule holds");
        return is_broken ? 1 : 0;
    } catch (std::exception const& problem) {
        if (made != nullptr)
            made->shut_down();
        to.line(std::string("the case couldn't run: ") + problem.what());
        std::cerr << problem.what() << "\n";
        return 2;
    }
}

} // namespace

int main(int count, char** texts)
{
    if (count != 3 || cases.count(texts[1]) == 0)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    // Threads of stand-ins still run.
    std::_Exit(run(texts[1], texts[2]));
}
