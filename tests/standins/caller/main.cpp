/// A stand-in for callers: sends requests to entries at a steady rate, submits
/// jobs, waits until they end, and prints a summary of all outcomes. Exits with
/// 1 if a request was unanswered or its body wrong, or a job did not end.
#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/log.hpp"
#include "standins/history.hpp"
#include "standins/program.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace sycamorespar::standins {

namespace {

/// A row to which requests are sent at a steady rate.
struct row_load
{
    std::string row;
    double per_second = 0;
};

/// Number of jobs of a row that are submitted at the start.
struct row_jobs
{
    std::string row;
    int count = 0;
};

struct caller_settings
{
    std::vector<std::string> entries;
    std::vector<row_load> loads;
    std::vector<row_jobs> jobs;
    std::vector<std::string> never_repeat;
    std::string name;
    std::string history_path;
    int seconds = 10;
    int job_wait_seconds = 60;
    int job_run_ms = 1000;
    std::uint64_t seed = 1;
};

/// Outcomes of the requests to one row; latencies are those of requests that
/// ran.
struct row_statistics
{
    int sent = 0;
    int ran = 0;
    int not_run = 0;
    int unknown = 0;
    int wrong_body = 0;
    std::vector<double> latencies_ms;
};

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto const last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(part * last)];
}

/// Generates the load and records every outcome.
class caller
{
public:
    explicit caller(caller_settings settings)
        : settings_(std::move(settings)),
          history_(settings_.history_path, settings_.name),
          engine_(settings_.seed)
    {
        http_client_limits limits;
        limits.timeout = std::chrono::seconds(30);
        limits.max_connections = 256;
        for (std::string const& each : settings_.entries)
            entries_.push_back(std::make_unique<http_client>(
                loop_, parse_endpoint(each), limits));
    }

    int run()
    {
        for (row_load const& line : settings_.loads) {
            auto const period = std::chrono::duration<double>(
                1.0 / std::max(line.per_second, 0.001));
            std::string const row = line.row;
            loop_.every(
                std::chrono::duration_cast<duration>(period), [this, row] {
                    if (!done_sending_)
                        send(row);
                });
        }
        for (row_jobs const& line : settings_.jobs) {
            for (int number = 0; number < line.count; ++number)
                submit(line.row, number);
        }
        loop_.after(std::chrono::seconds(settings_.seconds), [this] {
            done_sending_ = true;
        });
        auto const give_up = std::chrono::seconds(
            settings_.seconds + settings_.job_wait_seconds);
        loop_.after(give_up, [this] { loop_.stop(); });
        loop_.every(std::chrono::milliseconds(200), [this] { check_done(); });
        loop_.on_signal(SIGTERM, [this] { loop_.stop(); });
        loop_.run();
        return print_summary();
    }

private:
    http_client& pick_entry()
    {
        boost::random::uniform_int_distribution<std::size_t> pick(
            0, entries_.size() - 1);
        return *entries_[pick(engine_)];
    }

    bool never_repeats(std::string const& row) const
    {
        return std::find(
                   settings_.never_repeat.begin(), settings_.never_repeat.end(),
                   row) != settings_.never_repeat.end();
    }

    void send(std::string const& row)
    {
        std::string const key =
            fmt::format("{}-{}", settings_.name, ++last_key_);
        bool const never = never_repeats(row);
        http_request request;
        request.method = "POST";
        request.target = "/request/" + row + "/work";
        request.headers = {
            {"X-Test-Key", key},
            {"X-Row", row},
            {"X-Spar-Caller", settings_.name},
            {"X-Spar-Repeat", never ? "never" : "allowed"}};
        request.body = "body-of-" + key;
        ++statistics_[row].sent;
        ++open_;
        history_.write(
            "request_sent",
            {{"key", key}, {"row", row}, {"repeatable", !never}});
        monotonic_time const sent_at = event_loop::now();
        pick_entry().call(
            request, [this, row, key, sent_at](auto const& answer) {
                --open_;
                on_answer(row, key, sent_at, answer);
            });
    }

    void on_answer(
        std::string const& row, std::string const& key, monotonic_time sent_at,
        result<http_response> const& answer)
    {
        row_statistics& statistics = statistics_[row];
        std::string what = "unknown";
        int status = 0;
        std::string body_key;
        bool whole = false;
        if (ok(answer)) {
            http_response const& response = value(answer);
            status = response.status;
            if (auto const* named =
                    find_header(response.headers, "X-Spar-Outcome"))
                what = *named == "not-run" ? "not_run" : *named;
            auto const body =
                nlohmann::json::parse(response.body, nullptr, false);
            if (body.is_object()) {
                body_key = body.value("key", "");
                whole = body.value("body", "") == "body-of-" + key;
            }
        } else if (failure(answer).effect == outcome::not_run) {
            what = "not_run";
        }
        if (what == "ran") {
            ++statistics.ran;
            statistics.latencies_ms.push_back(
                std::chrono::duration<double, std::milli>(
                    event_loop::now() - sent_at)
                    .count());
            if (body_key != key || !whole)
                ++statistics.wrong_body;
        } else if (what == "not_run") {
            ++statistics.not_run;
        } else {
            ++statistics.unknown;
        }
        history_.write(
            "request_answered", {{"key", key},
                                 {"outcome", what},
                                 {"status", status},
                                 {"body_key", body_key},
                                 {"whole", whole}});
    }

    void submit(std::string const& row, int number)
    {
        std::string const job =
            fmt::format("{}-{}-{}", settings_.name, row, number);
        jobs_[job] = "submitting";
        history_.write(
            "job_submitted",
            {{"job", job}, {"row", row}, {"repeatable", !never_repeats(row)}});
        try_submit(row, job);
    }

    void try_submit(std::string const& row, std::string const& job)
    {
        nlohmann::json const body{
            {"job", job},
            {"row", row},
            {"millicores", 2000},
            {"memory_mib", 2048},
            {"run_ms", settings_.job_run_ms}};
        http_request request{"POST", "/jobs", {}, body.dump()};
        pick_entry().call(request, [this, row, job](auto const& answer) {
            constexpr int accepted = 202;
            if (ok(answer) && value(answer).status == accepted) {
                jobs_[job] = "queued";
                return;
            }
            // Submitting again is safe because the job id stays the same.
            loop_.after(std::chrono::milliseconds(300), [this, row, job] {
                try_submit(row, job);
            });
        });
    }

    void poll_job(std::string const& job)
    {
        http_request request{"GET", "/jobs/" + job, {}, ""};
        pick_entry().call(request, [this, job](auto const& answer) {
            if (!ok(answer) || value(answer).status != 200)
                return;
            auto const body =
                nlohmann::json::parse(value(answer).body, nullptr, false);
            if (body.is_object())
                jobs_[job] = body.value("state", "unknown");
        });
    }

    static bool is_ended(std::string const& state)
    {
        return state == "finished" || state == "failed" ||
               state == "cancelled" || state == "refused" || state == "parked";
    }

    void check_done()
    {
        bool all_ended = true;
        for (auto const& [job, state] : jobs_) {
            if (is_ended(state))
                continue;
            all_ended = false;
            if (state != "submitting")
                poll_job(job);
        }
        if (done_sending_ && open_ == 0 && all_ended)
            loop_.stop();
    }

    int print_summary()
    {
        int bad = 0;
        for (auto const& [row, each] : statistics_) {
            int const answered = each.ran + each.not_run + each.unknown;
            fmt::print(
                "requests row={} sent={} ran={} not_run={} unknown={} "
                "unanswered={} wrong_body={} p50_ms={:.2f} p99_ms={:.2f}\n",
                row, each.sent, each.ran, each.not_run, each.unknown,
                each.sent - answered, each.wrong_body,
                percentile(each.latencies_ms, 0.5),
                percentile(each.latencies_ms, 0.99));
            bad += each.wrong_body + each.sent - answered;
        }
        std::map<std::string, int> states;
        for (auto const& [job, state] : jobs_) {
            ++states[state];
            bad += is_ended(state) ? 0 : 1;
        }
        for (auto const& [state, count] : states)
            fmt::print("jobs state={} count={}\n", state, count);
        return bad == 0 ? 0 : 1;
    }

    caller_settings settings_;
    event_loop loop_;
    history history_;
    boost::random::mt19937_64 engine_;
    std::vector<std::unique_ptr<http_client>> entries_;
    std::map<std::string, row_statistics> statistics_;
    std::map<std::string, std::string> jobs_;
    std::uint64_t last_key_ = 0;
    int open_ = 0;
    bool done_sending_ = false;
};

/// Splits "name=value"; throws std::invalid_argument.
std::pair<std::string, std::string> split_pair(std::string const& text)
{
    auto const separator = text.find('=');
    if (separator == std::string::npos)
        throw std::invalid_argument("expected NAME=NUMBER, got " + text);
    return {text.substr(0, separator), text.substr(separator + 1)};
}

int run_program(int argc, char** argv)
{
    namespace po = boost::program_options;
    caller_settings into;
    std::string entries;
    std::string never;
    std::vector<std::string> loads;
    std::vector<std::string> jobs;
    po::options_description known("Options");
    auto add = known.add_options();
    add("help", "print this help");
    add("entries", po::value(&entries)->required(),
        "endpoints of entries, separated by commas");
    add("load", po::value(&loads), "ROW=REQUESTS_PER_SECOND, repeated");
    add("jobs", po::value(&jobs), "ROW=COUNT, repeated");
    add("never-repeat", po::value(&never),
        "rows whose work must not run twice, separated by commas");
    add("name", po::value(&into.name)->default_value("caller"),
        "name of the caller");
    add("history", po::value(&into.history_path), "history file");
    add("seconds", po::value(&into.seconds), "duration of the load in seconds");
    add("job-run-ms", po::value(&into.job_run_ms),
        "run time of each job in milliseconds");
    add("job-wait-seconds", po::value(&into.job_wait_seconds),
        "time limit for jobs after the load, in seconds");
    add("seed", po::value(&into.seed), "random seed");
    po::variables_map found;
    po::store(po::parse_command_line(argc, argv, known), found);
    if (found.contains("help")) {
        std::cout << known;
        return 0;
    }
    po::notify(found);
    into.entries = split_list(entries);
    into.never_repeat = split_list(never);
    for (std::string const& each : loads) {
        auto const [row, rate] = split_pair(each);
        into.loads.push_back({row, std::stod(rate)});
    }
    for (std::string const& each : jobs) {
        auto const [row, count] = split_pair(each);
        into.jobs.push_back({row, std::stoi(count)});
    }
    set_log_program("standin-caller");
    return caller(into).run();
}

} // namespace

} // namespace sycamorespar::standins

int main(int argc, char** argv)
{
    try {
        return sycamorespar::standins::run_program(argc, argv);
    } catch (std::exception const& fault) {
        std::cerr << fault.what() << '\n';
        return 2;
    }
}
