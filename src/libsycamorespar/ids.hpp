/// Strongly typed identifiers and counters, so that the compiler rejects one
/// kind in place of another.
#ifndef SYCAMORESPAR_IDS_HPP
#define SYCAMORESPAR_IDS_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace sycamorespar {

/// A name whose type is distinguished by its tag.
template<class Tag>
struct name_id
{
    /// The text as written in settings, tables and messages.
    std::string value;

    name_id() = default;
    explicit name_id(std::string text) : value(std::move(text)) {}
    auto operator<=>(name_id const&) const = default;
};

/// A number whose type is distinguished by its tag.
template<class Tag>
struct number_id
{
    /// Zero means "none".
    std::uint64_t value = 0;

    number_id() = default;
    explicit constexpr number_id(std::uint64_t number) : value(number) {}
    auto operator<=>(number_id const&) const = default;
};

/// A machine that runs tasks.
using worker_id = name_id<struct worker_tag>;
/// A group of workers that can be lost or taken out together.
using failure_domain_id = name_id<struct failure_domain_tag>;
/// A rack inside a failure domain.
using rack_id = name_id<struct rack_tag>;
/// A row of the operators' table: a service or a batch class.
using row_id = name_id<struct row_tag>;
/// A team that owns rows and has a quota.
using team_id = name_id<struct team_tag>;
/// A `spar-entry` process, by the name in its settings.
using entry_id = name_id<struct entry_tag>;
/// A batch job, unique over all shards.
using job_id = name_id<struct job_tag>;

/// One incarnation of a process: a random number drawn at every start.
using incarnation = number_id<struct incarnation_tag>;
/// A revision of the operators' table; never decreases.
using table_revision = number_id<struct table_revision_tag>;
/// A permit period of one agent incarnation; never decreases.
using permit_epoch = number_id<struct permit_epoch_tag>;
/// The number of an attempt to run a job; the first is 1.
using attempt_number = number_id<struct attempt_tag>;
/// The number of a ledger shard, from 1.
using shard_id = number_id<struct shard_tag>;

/// Identifies a request: the entry that accepted it, and its number there.
struct request_id
{
    /// The incarnation of the entry that accepted the request.
    incarnation entry;
    /// Counts the requests of that incarnation, from 1.
    std::uint64_t sequence = 0;

    auto operator<=>(request_id const&) const = default;
};

/// Identifies one run of one job.
struct attempt_id
{
    /// The job that is run.
    job_id job;
    /// The number of the attempt.
    attempt_number number;

    auto operator<=>(attempt_id const&) const = default;
};

} // namespace sycamorespar

template<class Tag>
struct std::hash<sycamorespar::name_id<Tag>>
{
    std::size_t operator()(sycamorespar::name_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template<class Tag>
struct std::hash<sycamorespar::number_id<Tag>>
{
    std::size_t
    operator()(sycamorespar::number_id<Tag> const& id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

template<>
struct std::hash<sycamorespar::request_id>
{
    std::size_t operator()(sycamorespar::request_id const& id) const noexcept
    {
        constexpr std::uint64_t golden_ratio = 0x9E3779B97F4A7C15U;
        return std::hash<std::uint64_t>{}(
            (id.entry.value * golden_ratio) ^ id.sequence);
    }
};

#endif
