/// spar-report: collects the service-level counters of several processes and
/// prints how fast each row burns its error budget. It is stateless.
#include "common/program.hpp"
#include "operators/burn_json.hpp"
#include "operators/burn_text.hpp"
#include "operators/command_result.hpp"
#include "operators/entry_client.hpp"

#include <boost/program_options.hpp>
#include <cstdint>
#include <fmt/core.h>
#include <sstream>

using namespace sycamorespar;

namespace {

namespace po = boost::program_options;

constexpr char const* usage =
    "Usage: spar-report --entry IP:PORT [--entry IP:PORT ...]\n"
    "Prints the error budget burn of all rows over the given processes.\n"
    "Exit codes: 0 all answered; 2 wrong command line; 3 some did not answer.\n"
    "\n";

/// The parsed command line.
struct report_arguments
{
    std::vector<std::string> entries;
    std::chrono::milliseconds timeout{0};
    std::string (*render)(burn_page const& page) = burn_as_text;
};

po::options_description known_options()
{
    po::options_description known("Options");
    auto add = known.add_options();
    add("entry", po::value<std::vector<std::string>>()->value_name("IP:PORT"),
        "a process to query; give all entries");
    add("timeout-ms",
        po::value<std::uint32_t>()->default_value(5000)->value_name("MS"),
        "how long to wait for each answer");
    add("json", "print JSON");
    add("html", "print one HTML page");
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    return known;
}

early_exit usage_error(std::string const& reason)
{
    return {exit_usage, "spar-report: " + reason + "; see --help"};
}

std::variant<report_arguments, early_exit>
read_arguments(po::variables_map const& given)
{
    report_arguments arguments;
    if (given.count("entry") == 0)
        return usage_error("--entry IP:PORT is missing");
    arguments.entries = given["entry"].as<std::vector<std::string>>();
    for (auto const& text : arguments.entries) {
        auto const entry = parse_entry_endpoint(text);
        if (!ok(entry))
            return usage_error(failure(entry).reason);
    }
    arguments.timeout =
        std::chrono::milliseconds{given["timeout-ms"].as<std::uint32_t>()};
    if (given.count("json") != 0)
        arguments.render = burn_as_json;
    if (given.count("html") != 0)
        arguments.render = burn_as_html;
    return arguments;
}

std::variant<report_arguments, early_exit>
parse_arguments(int argc, char const* const* argv)
{
    auto const known = known_options();
    po::positional_options_description const no_arguments;
    po::variables_map given;
    try {
        po::store(
            po::command_line_parser(argc, argv)
                .options(known)
                .positional(no_arguments)
                .run(),
            given);
    } catch (po::error const& problem) {
        return usage_error(problem.what());
    }
    if (given.count("help") != 0) {
        std::ostringstream text;
        text << usage << known;
        return early_exit{exit_success, text.str()};
    }
    if (given.count("version") != 0)
        return early_exit{exit_success, version_text("spar-report")};
    return read_arguments(given);
}

result<burn_snapshot>
fetch_burn(endpoint const& entry, std::chrono::milliseconds timeout)
{
    entry_client const client({entry}, timeout);
    auto const answer = client.call({"GET", "/burn", {}, ""});
    if (!ok(answer))
        return failure(answer);
    if (!succeeded(answer))
        return error{
            "burn.read", "", "status " + std::to_string(value(answer).status)};
    return decode_burn(value(answer).body);
}

burn_page collect(report_arguments const& arguments)
{
    std::vector<burn_snapshot> snapshots;
    burn_page page;
    for (auto const& text : arguments.entries) {
        auto const entry = parse_entry_endpoint(text);
        auto const fetched = fetch_burn(value(entry), arguments.timeout);
        if (ok(fetched)) {
            snapshots.push_back(value(fetched));
            continue;
        }
        auto problem = failure(fetched);
        problem.peer = text;
        page.missing.push_back(problem);
    }
    page.answered = snapshots.size();
    page.report = evaluate_burn(snapshots);
    return page;
}

} // namespace

int main(int argc, char** argv)
{
    auto const parsed = parse_arguments(argc, argv);
    if (auto const* ending = std::get_if<early_exit>(&parsed))
        return print_early_exit(*ending);
    auto const& arguments = std::get<report_arguments>(parsed);
    auto const page = collect(arguments);
    fmt::print(stdout, "{}", arguments.render(page));
    auto const code =
        page.missing.empty() ? command_exit::success : command_exit::not_run;
    return static_cast<int>(code);
}
