/// A process's copy of the operators' table, updated by whole tables or edits.
#ifndef SYCAMORESPAR_OPERATORS_TABLE_COPY_HPP
#define SYCAMORESPAR_OPERATORS_TABLE_COPY_HPP

#include "libsycamorespar/result.hpp"
#include "libsycamorespar/table.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sycamorespar {

/// Accepts only newer revisions, so that no edit is undone.
class table_copy
{
public:
    /// Adopts a whole encoded table.
    /// \return true if it is newer and was adopted.
    result<bool> adopt_text(std::string_view text);
    /// Applies the edit that leads from its base to the next revision.
    /// \return true if it was applied; false if its base is not the revision
    /// of this copy, so that the whole table is needed.
    result<bool> adopt_edit(table_edit const& edit);

    /// The table; revision zero if none has been adopted.
    table const& current() const { return table_; }
    /// The policy parsed from the table.
    table_policy const& policy() const { return policy_; }
    /// The whole table, encoded; empty if none has been adopted.
    std::string text() const;
    /// The edit from the previous revision to this one; nullopt if this copy
    /// did not hold the previous revision.
    std::optional<table_edit> const& last_edit() const { return last_edit_; }

private:
    result<bool> adopt(table next);

    table table_;
    table_policy policy_;
    std::optional<table_edit> last_edit_;
};

} // namespace sycamorespar

#endif
