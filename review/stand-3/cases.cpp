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
constexpr double finish_s = 14.0;
constexpr double ack_s = 4.0;
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

// The progress of a large job grows over what the store takes, and then no
// progress of any job is recorded any more.
bool large_record(deployment& made, record& to)
{
    constexpr int occurrences = 50;
    constexpr std::uint32_t tasks_of_occurrence = 1100;
    constexpr int interval_ms = 500;
    made.configure({{"ledger", "bundle"}});
    for (int each = 0; each < 3; ++each)
        made.add_scheduler();
    std::string const large = "aaaaaaaaaaaaaaaa";
    for (int each = 0; each < 9; ++each)
        made.add_worker(
                "bundle", {"a", "r1-" + std::to_string(1 + each / 3)}, 64'000)
            .leave_out(large);
    made.await_ready();
    // Twice a second, 1,100 tasks of 100 s and one of a second.
    json const steps = {
        {{"count", tasks_of_occurrence},
         {"cpu", 1},
         {"mem_mb", 1},
         {"estimated_ms", 100'000}},
        {{"count", 1}, {"cpu", 1}, {"mem_mb", 1}, {"estimated_ms", 1000}}};
    json const spec = {{"ms", {100'000, 1000}}, {"cpu", {1, 1}}};
    auto const first_ms =
        std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count() +
        interval_ms;
    json const schedule = {
        {"repeat_count", occurrences},
        {"first_ms", first_ms},
        {"interval_ms", interval_ms}};
    made.submit("ledger", large, steps, spec, schedule);
    auto const leader = *made.leader();
    if (has_trouble()) {
        made.scheduler(leader).kill();
        to.line(
            "frontend-" + std::to_string(leader + 1) +
            ", the leader, is killed");
        sleep_s(0.5);
        made.scheduler(leader).start();
        to.line("and started again");
    }
    sleep_s(28.0);
    // Then the usual small jobs come, two a second.
    constexpr int small_jobs = 30;
    constexpr int tasks_of_small = 30;
    json const small_steps = {
        {{"count", tasks_of_small},
         {"cpu", 10},
         {"mem_mb", 8},
         {"estimated_ms", 100}},
        {{"count", 1},
         {"cpu", 10},
         {"mem_mb", 8},
         {"estimated_ms", 100},
         {"after", {0}}}};
    json const small_spec = {{"ms", {100, 100}}, {"cpu", {10, 10}}};
    std::vector<std::string> small;
    for (int each = 0; each < small_jobs; ++each) {
        small.push_back("bbbbbbbbbbbbbb" + std::to_string(10 + each));
        made.submit("ledger", small.back(), small_steps, small_spec);
        sleep_s(0.5);
    }
    to.line("the traffic has ended");
    sleep_s(finish_s);
    std::size_t completed = 0;
    for (auto const& id : small)
        completed += made.state(0, "ledger", id) == "completed" ? 1 : 0;
    std::size_t noted = 0;
    std::size_t not_noted = 0;
    for (auto* const each : made.workers()) {
        noted += each->noted();
        not_noted += each->not_noted(to.now_s() - ack_s);
    }
    to.line(
        std::to_string(completed) + " of " + std::to_string(small_jobs) +
        " small jobs are shown as completed; " + std::to_string(not_noted) +
        " ends that were listed over 4 s ago have not been taken note of, "
        "and " +
        std::to_string(noted) + " have");
    return not_noted > (noted + not_noted) / 5;
}

// A runner refuses the starts that it can't send in time, and its worker then
// gets no work for seconds.
bool refused_burst(deployment& made, record& to)
{
    std::uint32_t const tasks_of_step = has_trouble() ? 4000 : 40;
    constexpr int steps_of_job = 4;
    made.configure({{"ledger", "bundle"}});
    for (int each = 0; each < 3; ++each)
        made.add_scheduler();
    std::string const id = "aaaaaaaaaaaaaaaa";
    made.add_worker("bundle", {"b", "r1-1"}).leave_out(id);
    made.add_worker("bundle", {"a", "r1-1"});
    made.add_worker("bundle", {"a", "r1-2"});
    made.await_ready();
    json steps = json::array();
    json spec = {{"ms", json::array()}, {"cpu", json::array()}};
    for (int step = 0; step < steps_of_job; ++step) {
        steps.push_back(
            {{"count", tasks_of_step},
             {"cpu", 1},
             {"mem_mb", 1},
             {"estimated_ms", 500},
             {"required_labels", "b"}});
        spec["ms"].push_back(500);
        spec["cpu"].push_back(1);
    }
    made.submit("ledger", id, steps, spec);
    double const from_s = to.now_s() + finish_s;
    std::size_t const count = std::size_t{tasks_of_step} * steps_of_job;
    std::size_t done = 0;
    while (done < count && to.now_s() < from_s + 30.0) {
        sleep_s(2.0);
        auto const runs = made.runs_of(id);
        done = static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [](auto const& run) {
                return run.how == "done";
            }));
        std::int64_t used = 0;
        for (auto* const each : made.workers())
            used += each->used_cpu();
        to.line(
            std::to_string(runs.size()) + " runs have begun, " +
            std::to_string(done) + " of " + std::to_string(count) +
            " tasks are done; " + std::to_string(used) +
            " of 48000 thousandths of a core in use");
    }
    auto const idle =
        longest_idle_s(made.runs_of(id), from_s, done == count, to);
    made.state(0, "ledger", id);
    to.line(
        "from " + std::to_string(from_s) + " s on the job had no run for " +
        std::to_string(idle) + " s on end");
    return idle >= idle_limit_s;
}

// Two clients choose the same id for jobs of two queues.
bool shared_id(deployment& made, record& to)
{
    made.configure({{"ledger", "bundle"}, {"settle", "bundle"}});
    for (int each = 0; each < 3; ++each)
        made.add_scheduler();
    for (int each = 0; each < 3; ++each)
        made.add_worker("bundle", {"a", "r1-1"});
    made.await_ready();
    std::string const first = "0000000000000001";
    std::string const second =
        has_trouble() ? "0000000000000001" : "0000000000000002";
    auto const steps = [](std::uint32_t count) {
        return json::array(
            {{{"count", count},
              {"cpu", 500},
              {"mem_mb", 256},
              {"estimated_ms", 2000}}});
    };
    json const spec = {{"ms", {2000}}, {"cpu", {500}}};
    made.submit("ledger", first, steps(3), spec);
    bool is_broken = false;
    if (!made.state(1, "settle", second).empty()) {
        to.line(
            "MIXED: a job that nobody has handed in on this queue is shown");
        is_broken = true;
    }
    made.submit("settle", second, steps(5), spec);
    sleep_s(finish_s + 4.0);
    auto const state = made.state(2, "settle", second);
    std::size_t begun = made.runs_of(second + ".0.0.").size();
    to.line(
        "the job of settle has five tasks and is shown as " + state + "; " +
        std::to_string(begun) + " tasks of that id have begun");
    if (state == "completed" && begun < 5) {
        to.line("MIXED: it is shown as completed, and no task of it has run");
        is_broken = true;
    }
    return is_broken;
}

std::map<std::string, case_function> const cases = {
    {"shared-id", &shared_id},
    {"refused-burst", &refused_burst},
    {"large-record", &large_record},
    {"cut-answers", &cut_answers},
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
