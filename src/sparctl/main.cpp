/// sparctl: the command line client for operators and submitters. It is
/// stateless: it calls an entry and prints the response.
#include "common/settings.hpp"
#include "operators/entry_client.hpp"
#include "operators/job_commands.hpp"
#include "operators/table_commands.hpp"
#include "operators/table_json.hpp"
#include "sparctl/arguments.hpp"

#include <array>
#include <cstdio>
#include <fmt/core.h>

using namespace sycamorespar;

namespace {

using words = std::vector<std::string>;

command_result import_file(
    entry_call const& call, std::string const& path,
    edit_options const& options)
{
    auto const text = read_file(path, max_table_bytes);
    if (!ok(text))
        return refused_command(path + ": " + failure(text).reason);
    return import_table(call, value(text), options);
}

/// A command: its leading words, the number of arguments, and its function.
struct command
{
    char const* group;
    char const* verb;
    std::size_t arguments;
    command_result (*run)(
        entry_call const& call, sparctl_arguments const& given,
        words const& rest);
};

constexpr std::array commands{
    command{
        "table", "show", 0,
        [](auto const& call, auto const& given, auto const&) {
            return show_table(call, given.edit.format);
        }},
    command{
        "table", "export", 0,
        [](auto const& call, auto const&, auto const&) {
            return export_table(call);
        }},
    command{
        "table", "import", 1,
        [](auto const& call, auto const& given, auto const& rest) {
            return import_file(call, rest[0], given.edit);
        }},
    command{
        "table", "edit", 3,
        [](auto const& call, auto const& given, auto const& rest) {
            cell_change const change{{row_id{rest[0]}, rest[1]}, rest[2]};
            return edit_cell(call, change, given.edit);
        }},
    command{
        "table", "out", 1,
        [](auto const& call, auto const& given, auto const& rest) {
            failure_domain_id const domain{rest[0]};
            return set_domain(call, domain, false, given.edit);
        }},
    command{
        "table", "in", 1,
        [](auto const& call, auto const& given, auto const& rest) {
            failure_domain_id const domain{rest[0]};
            return set_domain(call, domain, true, given.edit);
        }},
    command{
        "table", "status", 0,
        [](auto const& call, auto const& given, auto const&) {
            return show_table_status(call, given.edit.format);
        }},
    command{
        "table", "explain", 1,
        [](auto const& call, auto const&, auto const& rest) {
            return explain_row_command(call, row_id{rest[0]});
        }},
    command{
        "submit", "", 1,
        [](auto const& call, auto const& given, auto const& rest) {
            job_request job = given.job;
            job.row = row_id{rest[0]};
            return submit_job(call, job, given.edit.format);
        }},
    command{
        "job", "show", 1,
        [](auto const& call, auto const& given, auto const& rest) {
            return show_job(call, job_id{rest[0]}, given.edit.format);
        }},
    command{
        "job", "cancel", 1,
        [](auto const& call, auto const& given, auto const& rest) {
            return cancel_job(call, job_id{rest[0]}, given.edit.format);
        }},
    command{
        "job", "resolve", 1,
        [](auto const& call, auto const& given, auto const& rest) {
            return resolve_job(
                call, job_id{rest[0]}, given.run_again, given.edit.format);
        }},
    command{
        "job", "list", 0,
        [](auto const& call, auto const& given, auto const&) {
            return list_jobs(call, given.edit.format);
        }},
};

bool matches(command const& known, words const& given)
{
    std::size_t const leading = *known.verb == '\0' ? 1 : 2;
    if (given.size() != leading + known.arguments || given[0] != known.group)
        return false;
    return leading == 1 || given[1] == known.verb;
}

command_result run(sparctl_arguments const& given)
{
    entry_client const client(given.entries, given.timeout);
    entry_call const call = [&](http_request const& request) {
        return client.call(request);
    };
    for (auto const& known : commands) {
        if (!matches(known, given.words))
            continue;
        auto const count = static_cast<std::ptrdiff_t>(known.arguments);
        words const rest(given.words.end() - count, given.words.end());
        return known.run(call, given, rest);
    }
    return {command_exit::usage, "", "no such command; see --help"};
}

} // namespace

int main(int argc, char** argv)
{
    auto const parsed = parse_sparctl_arguments(argc, argv);
    if (auto const* ending = std::get_if<early_exit>(&parsed))
        return print_early_exit(*ending);
    auto const finished = run(std::get<sparctl_arguments>(parsed));
    fmt::print(stdout, "{}", finished.output);
    if (!finished.error_text.empty())
        fmt::print(stderr, "sparctl: {}\n", finished.error_text);
    return static_cast<int>(finished.code);
}
