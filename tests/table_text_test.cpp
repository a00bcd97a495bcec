/// Tests of the table's JSON and CSV encodings.
#include "common/settings.hpp"
#include "example_table.hpp"
#include "libsycamorespar/table_policy.hpp"
#include "operators/table_json.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sycamorespar;

namespace {

/// Cell texts with characters that CSV and JSON must escape.
rc::Gen<std::string> note_text()
{
    return rc::gen::container<std::string>(
        rc::gen::element('a', ',', '"', '\'', ' ', '\\', ';', '@'));
}

table with_note(std::string const& text)
{
    table noted = example_table();
    noted.columns.push_back({"note", column_kind::attribute});
    if (!text.empty())
        noted.cells[{row_id{"runs"}, "note"}] = {text, noted.revision};
    return noted;
}

std::string edit_error(std::string const& text)
{
    auto const decoded = decode_edit(text);
    return ok(decoded) ? "" : failure(decoded).reason;
}

} // namespace

TEST_CASE("a table is unchanged by a JSON or CSV round trip")
{
    CHECK(rc::check("round trip", [] {
        auto const text = *note_text();
        auto const before = with_note(text.substr(0, max_cell_bytes));
        auto const encoded = value(encode_table(before));
        RC_ASSERT(value(decode_table(encoded)) == before);
        RC_ASSERT(value(read_table_csv(write_table_csv(before))) == before);
    }));
}

TEST_CASE("an edit and a refusal are unchanged by a JSON round trip")
{
    table_edit edit;
    edit.base = table_revision{7};
    edit.add_rows.emplace_back("new");
    edit.remove_rows.emplace_back("old");
    edit.add_columns.push_back({"coast", column_kind::failure_domain});
    edit.remove_columns.emplace_back("north");
    edit.changes.push_back({{row_id{"new"}, "kind"}, "batch"});
    CHECK(value(decode_edit(encode_edit(edit))) == edit);

    edit_refusal refusal;
    refusal.conflicts.push_back({{row_id{"a"}, "weight"}, "1", "2"});
    refusal.faults.push_back({{row_id{"b"}, "kind"}, "must be a \"kind\""});
    auto const back = value(decode_refusal(encode_refusal(refusal)));
    CHECK(back.conflicts == refusal.conflicts);
    CHECK(back.faults == refusal.faults);
}

TEST_CASE("invalid edits are rejected with the key's path")
{
    using Catch::StartsWith;
    CHECK(edit_error(R"({"base": 1, "rows": []})") == "rows: unknown key");
    CHECK_THAT(
        edit_error(R"({"base": 1, "changes": [{"row": "a", "column": 1}]})"),
        StartsWith("changes[0]"));
    CHECK_THAT(edit_error(R"({"base": -1})"), StartsWith("base: "));
    CHECK_THAT(edit_error("[]"), StartsWith("(top level): "));
    CHECK_FALSE(edit_error(std::string(max_edit_bytes + 1, ' ')).empty());
    CHECK_FALSE(edit_error("{\"base\": 1, \"add_rows\": [[[[]]]]}").empty());
}

TEST_CASE("invalid tables are rejected")
{
    auto const good = value(encode_table(example_table()));
    CHECK(ok(decode_table(good)));
    CHECK_FALSE(ok(decode_table(good.substr(0, good.size() / 2))));
    auto invalid = good;
    invalid.replace(invalid.find("\"service\""), 9, "\"servant\"");
    REQUIRE_FALSE(ok(decode_table(invalid)));
    CHECK(
        failure(decode_table(invalid)).reason ==
        "row \"checks\", column \"kind\": must be service, batch or watcher");
    CHECK_FALSE(ok(decode_table(
        R"({"revision": 1, "columns": [], "rows": ["*", "*"], "cells": []})")));
}

TEST_CASE("a table too long for the store is not encoded")
{
    auto large = with_note("");
    for (std::size_t i = 0; i < max_table_rows; ++i) {
        row_id const row{"row-" + std::to_string(i)};
        large.rows.push_back(row);
        for (auto const& column : large.columns)
            large.cells[{row, column.name}].text =
                std::string(max_cell_bytes, 'x');
    }
    CHECK_FALSE(ok(encode_table(large)));
}

TEST_CASE("CSV that is not a table is rejected with the position")
{
    using Catch::Contains;
    auto const reason = [](std::string const& text) {
        auto const read = read_table_csv(text);
        return ok(read) ? "" : failure(read).reason;
    };
    CHECK_THAT(reason(""), Contains("empty"));
    CHECK_THAT(reason("name,kind\n"), Contains("first heading"));
    CHECK_THAT(reason("row@x,kind\n"), Contains("first heading"));
    CHECK_THAT(reason("row,kind,wieght\n"), Contains("wieght"));
    CHECK_THAT(reason("row,kind,team\n*,\n"), Contains("record 2"));
    CHECK_THAT(reason("row,kind,team\n*,\"a\n"), Contains("quote"));
    CHECK_THAT(reason("row,kind,team\n*,a\"b,\n"), Contains("quote"));
    CHECK_THAT(
        reason("row,kind,team\n*,,\na,b,c\n"),
        Contains("row \"a\", column \"kind\""));
    CHECK_THAT(reason("row,kind,team\n*,,\n\xFE,,\n"), Contains("UTF-8"));
    CHECK(reason("\xEF\xBB\xBFrow,kind,team\r\n*,,\r\n,,\r\n").empty());
}

TEST_CASE("the difference of two tables is an edit from one to the other")
{
    CHECK(rc::check("difference", [] {
        auto const current = example_table();
        auto wanted = current;
        if (*rc::gen::arbitrary<bool>()) {
            std::erase(wanted.rows, row_id{"checks"});
            std::erase_if(wanted.cells, [](auto const& cell) {
                return cell.first.row == row_id{"checks"};
            });
        }
        if (*rc::gen::arbitrary<bool>()) {
            wanted.rows.emplace_back("extra");
            wanted.cells[{row_id{"extra"}, "kind"}].text = "batch";
            wanted.cells[{row_id{"extra"}, "team"}].text = "desk";
        }
        if (*rc::gen::arbitrary<bool>())
            wanted.columns.push_back({"coast", column_kind::failure_domain});
        wanted.cells[{row_id{"runs"}, "weight"}].text =
            std::to_string(*rc::gen::inRange(1, 9));
        auto const edit = difference(current, wanted);
        auto const joined = std::get<table>(apply_edit(current, edit));
        RC_ASSERT(joined.rows == wanted.rows);
        RC_ASSERT(joined.columns == wanted.columns);
        RC_ASSERT(difference(joined, wanted).changes.empty());
    }));
}

TEST_CASE("the tables of both deployments are valid")
{
    auto const read = [](std::string const& name) {
        auto const path = std::string(CONFIG_DIR) + "/" + name + ".table.csv";
        auto const text = read_file(path, max_table_bytes);
        auto const parsed = read_table_csv(value(text));
        INFO(name);
        REQUIRE(ok(parsed));
        return std::get<table_policy>(read_policy(value(parsed)));
    };
    auto const ledger = read("rachita-vie");
    CHECK(ledger.domains.size() == 3);
    CHECK_FALSE(find_row(ledger, row_id{"settlement"})->repeatable);
    CHECK(find_row(ledger, row_id{"pricing-run"})->repeatable);
    auto const tally = read("te-rangi");
    CHECK(tally.domains.size() == 4);
    CHECK_FALSE(find_row(tally, row_id{"sheet-submission"})->repeatable);
    CHECK(find_row(tally, row_id{"long-watch"})->kind == row_kind::watcher);
}
