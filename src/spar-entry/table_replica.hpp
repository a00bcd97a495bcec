/// The entry's copy of the operators' table, and edits to it.
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

/// What became of an edit.
using edit_result = std::variant<table_revision, edit_refusal, error>;

/// Polls the store for the table and commits edits by compare-and-swap.
class table_replica
{
public:
    /// Called with each newer table.
    using changed_hook = std::function<void(table_policy const&)>;

    table_replica(
        event_loop& loop, kv_store const& store, changed_hook on_changed);

    /// Starts to poll.
    void start();
    /// Reads the table now; calls back when the answer was taken or failed.
    void refresh(std::function<void()> on_done);
    /// Takes a table from a peer; only a newer one is adopted.
    result<done> adopt(std::string const& text);
    /// Commits an edit; calls back when it is in the store or refused.
    void
    edit(table_edit const& wanted, std::function<void(edit_result)> on_done);

    /// The table as known; revision zero where none is.
    table const& current() const { return copy_.current(); }
    /// Its typed meaning.
    table_policy const& policy() const { return copy_.policy(); }
    /// Its text, as in the store.
    std::string text() const { return copy_.text(); }
    /// The edit that led to it from the revision before; empty where that one
    /// was not known here.
    std::optional<table_edit> const& last_edit() const
    {
        return copy_.last_edit();
    }
    /// The store's revision of the table with this revision; empty where the
    /// table came from a peer and was not read from the store yet.
    std::optional<kv_revision> store_revision(table_revision of) const;
    /// The store's key.
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
