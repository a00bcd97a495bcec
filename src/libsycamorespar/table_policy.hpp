/// The operators' table in typed form, as scheduling decisions use it.
#ifndef SYCAMORESPAR_TABLE_POLICY_HPP
#define SYCAMORESPAR_TABLE_POLICY_HPP

#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/resources.hpp"
#include "libsycamorespar/table.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sycamorespar {

/// The kind of work that a row describes.
enum class row_kind
{
    /// Requests answered by upstreams within seconds.
    service,
    /// Tasks that run and end.
    batch,
    /// Tasks that run for weeks.
    watcher
};

/// The policy of one row of the table.
struct row_policy
{
    /// The row's name.
    row_id id;
    /// Column "kind": service, batch or watcher.
    row_kind kind = row_kind::service;
    /// Column "team": whose quota it uses.
    team_id team;
    /// Column "weight": its relative share of scarce capacity; above zero.
    double weight = 1.0;
    /// Column "urgent": yes or no; urgent tasks start within 1.6 s.
    bool urgent = false;
    /// Column "repeatable": yes or no; yes where work may safely run more than
    /// once.
    bool repeatable = false;
    /// Column "objective_ms": a slower answer counts against the error budget.
    std::chrono::milliseconds objective{1000};
    /// Column "objective_ratio": the required ratio of good answers, between 0
    /// and 1.
    double objective_ratio = 0.999;
    /// Column "queue_limit": maximum number of requests or jobs queued at one
    /// entry.
    std::uint32_t queue_limit = 1000;
    /// Column "reclaim_after_s": time without contact after which a task is
    /// taken as lost and may be run again.
    std::chrono::seconds reclaim_after{600};
    /// Column "processors": cores over all workers; no limit where empty.
    std::optional<std::int64_t> millicores_limit;
    /// Column "memory_gib": memory over all workers; no limit where empty.
    std::optional<std::int64_t> memory_mib_limit;
    /// Column "accelerators": over all workers; no limit where empty.
    std::optional<std::int64_t> accelerators_limit;
    /// Column "note": free text for operators.
    std::string note;
    /// Failure domains that are closed to this row.
    std::set<failure_domain_id> out_of;
    /// Limits on the row's running tasks for each failure domain.
    std::map<failure_domain_id, std::uint32_t> domain_limits;
};

/// The table in typed form.
struct table_policy
{
    /// The revision of the table it was read from.
    table_revision revision;
    /// The rows by name, without the row "*".
    std::map<row_id, row_policy> rows;
    /// Failure domains that are closed to all rows.
    std::set<failure_domain_id> domains_out;
    /// Failure domains that have a column.
    std::vector<failure_domain_id> domains;
};

/// Converts a table to its typed form.
/// \return the policy, or all faults, by row and column.
std::variant<table_policy, std::vector<cell_fault>>
read_policy(table const& from);

/// The kind of a column by its heading; none where it is not one of the
/// attributes and resources above, as for failure domains.
std::optional<column_kind> known_column_kind(std::string const& heading);

/// The row's policy; null where the table has no such row.
row_policy const* find_row(table_policy const& policy, row_id const& row);

/// True where tasks and requests of the row may start in the domain. False
/// for a row or a domain that the table does not have.
bool may_run_in(
    table_policy const& policy, row_id const& row,
    failure_domain_id const& domain);

/// The same with the row's policy already looked up.
bool may_run_in(
    table_policy const& policy, row_policy const& row,
    failure_domain_id const& domain);

} // namespace sycamorespar

#endif
