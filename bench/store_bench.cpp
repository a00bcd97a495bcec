/// Measures the store client's calls: calls per second, latency, the client's
/// own processor time and the size of the written values. Expects a local store
/// substitute that listens on the loopback address at the given port.
#include "common/event_loop.hpp"
#include "platform/kv_client.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/core.h>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <vector>

using namespace sycamorespar;
using namespace sycamorespar::platform;

namespace {

using microseconds = std::chrono::duration<double, std::micro>;

constexpr std::size_t record_bytes = 200;
constexpr int reads = 20'000;
constexpr int parallel_reads = 8;

/// Describes one row of the output.
struct measurement
{
    std::string what;
    int calls = 0;
    std::size_t records = 1;
    std::size_t value_bytes = 0;
};

microseconds processor_time()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    auto const to_span = [](timeval const& from) {
        return std::chrono::seconds(from.tv_sec) +
               std::chrono::microseconds(from.tv_usec);
    };
    return to_span(used.ru_utime) + to_span(used.ru_stime);
}

[[noreturn]] void fail(error const& what)
{
    fmt::print(stderr, "{}: {}\n", what.step, what.reason);
    std::exit(EXIT_FAILURE);
}

/// Repeats a call with a fixed number of calls in flight and prints rate,
/// latency and processor time.
class call_benchmark
{
public:
    using call = std::function<void(std::function<void()> on_done)>;

    explicit call_benchmark(event_loop& loop) : loop_(loop) {}

    void run(measurement const& about, int parallel, call one_call)
    {
        call_ = std::move(one_call);
        left_ = about.calls;
        open_ = parallel;
        latencies_.clear();
        auto const processor = processor_time();
        auto const begin = event_loop::now();
        for (int count = 0; count < parallel; ++count)
            next();
        loop_.run();
        print(about, event_loop::now() - begin, processor_time() - processor);
    }

private:
    void next()
    {
        if (left_ == 0) {
            open_ -= 1;
            if (open_ == 0)
                loop_.stop();
            return;
        }
        left_ -= 1;
        auto const begin = event_loop::now();
        call_([this, begin] {
            latencies_.push_back(event_loop::now() - begin);
            next();
        });
    }

    void print(
        measurement const& about, microseconds elapsed, microseconds processor)
    {
        std::sort(latencies_.begin(), latencies_.end());
        auto const quantile = [this](std::size_t percent) {
            constexpr std::size_t whole = 100;
            auto const index = (latencies_.size() - 1) * percent / whole;
            return microseconds(latencies_[index]).count();
        };
        constexpr double micros_per_second = 1e6;
        fmt::print(
            "{:<28} {:>6} calls {:>9.0f} calls/s {:>9.0f} records/s "
            "p50 {:>8.0f} us p99 {:>8.0f} us cpu {:>8.1f} us/call "
            "{:>8} bytes of value\n",
            about.what, about.calls,
            about.calls * micros_per_second / elapsed.count(),
            about.calls * static_cast<double>(about.records) *
                micros_per_second / elapsed.count(),
            quantile(50), quantile(99), processor.count() / about.calls,
            about.value_bytes);
    }

    event_loop& loop_;
    call call_;
    int left_ = 0;
    int open_ = 0;
    std::vector<duration> latencies_;
};

// One writer with one write in flight. Each write expects the revision of the
// previous one, as in the process that holds a shard.
void measure_group_commits(call_benchmark& run, kv_store const& store)
{
    struct step
    {
        std::size_t records;
        int calls;
    };
    for (auto const [records, calls] :
         {step{1, 5000}, step{10, 5000}, step{100, 2000}, step{1000, 500}}) {
        std::string const key = "shard/" + std::to_string(records);
        std::string const snapshot(records * record_bytes, '\x81');
        kv_write write;
        write.expected = {{key, 0}};
        write.puts = {{key, snapshot, {}}};
        measurement const about{
            fmt::format("commit of {} records", records), calls, records,
            snapshot.size()};
        run.run(about, 1, [&store, &write](auto on_done) {
            store.write(
                write, [&write, on_done](result<kv_write_result> const& got) {
                    if (!ok(got))
                        fail(failure(got));
                    write.expected[0].revision = value(got).revision;
                    on_done();
                });
        });
    }
}

void measure_reads(call_benchmark& run, kv_store const& store)
{
    for (int const parallel : {1, parallel_reads}) {
        measurement const about{
            fmt::format("get of 200 bytes, {} open", parallel), reads, 1, 0};
        run.run(about, parallel, [&store](auto on_done) {
            store.get("shard/1", [on_done](auto const& got) {
                if (!ok(got))
                    fail(failure(got));
                on_done();
            });
        });
    }
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2) {
        fmt::print(stderr, "usage: store_bench PORT\n");
        return EXIT_FAILURE;
    }
    event_loop loop;
    endpoint const where{
        "127.0.0.1", static_cast<std::uint16_t>(std::atoi(arguments[1]))};
    kv_client client(loop, {where});
    auto const store = client.store();
    call_benchmark run(loop);
    measure_group_commits(run, store);
    measure_reads(run, store);
    return EXIT_SUCCESS;
}
