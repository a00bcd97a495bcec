/// Tests that a copy of the table updated by edits equals the table.
#include "example_table.hpp"
#include "operators/table_copy.hpp"
#include "operators/table_json.hpp"

#include <catch2/catch.hpp>

using namespace sycamorespar;

namespace {

table edited(table const& from, char const* column, char const* text)
{
    table_edit edit;
    edit.base = from.revision;
    edit.changes = {{{row_id{"checks"}, column}, text}};
    return std::get<table>(apply_edit(from, edit));
}

std::string text_of(table const& from)
{
    return value(encode_table(from));
}

} // namespace

TEST_CASE("an edit gives the same table as the whole text")
{
    table const first = example_table();
    table const second = edited(first, "weight", "7");
    table_copy source;
    table_copy follower;
    REQUIRE(value(source.adopt_text(text_of(first))));
    REQUIRE(value(follower.adopt_text(text_of(first))));
    CHECK_FALSE(source.last_edit());
    REQUIRE(value(source.adopt_text(text_of(second))));
    REQUIRE(source.last_edit());
    REQUIRE(value(follower.adopt_edit(*source.last_edit())));
    CHECK(follower.current() == second);
    CHECK(follower.text() == source.text());
}

TEST_CASE("an edit from another base is not applied")
{
    table const first = example_table();
    table const second = edited(first, "weight", "7");
    table const third = edited(second, "weight", "8");
    table_copy source;
    table_copy follower;
    REQUIRE(value(source.adopt_text(text_of(second))));
    REQUIRE(value(source.adopt_text(text_of(third))));
    REQUIRE(value(follower.adopt_text(text_of(first))));
    CHECK_FALSE(value(follower.adopt_edit(*source.last_edit())));
    CHECK(follower.current().revision == first.revision);
}

TEST_CASE("an older text never replaces a newer one")
{
    table const first = example_table();
    table const second = edited(first, "weight", "7");
    table_copy copy;
    REQUIRE(value(copy.adopt_text(text_of(second))));
    CHECK_FALSE(value(copy.adopt_text(text_of(first))));
    CHECK(copy.current() == second);
}

TEST_CASE("a revision that skips one has no edit")
{
    table const first = example_table();
    table const third = edited(edited(first, "weight", "7"), "weight", "8");
    table_copy copy;
    REQUIRE(value(copy.adopt_text(text_of(first))));
    REQUIRE(value(copy.adopt_text(text_of(third))));
    CHECK_FALSE(copy.last_edit());
}
