/// Edits of the table and its typed form.
#include "example_table.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sycamorespar;

namespace {

row_id const checks{"checks"};
row_id const runs{"runs"};

table_edit change(std::uint64_t base, cell_address at, std::string text)
{
    table_edit edit;
    edit.base = table_revision{base};
    edit.changes.push_back({std::move(at), std::move(text)});
    return edit;
}

table accepted(table const& current, table_edit const& edit)
{
    auto applied = apply_edit(current, edit);
    REQUIRE(std::holds_alternative<table>(applied));
    return std::get<table>(applied);
}

edit_refusal refused(table const& current, table_edit const& edit)
{
    auto applied = apply_edit(current, edit);
    REQUIRE(std::holds_alternative<edit_refusal>(applied));
    return std::get<edit_refusal>(applied);
}

/// Edits of valid weights and limits in a random cell at a random base.
table_edit random_edit(table const& current)
{
    auto const base =
        *rc::gen::inRange<std::uint64_t>(0, current.revision.value + 1);
    auto const row = *rc::gen::element(checks, runs);
    auto const column =
        *rc::gen::element<std::string>("weight", "north", "south");
    auto const number = *rc::gen::inRange(1, 5);
    return change(base, {row, column}, std::to_string(number));
}

} // namespace

TEST_CASE("edits of different cells of one base both succeed")
{
    auto const first =
        accepted(example_table(), change(1, {checks, "weight"}, "20"));
    auto const second = accepted(first, change(1, {runs, "north"}, "in"));
    CHECK(cell_text(second, {checks, "weight"}) == "20");
    CHECK(cell_text(second, {runs, "north"}) == "in");
    CHECK(second.revision == table_revision{3});
}

TEST_CASE("edits of the same cell conflict and show both values")
{
    auto const first =
        accepted(example_table(), change(1, {checks, "weight"}, "20"));
    auto const refusal = refused(first, change(1, {checks, "weight"}, "30"));
    REQUIRE(refusal.conflicts.size() == 1);
    CHECK(
        refusal.conflicts[0] == cell_conflict{{checks, "weight"}, "20", "30"});
    accepted(first, change(2, {checks, "weight"}, "30"));
    accepted(first, change(1, {checks, "weight"}, "20"));
}

TEST_CASE(
    "every edit raises the revision and marks only the cells that it changed")
{
    CHECK(rc::check("revisions", [] {
        table current = example_table();
        for (int step = 0; step < 20; ++step) {
            auto const edit = random_edit(current);
            auto const& wanted = edit.changes[0];
            auto const before = current.cells[wanted.at];
            bool const stale =
                before.changed_at > edit.base && before.text != wanted.text;
            auto const applied = apply_edit(current, edit);
            RC_ASSERT(std::holds_alternative<edit_refusal>(applied) == stale);
            if (stale)
                continue;
            auto const& next = std::get<table>(applied);
            RC_ASSERT(next.revision.value == current.revision.value + 1);
            for (auto const& [at, cell] : next.cells) {
                bool const changed = cell.text != current.cells[at].text;
                RC_ASSERT(!changed || at == wanted.at);
                RC_ASSERT(
                    cell.changed_at ==
                    (changed ? next.revision : current.cells[at].changed_at));
            }
            current = next;
        }
    }));
}

TEST_CASE("rows can be added and removed")
{
    table_edit add;
    add.base = table_revision{1};
    add.add_rows.emplace_back("watch");
    add.changes = {
        {{row_id{"watch"}, "kind"}, "watcher"},
        {{row_id{"watch"}, "team"}, "desk"}};
    auto const with_row = accepted(example_table(), add);
    CHECK(has_row(with_row, row_id{"watch"}));
    CHECK(refused(with_row, add).faults.size() == 1);

    table_edit remove;
    remove.base = table_revision{1};
    remove.remove_rows = {checks};
    auto const without = accepted(with_row, remove);
    CHECK_FALSE(has_row(without, checks));
    CHECK(cell_text(without, {checks, "kind"}).empty());
    CHECK_FALSE(
        refused(without, change(1, {checks, "weight"}, "5")).faults.empty());
}

TEST_CASE("a row changed since the base is not removed")
{
    auto const changed =
        accepted(example_table(), change(1, {checks, "weight"}, "20"));
    table_edit remove;
    remove.base = table_revision{1};
    remove.remove_rows = {checks};
    auto const refusal = refused(changed, remove);
    REQUIRE(refusal.conflicts.size() == 1);
    CHECK(refusal.conflicts[0].current_text == "20");
}

TEST_CASE("a row removed and added again conflicts with older edits")
{
    table_edit remove;
    remove.base = table_revision{1};
    remove.remove_rows = {checks};
    table_edit add;
    add.base = table_revision{2};
    add.add_rows = {checks};
    add.changes = {{{checks, "kind"}, "batch"}, {{checks, "team"}, "desk"}};
    auto const again = accepted(accepted(example_table(), remove), add);
    CHECK(
        refused(again, change(1, {checks, "weight"}, "5")).conflicts.size() ==
        1);
    CHECK(
        refused(again, change(1, {checks, "processors"}, "5"))
            .conflicts.size() == 1);
}

TEST_CASE("failure domains can be added and removed as columns")
{
    table_edit add;
    add.base = table_revision{1};
    add.add_columns = {{"coast", column_kind::failure_domain}};
    auto const with_coast = accepted(example_table(), add);
    auto const policy = std::get<table_policy>(read_policy(with_coast));
    CHECK(may_run_in(policy, checks, failure_domain_id{"coast"}));
    table_edit remove;
    remove.base = table_revision{2};
    remove.remove_columns = {"coast"};
    auto const without = accepted(with_coast, remove);
    auto const later = std::get<table_policy>(read_policy(without));
    CHECK_FALSE(may_run_in(later, checks, failure_domain_id{"coast"}));
}

TEST_CASE("an edit of a missing row, column or revision is refused")
{
    CHECK_FALSE(
        refused(example_table(), change(1, {row_id{"nobody"}, "team"}, "a"))
            .faults.empty());
    CHECK_FALSE(refused(example_table(), change(1, {checks, "wieght"}, "a"))
                    .faults.empty());
    CHECK_FALSE(refused(example_table(), change(2, {checks, "weight"}, "5"))
                    .faults.empty());
    table_edit remove_all;
    remove_all.base = table_revision{1};
    remove_all.remove_rows.emplace_back(all_rows);
    CHECK_FALSE(refused(example_table(), remove_all).faults.empty());
    auto twice = change(1, {checks, "weight"}, "5");
    twice.changes.push_back({{checks, "weight"}, "6"});
    CHECK_FALSE(refused(example_table(), twice).faults.empty());
}

TEST_CASE("invalid cells are named by row and column")
{
    struct bad_cell
    {
        cell_address at;
        std::string text;
    };
    row_id const every{all_rows};
    std::vector<bad_cell> const bad{
        {{checks, "kind"}, ""},
        {{checks, "kind"}, "servce"},
        {{checks, "team"}, ""},
        {{checks, "weight"}, "0"},
        {{checks, "weight"}, "-1"},
        {{checks, "weight"}, "nan"},
        {{checks, "weight"}, "inf"},
        {{checks, "weight"}, "1,5"},
        {{runs, "processors"}, "-0.5"},
        {{runs, "processors"}, "nan"},
        {{runs, "north"}, "otu"},
        {{runs, "north"}, "-1"},
        {{runs, "north"}, "99999999999"},
        {{every, "north"}, "8"},
        {{every, "weight"}, "8"},
        {{checks, "team"}, "a\nb"},
        {{checks, "team"}, std::string(max_cell_bytes + 1, 'a')}};
    for (auto const& each : bad) {
        INFO(each.at.row.value << " " << each.at.column << " " << each.text);
        auto const refusal =
            refused(example_table(), change(1, each.at, each.text));
        REQUIRE(refusal.faults.size() == 1);
        CHECK(refusal.faults[0].at == each.at);
        CHECK_FALSE(refusal.faults[0].reason.empty());
    }
}

TEST_CASE("the typed form follows the cells")
{
    auto const policy = std::get<table_policy>(read_policy(example_table()));
    auto const* row = find_row(policy, runs);
    REQUIRE(row != nullptr);
    CHECK(row->kind == row_kind::batch);
    CHECK(row->team == team_id{"night"});
    CHECK(row->millicores_limit == 12'500);
    CHECK_FALSE(row->repeatable);
    CHECK(row->domain_limits.at(failure_domain_id{"south"}) == 8);
    CHECK_FALSE(may_run_in(policy, runs, failure_domain_id{"north"}));
    CHECK(may_run_in(policy, runs, failure_domain_id{"south"}));
    CHECK_FALSE(may_run_in(policy, row_id{"none"}, failure_domain_id{"south"}));
}

TEST_CASE("taking a domain out for all rows closes it to each row")
{
    auto const out = accepted(
        example_table(), change(1, {row_id{all_rows}, "south"}, "out"));
    auto const policy = std::get<table_policy>(read_policy(out));
    CHECK_FALSE(may_run_in(policy, checks, failure_domain_id{"south"}));
    CHECK_FALSE(may_run_in(policy, runs, failure_domain_id{"south"}));
    CHECK(may_run_in(policy, checks, failure_domain_id{"north"}));
}

TEST_CASE("a table without known columns or the row for all is refused")
{
    auto unknown = example_table();
    unknown.columns.push_back({"wieght", column_kind::attribute});
    CHECK(
        std::holds_alternative<std::vector<cell_fault>>(read_policy(unknown)));
    auto no_all = example_table();
    std::erase(no_all.rows, row_id{all_rows});
    CHECK(std::holds_alternative<std::vector<cell_fault>>(read_policy(no_all)));
}
