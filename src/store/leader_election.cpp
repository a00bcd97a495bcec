/// Leader election through one key of the store. The key's revision is the
/// term: the store has a single revision counter, so a later leader's term is
/// always higher. A read that returns the key at that revision confirms that no
/// other process had become the leader when the read was sent. The lease alone
/// doesn't: it may outlast the key. Authority lasts from then on a clock that
/// keeps running while the instance is suspended.
#include "store/leader_election.hpp"

#include "common/json_number.hpp"
#include "common/json_text.hpp"
#include "common/log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorespar {

namespace {

using nlohmann::json;

/// A request by a larger process that the leader of this term hand over.
struct leadership_claim
{
    scheduler_term from;
    std::int64_t capacity = 0;
};

std::string write_claim(leadership_claim const& claim)
{
    json const out = {{"from", claim.from.value}, {"capacity", claim.capacity}};
    return out.dump();
}

std::int64_t read_capacity(json const& from)
{
    return read_whole<std::int64_t>(from, "capacity", {0, INT64_MAX});
}

std::optional<leadership_claim> read_claim(kv_item const& item)
{
    auto const parsed = parse_json(item.value);
    if (!ok(parsed))
        return std::nullopt;
    try {
        auto const& from = value(parsed);
        return leadership_claim{
            scheduler_term{read_whole<std::uint64_t>(from.at("from"), "from")},
            read_capacity(from.at("capacity"))};
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

} // namespace

std::string write_leader(election_candidate const& leader)
{
    json const out = {
        {"process", leader.process.value},
        {"address", leader.address.address},
        {"port", leader.address.port},
        {"capacity", leader.capacity}};
    return out.dump();
}

std::optional<leader_info> read_leader(kv_item const& item)
{
    auto const parsed = parse_json(item.value);
    if (!ok(parsed))
        return std::nullopt;
    try {
        auto const& from = value(parsed);
        return leader_info{
            scheduler_term{item.revision},
            incarnation{
                read_whole<std::uint64_t>(from.at("process"), "process")},
            {from.at("address").get<std::string>(),
             read_whole<std::uint16_t>(
                 from.at("port"), "port", {1, UINT16_MAX})},
            from.contains("capacity") ? read_capacity(from["capacity"]) : 0};
    } catch (std::exception const&) {
        return std::nullopt;
    }
}

leader_election::leader_election(
    event_loop& loop, kv_store const& store, election_candidate self,
    observer callbacks, leader_election_limits const& limits)
    : loop_(loop), store_(store), self_(std::move(self)),
      callbacks_(std::move(callbacks)), limits_(limits),
      alive_(std::make_shared<bool>(true))
{
    watch_ = std::make_unique<prefix_watch>(
        loop, store, leader_key,
        prefix_watch::observer{
            [this](auto const& items) { apply_listing(items); },
            [this](auto const& change) {
                apply_change(change);
            }});
}

leader_election::~leader_election()
{
    loop_.cancel(renewal_);
}

bool leader_election::has_authority() const
{
    return is_leader_ && time_since_confirmation() < limits_.authority;
}

std::chrono::nanoseconds leader_election::time_since_confirmation() const
{
    return event_loop::time_since_boot() - confirmed_since_boot_;
}

leader_election::sending_time leader_election::now()
{
    return {event_loop::now(), event_loop::time_since_boot()};
}

void leader_election::confirm(sending_time const& sent)
{
    confirmed_at_ = std::max(confirmed_at_, sent.at);
    confirmed_since_boot_ = std::max(confirmed_since_boot_, sent.since_boot);
}

// An entry that names no leader, written by somebody else, is replaced: else
// nobody could lead until it is removed.
std::optional<leader_info> leader_election::read_entry(kv_item const& item)
{
    auto read = read_leader(item);
    unreadable_revision_ = read ? 0 : item.revision;
    if (!read)
        log_event(
            log_level::error, "office_unreadable",
            {{"key", item.key}, {"revision", item.revision}});
    return read;
}

void leader_election::apply_listing(std::vector<kv_item> const& items)
{
    unreadable_revision_ = 0;
    std::optional<leader_info> found;
    for (auto const& item : items) {
        if (item.key == leader_key)
            found = read_entry(item);
    }
    set_leader(found);
    for (auto const& item : items)
        process_claim(item);
}

void leader_election::apply_change(kv_change const& change)
{
    if (!change.is_removal)
        process_claim(change.item);
    if (change.item.key != leader_key)
        return;
    // Ignores a change that is older than the known term.
    if (leader_ && change.item.revision < leader_->term.value)
        return;
    if (change.is_removal)
        unreadable_revision_ = 0;
    set_leader(change.is_removal ? std::nullopt : read_entry(change.item));
}

void leader_election::set_leader(std::optional<leader_info> leader)
{
    bool const is_next = leader && (!leader_ || leader_->term != leader->term);
    if (is_next)
        expected_capacity_ = leader->capacity;
    leader_ = std::move(leader);
    bool const is_self = leader_ && leader_->process == self_.process;
    if (is_leader_ && !is_self)
        lose_leadership();
    // A watch that is behind still shows this process as the leader. In a term
    // that began again, the numbers of sessions, and so the tokens, would begin
    // again as well.
    bool const is_over = leader_ && leader_->term == led_term_;
    if (!is_leader_ && is_self && !is_acquiring_ && !is_over)
        become_leader(leader_->term);
    if (!leader_) {
        acquire_by_precedence();
        return;
    }
    if (is_earlier_incarnation(*leader_))
        try_to_acquire();
    else
        schedule_claim();
}

// This process listens on that leader's address, so that leader has ended and
// there is no need to wait for its lease to expire.
bool leader_election::is_earlier_incarnation(leader_info const& leader) const
{
    return leader.address == self_.address && leader.process != self_.process;
}

bool leader_election::is_larger(std::int64_t capacity, std::int64_t other) const
{
    return static_cast<double>(capacity) >
           limits_.min_capacity_ratio * static_cast<double>(other);
}

// The leader answers every runner. A small process, or one behind a slow link,
// answers late and delays all work, so a process that is much smaller than
// the previous leader waits before it tries to become leader.
void leader_election::acquire_by_precedence()
{
    if (!is_larger(expected_capacity_, self_.capacity)) {
        try_to_acquire();
        return;
    }
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.precedence, [this, guard] {
        if (!guard.expired() && !leader_)
            try_to_acquire();
    });
}

void leader_election::schedule_claim()
{
    if (is_leader_ || has_resigned_ || claimed_from_ == leader_->term ||
        !is_larger(self_.capacity, leader_->capacity))
        return;
    claimed_from_ = leader_->term;
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.claim_delay, [this, guard, from = claimed_from_] {
        bool const still_holds =
            !guard.expired() && leader_ && leader_->term == from;
        if (still_holds && !has_resigned_)
            claim();
    });
}

void leader_election::claim()
{
    kv_write const write{
        {{leader_key, claimed_from_.value}},
        {{leader_claim_key, write_claim({claimed_from_, self_.capacity}), {}}},
        {}};
    log_event(
        log_level::info, "office_claimed", {{"from", claimed_from_.value}});
    std::weak_ptr<bool> const guard = alive_;
    store_.write(write, [this, guard](result<kv_write_result> const& written) {
        if (guard.expired() || ok(written))
            return;
        log_error("office_not_claimed", failure(written));
        claimed_from_ = {};
        if (leader_)
            schedule_claim();
    });
}

// Others than the leader leave the key to who has claimed it: they would
// otherwise be as fast, and would be claimed from in turn.
void leader_election::process_claim(kv_item const& item)
{
    if (item.key != leader_claim_key || !leader_)
        return;
    auto const claim = read_claim(item);
    if (!claim || claim->from != leader_->term ||
        !is_larger(claim->capacity, leader_->capacity))
        return;
    expected_capacity_ = std::max(expected_capacity_, claim->capacity);
    if (is_leader_)
        hand_over();
}

void leader_election::hand_over()
{
    log_event(
        log_level::info, "office_handed_over",
        {{"term", leader_->term.value}, {"capacity", expected_capacity_}});
    kv_write const write{
        {{leader_key, leader_->term.value}},
        {},
        {leader_key, leader_claim_key}};
    std::weak_ptr<bool> const guard = alive_;
    store_.write(
        write, [this, guard, term = leader_->term](auto const& written) {
            // The watch reports the removal.
            if (guard.expired() || ok(written))
                return;
            log_error("office_not_handed_over", failure(written));
            hand_over_later(term);
        });
}

void leader_election::hand_over_later(scheduler_term term)
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.claim_delay, [this, guard, term] {
        bool const still_leads =
            !guard.expired() && is_leader_ && leader_->term == term;
        if (still_leads)
            hand_over();
    });
}

void leader_election::try_to_acquire()
{
    if (is_acquiring_ || has_resigned_ || is_leader_)
        return;
    is_acquiring_ = true;
    std::weak_ptr<bool> const guard = alive_;
    store_.grant_lease(
        limits_.ttl, [this, guard](result<kv_lease> const& granted) {
            if (guard.expired())
                return;
            if (ok(granted))
                acquire_with(value(granted));
            else
                retry_later();
        });
}

void leader_election::acquire_with(kv_lease const& lease)
{
    lease_ = lease.id;
    bool const is_free = !leader_ || is_earlier_incarnation(*leader_);
    if (!is_free) {
        is_acquiring_ = false;
        return;
    }
    kv_write const write{
        {{leader_key, leader_ ? leader_->term.value : unreadable_revision_}},
        {{leader_key, write_leader(self_), lease.id}},
        {}};
    std::weak_ptr<bool> const guard = alive_;
    auto const sent = now();
    store_.write(write, [this, guard, sent](auto const& written) {
        if (guard.expired())
            return;
        bool const is_acquired =
            ok(written) &&
            value(written).status == kv_write_result::write_status::written;
        if (!is_acquired) {
            // The watch reports the leader; it may be this process, where the
            // answer to its write was lost.
            retry_later();
            return;
        }
        is_acquiring_ = false;
        scheduler_term const term{value(written).revision};
        leader_ =
            leader_info{term, self_.process, self_.address, self_.capacity};
        expected_capacity_ = self_.capacity;
        confirm(sent);
        become_leader(term);
    });
}

void leader_election::retry_later()
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.retry, [this, guard] {
        if (guard.expired())
            return;
        is_acquiring_ = false;
        set_leader(leader_);
    });
}

void leader_election::become_leader(scheduler_term term)
{
    if (has_resigned_)
        return;
    is_leader_ = true;
    led_term_ = term;
    loop_.cancel(renewal_);
    renewal_ = loop_.every(limits_.renewal, [this] { renew(); });
    log_event(log_level::info, "office_gained", {{"term", term.value}});
    confirm_leadership();
    callbacks_.on_gained(term);
}

void leader_election::lose_leadership()
{
    is_leader_ = false;
    loop_.cancel(renewal_);
    log_event(log_level::warning, "office_lost");
    callbacks_.on_lost();
}

void leader_election::renew()
{
    renew_lease();
    confirm_leadership();
}

void leader_election::renew_lease()
{
    std::weak_ptr<bool> const guard = alive_;
    auto const lease = lease_;
    store_.renew_lease(lease, [this, guard, lease](result<bool> const& kept) {
        if (guard.expired() || !is_leader_ || !(lease == lease_))
            return;
        if (!ok(kept))
            log_repeated_error("office_renewal_failed", failure(kept));
        else if (!value(kept))
            on_conflict();
    });
}

void leader_election::confirm_leadership()
{
    std::weak_ptr<bool> const guard = alive_;
    store_.get(
        leader_key,
        [this, guard, term = leader_->term, sent = now()](auto const& read) {
            bool const is_current =
                !guard.expired() && is_leader_ && leader_->term == term;
            if (is_current)
                apply_own_key(term, sent, read);
        });
}

void leader_election::apply_own_key(
    scheduler_term term, sending_time const& sent,
    result<std::optional<kv_item>> const& read)
{
    if (!ok(read)) {
        log_repeated_error("office_not_confirmed", failure(read));
        return;
    }
    auto const& item = value(read);
    if (item && item->revision == term.value)
        confirm(sent);
    else
        on_conflict();
}

void leader_election::on_conflict()
{
    if (!is_leader_)
        return;
    leader_.reset();
    lose_leadership();
    try_to_acquire();
}

void leader_election::resign(std::function<void()> on_done)
{
    has_resigned_ = true;
    // Where the key can't be removed it expires with its lease.
    loop_.cancel(renewal_);
    if (!is_leader_) {
        on_done();
        return;
    }
    kv_write const write{{{leader_key, leader_->term.value}}, {}, {leader_key}};
    std::weak_ptr<bool> const guard = alive_;
    store_.write(
        write, [guard, on_done = std::move(on_done)](auto const& written) {
            if (!ok(written))
                log_error("office_resignation_failed", failure(written));
            if (!guard.expired())
                on_done();
        });
}

} // namespace sycamorespar
