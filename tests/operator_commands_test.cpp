/// Tests of the operators' commands with a fake entry.
#include "example_table.hpp"
#include "libsycamorespar/table_policy.hpp"
#include "operators/job_commands.hpp"
#include "operators/table_commands.hpp"
#include "operators/table_json.hpp"
#include "operators/text_grid.hpp"

#include <catch2/catch.hpp>
#include <optional>

using namespace sycamorespar;
using Catch::Contains;

namespace {

/// Answers like an entry, or with a given error.
struct fake_entry
{
    std::optional<table> stored = example_table();
    std::optional<result<http_response>> on_change;
    std::vector<http_request> requests;

    result<http_response> take(http_request const& request)
    {
        requests.push_back(request);
        if (request.method != "GET" && on_change)
            return *on_change;
        if (request.target == "/table")
            return show();
        if (request.target == "/table/edit")
            return edit(request.body);
        return http_response{404, {}, "no such page"};
    }

    http_response show() const
    {
        if (!stored)
            return {
                503,
                {},
                R"({"step":"table.read","peer":"a","reason":"none known"})"};
        return {200, {}, value(encode_table(*stored))};
    }

    http_response edit(std::string const& body)
    {
        auto next =
            apply_edit(stored.value_or(table{}), value(decode_edit(body)));
        if (auto const* refusal = std::get_if<edit_refusal>(&next))
            return {409, {}, encode_refusal(*refusal)};
        stored = std::get<table>(next);
        return {
            200,
            {},
            "{\"revision\":" + std::to_string(stored->revision.value) + "}"};
    }

    entry_call call()
    {
        return [this](http_request const& request) {
            return take(request);
        };
    }

    std::string cell(std::string const& row, std::string const& column) const
    {
        return cell_text(*stored, {row_id{row}, column});
    }
};

cell_change const heavier{{row_id{"checks"}, "weight"}, "50"};

edit_options at_base(std::uint64_t base)
{
    edit_options options;
    options.base = table_revision{base};
    return options;
}

} // namespace

TEST_CASE("an edit shows what it changes")
{
    fake_entry entry;
    auto const ended = edit_cell(entry.call(), heavier, {});
    CHECK(ended.code == command_exit::success);
    CHECK(ended.output == "checks weight: \"10\" -> \"50\"\nrevision 2\n");
    CHECK(entry.cell("checks", "weight") == "50");
}

TEST_CASE("a dry run sends requests but changes nothing")
{
    fake_entry entry;
    edit_options options;
    options.dry_run = true;
    auto const ended = edit_cell(entry.call(), heavier, options);
    CHECK(ended.code == command_exit::success);
    CHECK_THAT(ended.output, Contains("would be revision 2"));
    CHECK(entry.stored == example_table());
    auto const invalid =
        edit_cell(entry.call(), {{row_id{"checks"}, "weight"}, "x"}, options);
    CHECK(invalid.code == command_exit::refused);
    CHECK_THAT(invalid.error_text, Contains("checks weight: must be"));
}

TEST_CASE("a conflict shows both values, found locally or by the entry")
{
    fake_entry entry;
    edit_cell(entry.call(), heavier, {});
    cell_change const lighter{heavier.at, "5"};
    auto const ended = edit_cell(entry.call(), lighter, at_base(1));
    CHECK(ended.code == command_exit::refused);
    CHECK_THAT(ended.error_text, Contains("\"50\"") && Contains("\"5\""));
    edit_refusal refusal;
    refusal.conflicts.push_back({lighter.at, "51", "5"});
    entry.on_change = http_response{409, {}, encode_refusal(refusal)};
    auto const raced = edit_cell(entry.call(), lighter, {});
    CHECK(raced.code == command_exit::refused);
    CHECK_THAT(raced.error_text, Contains("\"51\"") && Contains("\"5\""));
}

TEST_CASE("exit codes state whether the command took effect")
{
    auto const code_after = [](result<http_response> answer) {
        fake_entry entry;
        entry.on_change = std::move(answer);
        return edit_cell(entry.call(), heavier, {}).code;
    };
    auto const body = R"({"step": "store.commit", "reason": "no answer"})";
    CHECK(code_after(http_response{400, {}, body}) == command_exit::refused);
    CHECK(code_after(http_response{503, {}, body}) == command_exit::not_run);
    CHECK(code_after(http_response{504, {}, body}) == command_exit::unknown);
    CHECK(code_after(http_response{500, {}, "?"}) == command_exit::unknown);
    CHECK(code_after(http_response{200, {}, "?"}) == command_exit::unknown);
    CHECK(code_after(error{"a", "b", "c"}) == command_exit::not_run);
    CHECK(
        code_after(error{"a", "b", "c", outcome::unknown}) ==
        command_exit::unknown);
}

TEST_CASE("an export edited in a spreadsheet is imported")
{
    fake_entry entry;
    auto csv = export_table(entry.call()).output;
    csv.replace(csv.find("night,2"), 7, "night,3");
    auto const ended = import_table(entry.call(), csv, {});
    CHECK(ended.code == command_exit::success);
    CHECK(entry.cell("runs", "weight") == "3");
    CHECK(entry.cell("runs", "north") == "out");
}

TEST_CASE("an import does not undo what others changed meanwhile")
{
    fake_entry entry;
    auto const csv = export_table(entry.call()).output;
    edit_cell(entry.call(), heavier, {});
    auto const ended = import_table(entry.call(), csv, {});
    CHECK(ended.code == command_exit::refused);
    CHECK(entry.cell("checks", "weight") == "50");
}

TEST_CASE("the first table is imported, and never replaces another")
{
    std::string const csv = "row,kind,team,domain:north\n"
                            "*,,,in\nchecks,service,desk,in\n";
    fake_entry entry;
    CHECK(import_table(entry.call(), csv, {}).code == command_exit::refused);
    entry.stored.reset();
    CHECK(import_table(entry.call(), csv, {}).code == command_exit::success);
    CHECK(entry.stored->revision == table_revision{1});
    // An entry that has not loaded the table yet rejects it too.
    fake_entry late;
    auto const blind = [&](http_request const& request) {
        if (request.method == "GET")
            return result<http_response>(http_response{503, {}, "{}"});
        return late.take(request);
    };
    CHECK(import_table(blind, csv, {}).code == command_exit::refused);
    CHECK(late.stored == example_table());
}

TEST_CASE("a domain is taken out of service and brought back")
{
    fake_entry entry;
    failure_domain_id const south{"south"};
    CHECK(
        set_domain(entry.call(), south, false, {}).code ==
        command_exit::success);
    CHECK(entry.cell("*", "south") == "out");
    CHECK(
        set_domain(entry.call(), south, true, {}).code ==
        command_exit::success);
    CHECK(entry.cell("*", "south") == "in");
    auto const again = set_domain(entry.call(), south, true, {});
    CHECK(again.code == command_exit::success);
    CHECK_THAT(again.output, Contains("nothing to change at revision 3"));
    CHECK(
        set_domain(entry.call(), failure_domain_id{"nowhere"}, false, {})
            .code == command_exit::refused);
}

TEST_CASE("a row is described with its values in force")
{
    fake_entry entry;
    set_domain(entry.call(), failure_domain_id{"south"}, false, {});
    auto const text = explain_row_command(entry.call(), row_id{"runs"}).output;
    CHECK_THAT(text, Contains("revision 2"));
    CHECK_THAT(text, Contains("weight 2 gives it 17%"));
    CHECK_THAT(text, Contains("It is not repeatable"));
    CHECK_THAT(text, Contains("at most 12.5 cores"));
    CHECK_THAT(text, Contains("In north it does not start."));
    CHECK_THAT(text, Contains("In south nothing starts"));
    CHECK(
        explain_row_command(entry.call(), row_id{"none"}).code ==
        command_exit::refused);
}

TEST_CASE("the status counts the processes that are behind")
{
    auto const call = [](http_request const&) -> result<http_response> {
        return http_response{
            200,
            {},
            R"({"processes":[
                {"name":"a","kind":"entry","revision":3,"age_ms":0},
                {"name":"b","kind":"agent","revision":2,"age_ms":40}]})"};
    };
    CHECK_THAT(
        show_table_status(call, output_format::text).output,
        Contains("newest revision 3; 1 of 2 processes are behind"));
}

TEST_CASE("a job's response is printed, and a lost one allows a retry")
{
    job_request job;
    job.id = job_id{"j-1"};
    job.row = row_id{"runs"};
    auto const call = [](http_request const& request) -> result<http_response> {
        if (request.method == "POST")
            return error{"http.call", "e", "cut", outcome::unknown};
        return http_response{
            200,
            {},
            R"({"job":"j-1","row":"runs","state":"running","attempt":2,
                "worker":"w","history":[
                {"state":"running","at_ms":0,"reason":"started"}]})"};
    };
    auto const submitted = submit_job(call, job, output_format::text);
    CHECK(submitted.code == command_exit::unknown);
    CHECK_THAT(submitted.error_text, Contains("--job j-1"));
    auto const shown = show_job(call, job.id, output_format::text);
    CHECK_THAT(shown.output, Contains("attempt 2 on worker w"));
    CHECK_THAT(shown.output, Contains("1970-01-01 00:00:00  running  started"));
    CHECK(
        cancel_job(call, job_id{"a/../b"}, output_format::text).code ==
        command_exit::refused);
}

TEST_CASE("columns are aligned by characters")
{
    CHECK(
        render_grid({{"a", "b"}, {"\xC8\x9B\xC4\x83", "c"}}) ==
        "a   b\n\xC8\x9B\xC4\x83  c\n");
}
