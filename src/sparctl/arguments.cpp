/// The command line of sparctl, with Boost.Program_options.
#include "sparctl/arguments.hpp"

#include "common/random_seed.hpp"
#include "operators/entry_client.hpp"

#include <boost/program_options.hpp>
#include <cstdint>
#include <fmt/format.h>
#include <sstream>

namespace sycamorespar {

namespace {

namespace po = boost::program_options;

constexpr char const* usage = R"(Usage: sparctl --entry IP:PORT COMMAND

  table show                   print the table
  table export                 print the table as CSV
  table import FILE            replace the table with a CSV file
  table edit ROW COLUMN TEXT   change one cell
  table out DOMAIN             take a failure domain out of service
  table in DOMAIN              bring a failure domain back
  table status                 print each process's table revision
  table explain ROW            describe the row's settings
  submit ROW                   submit a batch job
  job show ID                  print a job with its history
  job cancel ID                cancel a job
  job resolve ID               give up a parked job, or --run-again
  job list                     print the jobs that the entry holds

Exit codes: 0 done; 1 refused, nothing changed; 2 wrong command line;
3 not run, safe to retry; 4 outcome unknown, check before retrying.

)";

po::options_description visible_options()
{
    po::options_description visible("Options");
    auto add = visible.add_options();
    add("entry", po::value<std::vector<std::string>>()->value_name("IP:PORT"),
        "the entry to call; if repeated, entries are tried in order");
    add("timeout-ms",
        po::value<std::uint32_t>()->default_value(10'000)->value_name("MS"),
        "how long to wait for an answer");
    add("json", "print JSON");
    add("dry-run", "show what would change, change nothing");
    add("base", po::value<std::uint64_t>()->value_name("REV"),
        "the table revision that the edit is based on");
    add("job", po::value<std::string>()->value_name("ID"),
        "submit: the job's id; the same id is never run twice");
    add("millicores",
        po::value<std::int64_t>()->default_value(1000)->value_name("N"),
        "submit: thousandths of a core");
    add("memory-mib",
        po::value<std::int64_t>()->default_value(1024)->value_name("N"),
        "submit: memory in MiB");
    add("accelerators",
        po::value<std::int64_t>()->default_value(0)->value_name("N"),
        "submit: accelerators");
    add("run-ms",
        po::value<std::int64_t>()->default_value(60'000)->value_name("MS"),
        "submit: run time; -1 runs until it is stopped");
    add("run-again", "resolve: run the job again");
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    return visible;
}

early_exit usage_error(std::string const& reason)
{
    return {exit_usage, "sparctl: " + reason + "; see --help"};
}

job_request read_job(po::variables_map const& given)
{
    job_request job;
    job.id = given.count("job") != 0
                 ? job_id{given["job"].as<std::string>()}
                 : job_id{fmt::format("job-{:016x}", random_seed())};
    job.demand.millicores = given["millicores"].as<std::int64_t>();
    job.demand.memory_mib = given["memory-mib"].as<std::int64_t>();
    job.demand.accelerators = given["accelerators"].as<std::int64_t>();
    job.run = std::chrono::milliseconds{given["run-ms"].as<std::int64_t>()};
    return job;
}

std::variant<sparctl_arguments, early_exit>
read_arguments(po::variables_map const& given)
{
    sparctl_arguments arguments;
    if (given.count("words") == 0)
        return usage_error("no command");
    if (given.count("entry") == 0)
        return usage_error("--entry IP:PORT is missing");
    arguments.words = given["words"].as<std::vector<std::string>>();
    for (auto const& text : given["entry"].as<std::vector<std::string>>()) {
        auto const entry = parse_entry_endpoint(text);
        if (!ok(entry))
            return usage_error(failure(entry).reason);
        arguments.entries.push_back(value(entry));
    }
    arguments.timeout =
        std::chrono::milliseconds{given["timeout-ms"].as<std::uint32_t>()};
    if (given.count("json") != 0)
        arguments.edit.format = output_format::json;
    arguments.edit.dry_run = given.count("dry-run") != 0;
    if (given.count("base") != 0)
        arguments.edit.base = table_revision{given["base"].as<std::uint64_t>()};
    arguments.job = read_job(given);
    arguments.run_again = given.count("run-again") != 0;
    return arguments;
}

} // namespace

std::variant<sparctl_arguments, early_exit>
parse_sparctl_arguments(int argc, char const* const* argv)
{
    auto const visible = visible_options();
    po::options_description known;
    known.add(visible).add_options()(
        "words", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("words", -1);
    po::variables_map given;
    try {
        po::store(
            po::command_line_parser(argc, argv)
                .options(known)
                .positional(positions)
                .run(),
            given);
    } catch (po::error const& problem) {
        return usage_error(problem.what());
    }
    if (given.count("help") != 0) {
        std::ostringstream text;
        text << usage << visible;
        return early_exit{exit_success, text.str()};
    }
    if (given.count("version") != 0)
        return early_exit{exit_success, version_text("sparctl")};
    return read_arguments(given);
}

} // namespace sycamorespar
