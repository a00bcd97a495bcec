/// Embeds the operators' table in a program: two operators edit it, and the
/// program queries where work may start. Needs no sockets, threads or clocks.
#include "libsycamorespar/table.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <cstdlib>
#include <iostream>

using namespace sycamorespar;

namespace {

row_id const backups{"backups"};
failure_domain_id const west{"west"};

/// The edit that creates the first table from the empty one.
table_edit first_edit()
{
    table_edit edit;
    edit.add_columns = {
        {"kind", column_kind::attribute},
        {"team", column_kind::attribute},
        {"weight", column_kind::attribute},
        {"west", column_kind::failure_domain}};
    edit.add_rows = {row_id{all_rows}, backups};
    edit.changes = {
        {{backups, "kind"}, "batch"},
        {{backups, "team"}, "storage"},
        {{backups, "weight"}, "5"}};
    return edit;
}

table_edit change(table const& seen, cell_address at, std::string text)
{
    table_edit edit;
    edit.base = seen.revision;
    edit.changes.push_back({std::move(at), std::move(text)});
    return edit;
}

/// Applies an edit, or prints why it was refused.
table apply_or_print(table const& current, table_edit const& edit)
{
    auto const applied = apply_edit(current, edit);
    if (auto const* next = std::get_if<table>(&applied))
        return *next;
    auto const& refusal = std::get<edit_refusal>(applied);
    for (auto const& conflict : refusal.conflicts)
        std::cout << "conflict in " << conflict.at.row.value << " "
                  << conflict.at.column << ": it is now "
                  << conflict.current_text << ", wanted "
                  << conflict.wanted_text << "\n";
    for (auto const& fault : refusal.faults)
        std::cout << "fault in " << fault.at.row.value << " " << fault.at.column
                  << ": " << fault.reason << "\n";
    return current;
}

} // namespace

int main()
{
    table const seen = apply_or_print({}, first_edit());
    table current = seen;
    // Both operators edit the same cell of the same revision: the second edit
    // conflicts.
    current = apply_or_print(current, change(seen, {backups, "weight"}, "7"));
    current = apply_or_print(current, change(seen, {backups, "weight"}, "9"));
    // An edit of another cell of that revision does not conflict.
    current = apply_or_print(
        current, change(seen, {row_id{all_rows}, "west"}, "out"));

    auto const read = read_policy(current);
    auto const* policy = std::get_if<table_policy>(&read);
    if (policy == nullptr)
        return EXIT_FAILURE;
    std::cout << "revision " << policy->revision.value << ": weight "
              << find_row(*policy, backups)->weight << ", may start in west: "
              << (may_run_in(*policy, backups, west) ? "yes" : "no") << "\n";
    return EXIT_SUCCESS;
}
