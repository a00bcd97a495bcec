/// Compares the batch policy with baselines and with an oracle, in virtual
/// time. Prints one Markdown table per deployment and scenario.
#include "bench/policy_driver.hpp"

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <fmt/core.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <thread>

using namespace sycamorespar;
using namespace sycamorespar::bench;

namespace {

namespace options = boost::program_options;

std::vector<scenario> all_scenarios()
{
    std::vector<scenario> all(10);
    all[0].name = "steady";
    all[1].name = "load-shift";
    all[1].load_shift = true;
    all[2].name = "noisy-wave";
    all[2].noisy_wave = true;
    all[3].name = "domain-out";
    all[3].domain_out = true;
    all[4].name = "bad-worker";
    all[4].bad_worker = true;
    all[5].name = "never-fit";
    all[5].never_fit = true;
    all[6].name = "declarations-off";
    all[6].declarations_off = true;
    all[7].name = "cancellations";
    all[7].cancellations = true;
    all[8].name = "store-slow";
    all[8].store_slow = true;
    all[9].name = "domain-out+noisy-wave";
    all[9].domain_out = true;
    all[9].noisy_wave = true;
    return all;
}

std::vector<policy_kind> all_policies()
{
    using place = placement_kind;
    using act = control_kind;
    return {
        {"random", place::random, act::none, false, false, false, false},
        {"least-loaded", place::least_loaded, act::none, false, false, false,
         false},
        {"first-fit", place::first_fit, act::none, false, false, false, false},
        {"threshold", place::least_loaded, act::threshold, false, false, false,
         false},
        {"ours", place::ours, act::ours, true, true, true, true},
        {"ours-no-learning", place::ours, act::ours, false, false, true, true},
        {"ours-no-throttle", place::ours, act::evict_only, true, true, true,
         true},
        {"oracle", place::oracle, act::oracle, true, false, false, true}};
}

fleet_shape read_shape(nlohmann::json const& from)
{
    return {
        from.at("name"),
        from.at("domains"),
        from.at("workers"),
        from.at("workers_in_rack"),
        {from.at("millicores"), from.at("memory_mib"), 0}};
}

/// Lowest, median and highest value over the seeds.
struct spread
{
    double low = 0.0;
    double median = 0.0;
    double high = 0.0;
};

spread spread_of(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values.front(), values[values.size() / 2], values.back()};
}

/// Reads one metric from the results of a run.
using run_metric = std::function<double(policy_results const&)>;

spread
spread_over(std::vector<policy_results> const& runs, run_metric const& read)
{
    std::vector<double> values;
    values.reserve(runs.size());
    for (auto const& run : runs)
        values.push_back(read(run));
    return spread_of(std::move(values));
}

/// Latency quantile relative to the same requests without batch tasks.
run_metric slowdown_at(double probability)
{
    return [=](policy_results const& run) {
        return run.fleet.latency.quantile(probability) /
               run.fleet.latency_alone.quantile(probability);
    };
}

void print_row(
    std::string const& name, std::vector<policy_results> const& runs,
    std::vector<policy_results> const& oracle)
{
    auto const work = [](policy_results const& run) {
        return run.fleet.useful_core_seconds;
    };
    auto const drain = [](policy_results const& run) {
        return run.fleet.drain_core_seconds / 1000;
    };
    std::vector<double> parts;
    for (std::size_t i = 0; i < runs.size(); ++i)
        parts.push_back(work(runs[i]) / work(oracle[i]));
    auto const part = spread_of(parts);
    auto const p99 = spread_over(runs, slowdown_at(0.99));
    auto const median = [&](run_metric const& read) {
        return spread_over(runs, read).median;
    };
    fmt::print(
        "| {} | {:.2f} | {:.2f} ({:.2f}-{:.2f}) | {:.2f} | {:.2f} "
        "({:.2f}-{:.2f}) | {:.0f} | {:.1f} | {:.0f} | {:.0f} | {:.1f} |\n",
        name, median(slowdown_at(0.5)), p99.median, p99.low, p99.high,
        median(slowdown_at(0.999)), part.median, part.low, part.high,
        median([](auto const& run) { return double(run.fleet.evictions); }),
        median(
            [](auto const& run) { return run.fleet.lost_core_seconds / 1000; }),
        median([](auto const& run) {
            return double(run.fleet.failures + run.fleet.out_of_memory);
        }),
        median([](auto const& run) { return double(run.fleet.finished); }),
        median(drain));
}

void print_header(std::string const& shape, std::string const& scenario)
{
    fmt::print("\n### {}, {}\n\n", shape, scenario);
    fmt::print("| policy | p50 | p99 (spread) | p99.9 | work/oracle (spread) | "
               "evictions | lost, k core-s | failed tasks | finished | "
               "drain work, k core-s |\n");
    fmt::print("|--|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
}

struct bench_options
{
    std::string file = std::string(BENCH_DATA_DIR) + "/batch_policy.json";
    std::string shape;
    std::string scenario;
    std::string policy;
    unsigned seeds = 10;
    unsigned threads = 4;
};

/// Runs the policy once per seed on several threads.
std::vector<policy_results> run_seeds(
    nlohmann::json const& settings, fleet_shape const& shape,
    scenario const& conditions, policy_kind const& policy,
    bench_options const& chosen)
{
    std::vector<policy_results> runs(chosen.seeds);
    std::atomic<unsigned> next{0};
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < chosen.threads; ++i) {
        threads.emplace_back([&] {
            for (auto seed = next++; seed < chosen.seeds; seed = next++)
                runs[seed] = run_policy(
                    settings, shape, conditions, policy, 1000 * (seed + 1));
        });
    }
    threads.clear();
    return runs;
}

void run_scenario(
    nlohmann::json const& settings, fleet_shape const& shape,
    scenario const& conditions, bench_options const& chosen)
{
    print_header(shape.name, conditions.name);
    auto const policies = all_policies();
    auto const oracle =
        run_seeds(settings, shape, conditions, policies.back(), chosen);
    for (auto const& policy : policies) {
        if (!chosen.policy.empty() && policy.name != chosen.policy)
            continue;
        auto const runs =
            policy.name == "oracle"
                ? oracle
                : run_seeds(settings, shape, conditions, policy, chosen);
        print_row(policy.name, runs, oracle);
    }
}

bench_options read_options(int argc, char** argv)
{
    bench_options chosen;
    options::options_description known("options");
    known.add_options()("help", "show this")(
        "settings", options::value(&chosen.file), "settings file")(
        "shape", options::value(&chosen.shape), "one shape only")(
        "scenario", options::value(&chosen.scenario), "one scenario only")(
        "policy", options::value(&chosen.policy), "one policy only")(
        "seeds", options::value(&chosen.seeds), "seeds for each row")(
        "threads", options::value(&chosen.threads), "runs at the same time");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, known), given);
    options::notify(given);
    if (given.contains("help")) {
        std::cout << known;
        std::exit(0);
    }
    return chosen;
}

} // namespace

int main(int argc, char** argv)
{
    auto const chosen = read_options(argc, argv);
    std::ifstream file(chosen.file);
    auto const settings = nlohmann::json::parse(file);
    for (auto const& read : settings.at("shapes")) {
        auto const shape = read_shape(read);
        if (!chosen.shape.empty() && shape.name != chosen.shape)
            continue;
        for (auto const& conditions : all_scenarios()) {
            if (!chosen.scenario.empty() && conditions.name != chosen.scenario)
                continue;
            run_scenario(settings, shape, conditions, chosen);
        }
    }
}
