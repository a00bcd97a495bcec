/// The entry's copy of the operators' table, and commits of edits to it.
#ifndef SYCAMORESPAR_SPAR_ENTRY_TABLE_REPLICA_HPP
#define SYCAMORESPAR_SPAR_ENTRY_TABLE_REPLICA_HPP

#include "common/event_loop.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/table.hpp"
#include "libsycamorespar/table_policy.hpp"
#include "operators/table_copy.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar {

/// Result of an edit: the new revision, a refusal, or an error.
using edit_result = std::variant<table_revision, edit_refusal, error>;

/// Polls the store for the table and commits edits by compare-and-swap.
class table_replica
{
public:
    /// Called with each newer table.
    using changed_hook = std::function<void(table_policy const&)>;

    table_replica(
        event_loop& loop, kv_store const& store, changed_hook on_changed);

    /// Starts polling the store.
    void start();
    /// Reads the table now; calls back when it was applied or the read failed.
    void refresh(std::function<void()> on_done);
    /// Adopts a table from a peer if it is newer.
    /// \return an error if the text is invalid.
    result<done> adopt(std::string const& text);
    /// Commits an edit; calls back when it is stored, refused or failed.
    void
    edit(table_edit const& wanted, std::function<void(edit_result)> on_done);

    /// The current table; revision zero if none is known.
    table const& current() const { return copy_.current(); }
    /// The policy parsed from the current table.
    table_policy const& policy() const { return copy_.policy(); }
    /// The current table's text, as in the store.
    std::string text() const { return copy_.text(); }
    /// The edit that led from the previous revision to the current one; empty
    /// if the previous one was not known here.
    std::optional<table_edit> const& last_edit() const
    {
        return copy_.last_edit();
    }
    /// The store's modification revision for this table revision; empty if it
    /// came from a peer and has not been read from the store yet.
    std::optional<kv_revision> store_revision(table_revision of) const;
    /// The table's key in the store.
    static constexpr char const* key = "/spar/table";

private:
    struct pending_edit
    {
        table_edit wanted;
        std::function<void(edit_result)> on_done;
        int attempts = 0;
    };

    void apply_stored(kv_item const& stored);
    void try_edit(pending_edit edit);
    void commit_edit(pending_edit edit, table const& next);
    void resolve_unknown(pending_edit edit, std::string const& text);

    event_loop& loop_;
    kv_store const& store_;
    changed_hook on_changed_;
    table_copy copy_;
    kv_revision read_mod_revision_ = 0;
    table_revision read_revision_;
};

} // namespace sycamorespar

#endif
