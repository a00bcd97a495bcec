/// Measures the processor time of a leading scheduler per start, by part, for
/// several fleet sizes. Simulates a fleet under a constant mix of jobs in
/// virtual time; the codec of reports and replies is included, sockets are not.
#include "libsycamorespar/graph_scheduler.hpp"
#include "records/graph_json.hpp"
#include "runners/runner_codec.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <fmt/core.h>
#include <map>
#include <string>
#include <vector>

#include "libsycamorespar/random_engine.hpp"

using namespace sycamorespar;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds tick{10};
constexpr milliseconds report_interval{400};
constexpr std::size_t payload_bytes = 1200;
constexpr std::size_t racks = 12;

/// Processor time of one part of the work.
struct cost
{
    std::chrono::nanoseconds spent{0};
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
};

std::chrono::nanoseconds processor_time()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) +
           std::chrono::nanoseconds(now.tv_nsec);
}

template<class Work>
auto timed(cost& into, Work work)
{
    auto const before = processor_time();
    auto result = work();
    into.spent += processor_time() - before;
    ++into.calls;
    return result;
}

/// One class of jobs at the rate that a fleet of 240 workers has.
struct job_class
{
    char const* queue;
    double per_second;
    std::uint32_t steps;
    std::uint32_t tasks;
    std::int64_t millicores;
    milliseconds duration;
    bool fills;
    bool lasts;
    int images;
};

constexpr double reference_workers = 240.0;
job_class const classes[] = {
    {"urgent", 20.7, 2, 10, 650, milliseconds(800), false, false, 0},
    {"batch", 4.15, 2, 40, 1800, milliseconds(2700), true, false, 30},
    {"lasting", 0.26, 1, 24, 3200, milliseconds(0), false, true, 16},
};

struct fake_worker
{
    runner_report report;
    std::map<run_id, monotonic_time> ends_at;
    std::uint64_t next_end = 1;
    monotonic_time reported_at{};
    bool has_changes = true;
};

class simulation
{
public:
    simulation(std::size_t workers, double load)
        : scheduler_(scheduler_term{1}, {}, {}, now_),
          scale_(load * static_cast<double>(workers) / reference_workers)
    {
        schedule_policy policy;
        for (auto const& each : classes)
            policy.queues[queue_id{each.queue}] = {
                pool_id{"pool"}, each.fills ? 2 : 0, 4};
        scheduler_.set_policy(policy);
        for (std::size_t at = 0; at < workers; ++at)
            workers_.push_back(make_worker(at));
        settle();
    }

    void run(std::chrono::seconds total)
    {
        add_lasting_jobs();
        auto const end = now_ + total;
        while (now_ < end) {
            now_ += tick;
            submit();
            timed(plan_, [&] {
                return scheduler_.plan(now_, milliseconds(0), now_);
            });
            for (auto& worker : workers_)
                drive(worker);
            record();
            scheduler_.take_events();
        }
    }

    void print(std::size_t workers) const
    {
        auto const starts =
            static_cast<double>(std::max<std::uint64_t>(starts_, 1));
        auto const per_start = [&](cost const& part) {
            return static_cast<double>(part.spent.count()) / 1000.0 / starts;
        };
        fmt::print(
            "{:>7} {:>8} {:>8} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} "
            "{:>8.0f} {:>8.0f} {:>8.0f} {:>8.2f}\n",
            workers, starts_, scheduler_.waiting_tasks(), per_start(plan_),
            per_start(decode_), per_start(apply_), per_start(reply_),
            per_start(record_), static_cast<double>(decode_.bytes) / starts,
            static_cast<double>(reply_.bytes) / starts,
            static_cast<double>(record_.bytes) / starts,
            static_cast<double>(decode_.calls) / starts);
    }

private:
    fake_worker make_worker(std::size_t at)
    {
        fake_worker made;
        auto const name = "worker-" + std::to_string(at);
        made.report.worker = worker_id{name};
        made.report.runner = incarnation{at + 1};
        made.report.facts.incarnation = {"i-" + name, milliseconds(1000)};
        made.report.facts.pool = pool_id{"pool"};
        made.report.facts.domain =
            failure_domain_id{"domain-" + std::to_string(at % 5)};
        auto const cores = at % 3 == 2 ? 24'000 : 16'000;
        made.report.facts.capacity = {cores, 4 * cores, 0};
        made.report.facts.labels = {"a", "r" + std::to_string(at % racks)};
        return made;
    }

    void settle()
    {
        for (int round = 0; round < 2; ++round) {
            for (auto& worker : workers_) {
                exchange(worker);
                scheduler_.on_worker_recorded(worker.report.worker);
            }
        }
    }

    job_graph make_job(job_class const& from)
    {
        job_graph graph;
        graph.id = job_id{fmt::format("{:016x}", 0x5c0e7a21d94b0000 + jobs_++)};
        graph.queue = queue_id{from.queue};
        graph.payload = std::string(payload_bytes, 'x');
        for (std::uint32_t step = 0; step < from.steps; ++step) {
            graph_step made;
            made.count = from.tasks;
            made.need = {from.millicores, 2 * from.millicores, 0};
            made.estimate = from.duration;
            made.fills = from.fills;
            made.long_running = from.lasts;
            made.saves_progress = from.fills;
            if (from.images > 0)
                made.image = fmt::format(
                    "{}-{}", from.queue,
                    boost::random::uniform_int_distribution<int>(
                        1, from.images)(random_));
            if (from.lasts)
                made.target = milliseconds(40);
            if (step > 0)
                made.after = {step - 1};
            graph.steps.push_back(std::move(made));
        }
        return graph;
    }

    void submit()
    {
        for (auto const& each : classes) {
            if (each.lasts)
                continue;
            auto& credit = credit_[each.queue];
            credit += each.per_second * scale_ *
                      std::chrono::duration<double>(tick).count();
            for (; credit >= 1.0; credit -= 1.0)
                add(each);
        }
    }

    void add_lasting_jobs()
    {
        constexpr double jobs_at_reference = 18.0;
        auto const count =
            std::max(1, static_cast<int>(jobs_at_reference * scale_));
        for (int each = 0; each < count; ++each)
            add(classes[2]);
    }

    void add(job_class const& from)
    {
        scheduler_.add_job(make_job(from), nullptr, scheduler_.term(), now_);
    }

    void drive(fake_worker& worker)
    {
        end_finished(worker);
        bool const is_due = now_ - worker.reported_at >= report_interval;
        if (worker.has_changes || is_due ||
            scheduler_.has_updates(worker.report.worker))
            exchange(worker);
    }

    void end_finished(fake_worker& worker)
    {
        std::vector<run_id> done;
        for (auto const& [run, at] : worker.ends_at) {
            if (at <= now_)
                done.push_back(run);
        }
        for (auto const& run : done) {
            worker.ends_at.erase(run);
            std::erase_if(worker.report.runs, [&](run_report const& each) {
                return each.run == run;
            });
            worker.report.ends.push_back(
                {worker.next_end++, run, run_end::finished, ""});
            worker.has_changes = true;
        }
    }

    void exchange(fake_worker& worker)
    {
        worker.reported_at = now_;
        worker.has_changes = false;
        ++worker.report.sequence;
        auto const sent = write_report(worker.report);
        decode_.bytes += sent.size();
        auto const read =
            timed(decode_, [&] { return take(read_report(sent)); });
        timed(apply_, [&] { return scheduler_.on_report(read, now_); });
        auto const reply = timed(reply_, [&] {
            return write_reply(
                scheduler_.reply_to(worker.report.worker, now_, true));
        });
        reply_.bytes += reply.size();
        apply(worker, take(read_reply(reply)));
    }

    void apply(fake_worker& worker, runner_reply const& reply)
    {
        auto& report = worker.report;
        if (reply.token != report.token) {
            report.token = reply.token;
            report.term = reply.term;
            report.last_order = 0;
            worker.has_changes = true;
        }
        report.is_listed = true;
        std::erase_if(report.ends, [&](end_report const& end) {
            return end.number <= reply.ended_through;
        });
        for (auto const& order : reply.orders) {
            if (number_of(order) <= report.last_order)
                continue;
            report.last_order = number_of(order);
            worker.has_changes = true;
            if (auto const* start = std::get_if<start_order>(&order))
                begin(worker, *start);
            if (auto const* stop = std::get_if<stop_order>(&order))
                end_stopped(worker, stop->run);
        }
    }

    void begin(fake_worker& worker, start_order const& start)
    {
        ++starts_;
        run_report run;
        run.run = start.run;
        run.has_started = true;
        run.is_known = true;
        bool const lasts = start.facts.target.count() > 0;
        run.percent = lasts ? 100 : 10;
        run.measurement = lasts ? 12 : start.facts.backfill_millicores;
        run.checkpoint = start.facts.fills ? "00000bb87a21d94b" : "";
        worker.report.runs.push_back(run);
        if (lasts)
            return;
        auto const usual =
            start.facts.fills ? classes[1].duration : classes[0].duration;
        auto const factor =
            boost::random::uniform_real_distribution<double>(0.5, 1.5)(random_);
        worker.ends_at[start.run] =
            now_ + std::chrono::duration_cast<milliseconds>(usual * factor);
    }

    void end_stopped(fake_worker& worker, run_id const& run)
    {
        worker.ends_at.erase(run);
        if (std::erase_if(worker.report.runs, [&](run_report const& each) {
                return each.run == run;
            }) > 0)
            worker.report.ends.push_back(
                {worker.next_end++, run, run_end::stopped, ""});
    }

    void record()
    {
        constexpr std::size_t records_per_write = 7;
        for (auto const& written : scheduler_.take_records(records_per_write)) {
            record_.bytes += timed(record_, [&] {
                return write_progress(written.snapshot).size();
            });
            timed(record_, [&] {
                scheduler_.on_recorded(written.job, written.version);
                return 0;
            });
            scheduler_.drop_job(written.job);
        }
    }

    monotonic_time now_{std::chrono::hours(1)};
    graph_scheduler scheduler_;
    double scale_;
    random_engine random_{7};
    std::vector<fake_worker> workers_;
    std::map<std::string, double> credit_;
    std::uint64_t jobs_ = 0;
    std::uint64_t starts_ = 0;
    cost plan_;
    cost decode_;
    cost apply_;
    cost reply_;
    cost record_;
};

} // namespace

/// Arguments: seconds of virtual time, load as a multiple of the usual one, and
/// the fleet sizes.
int main(int count, char** arguments)
{
    std::vector<std::string> const given(arguments + 1, arguments + count);
    int const seconds = given.empty() ? 10 : std::atoi(given[0].c_str());
    double const load = given.size() < 2 ? 1.0 : std::atof(given[1].c_str());
    std::vector<std::size_t> sizes{60, 240, 1000};
    if (given.size() > 2)
        sizes.clear();
    for (std::size_t at = 2; at < given.size(); ++at)
        sizes.push_back(static_cast<std::size_t>(std::stoul(given[at])));
    fmt::print(
        "microseconds and bytes per start\n{:>7} {:>8} {:>8} {:>8} {:>8} {:>8} "
        "{:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
        "workers", "starts", "waiting", "plan", "decode", "apply", "reply",
        "record", "report B", "reply B", "record B", "reports");
    for (auto const workers : sizes) {
        simulation fleet(workers, load);
        fleet.run(std::chrono::seconds(seconds));
        fleet.print(workers);
    }
    return 0;
}
