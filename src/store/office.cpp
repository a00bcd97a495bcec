/// The key's revision is the term: the store has one counter, so a later
/// holder's term is always higher. Authority counts from when a renewal was
/// sent, by a clock that goes on while the machine is suspended.
#include "store/office.hpp"

#include "common/json_text.hpp"
#include "common/log.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamorespar {

namespace {

using nlohmann::json;

/// A larger process asks the holder of this term for the office.
struct office_claim
{
    scheduler_term from;
    std::int64_t capacity = 0;
};

std::string write_claim(office_claim const& claim)
{
    json const out = {{"from", claim.from.value}, {"capacity", claim.capacity}};
    return out.dump();
}

std::optional<office_claim> read_claim(kv_item const& item)
{
    auto const parsed = parse_json(item.value);
    if (!ok(parsed))
        return std::nullopt;
    try {
        auto const& from = value(parsed);
        return office_claim{
            scheduler_term{from.at("from").get<std::uint64_t>()},
            from.at("capacity").get<std::int64_t>()};
    } catch (json::exception const&) {
        return std::nullopt;
    }
}

} // namespace

std::string write_office(office_candidate const& holder)
{
    json const out = {
        {"process", holder.process.value},
        {"address", holder.address.address},
        {"port", holder.address.port},
        {"capacity", holder.capacity}};
    return out.dump();
}

std::optional<office_holder> read_office(kv_item const& item)
{
    auto const parsed = parse_json(item.value);
    if (!ok(parsed))
        return std::nullopt;
    try {
        auto const& from = value(parsed);
        return office_holder{
            scheduler_term{item.revision},
            incarnation{from.at("process").get<std::uint64_t>()},
            {from.at("address").get<std::string>(),
             from.at("port").get<std::uint16_t>()},
            from.value("capacity", std::int64_t{0})};
    } catch (json::exception const&) {
        return std::nullopt;
    }
}

office::office(
    event_loop& loop, kv_store const& store, office_candidate self,
    observer told, office_limits const& limits)
    : loop_(loop), store_(store), self_(std::move(self)),
      told_(std::move(told)), limits_(limits),
      alive_(std::make_shared<bool>(true))
{
    watch_ = std::make_unique<prefix_watch>(
        loop, store, office_key,
        prefix_watch::observer{
            [this](auto const& items) { take_listed(items); },
            [this](auto const& change) {
                take_change(change);
            }});
}

office::~office()
{
    loop_.cancel(renewal_);
}

bool office::has_authority() const
{
    return is_held_ &&
           event_loop::time_since_boot() - confirmed_at_ < limits_.authority;
}

void office::take_listed(std::vector<kv_item> const& items)
{
    std::optional<office_holder> found;
    for (auto const& item : items) {
        if (item.key == office_key)
            found = read_office(item);
    }
    set_holder(found);
    for (auto const& item : items)
        take_claim(item);
}

void office::take_change(kv_change const& change)
{
    if (!change.is_removal)
        take_claim(change.item);
    if (change.item.key != office_key)
        return;
    // A change that is older than the term known here has been overtaken.
    if (holder_ && change.item.revision < holder_->term.value)
        return;
    set_holder(change.is_removal ? std::nullopt : read_office(change.item));
}

void office::set_holder(std::optional<office_holder> holder)
{
    holder_ = std::move(holder);
    bool const is_ours = holder_ && holder_->process == self_.process;
    if (is_held_ && !is_ours)
        lose();
    if (!is_held_ && is_ours && !is_trying_)
        gain(holder_->term);
    if (!holder_) {
        take_in_turn();
        return;
    }
    usual_capacity_ = holder_->capacity;
    if (is_earlier_life(*holder_))
        try_to_take();
    else
        claim_later();
}

// This process listens where that holder did, so the holder has ended; its
// lease need not be waited for.
bool office::is_earlier_life(office_holder const& holder) const
{
    return holder.address == self_.address && holder.process != self_.process;
}

bool office::is_larger(std::int64_t capacity, std::int64_t than) const
{
    return static_cast<double>(capacity) >
           limits_.larger_by * static_cast<double>(than);
}

// The holder answers every runner: a small process, or one behind a narrow
// link, answers late, and all work waits for it. Small ones leave a free
// office to larger ones for a moment.
void office::take_in_turn()
{
    if (!is_larger(usual_capacity_, self_.capacity)) {
        try_to_take();
        return;
    }
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.precedence, [this, guard] {
        if (!guard.expired() && !holder_)
            try_to_take();
    });
}

void office::claim_later()
{
    if (is_held_ || has_resigned_ || claimed_from_ == holder_->term ||
        !is_larger(self_.capacity, holder_->capacity))
        return;
    claimed_from_ = holder_->term;
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.claim_delay, [this, guard, from = claimed_from_] {
        bool const still_holds =
            !guard.expired() && holder_ && holder_->term == from;
        if (still_holds && !has_resigned_)
            claim();
    });
}

void office::claim()
{
    kv_write const write{
        {{office_key, claimed_from_.value}},
        {{office_claim_key, write_claim({claimed_from_, self_.capacity}), {}}},
        {}};
    log_event(
        log_level::info, "office_claimed", {{"from", claimed_from_.value}});
    std::weak_ptr<bool> const guard = alive_;
    store_.write(write, [this, guard](result<kv_write_result> const& written) {
        if (guard.expired() || ok(written))
            return;
        log_error("office_not_claimed", failure(written));
        // The next change of the office, or of its holder's view, tries again.
        claimed_from_ = {};
    });
}

void office::take_claim(kv_item const& item)
{
    if (item.key != office_claim_key || !is_held_)
        return;
    auto const claim = read_claim(item);
    if (!claim || claim->from != holder_->term ||
        !is_larger(claim->capacity, self_.capacity))
        return;
    usual_capacity_ = claim->capacity;
    hand_over();
}

void office::hand_over()
{
    log_event(
        log_level::info, "office_handed_over",
        {{"term", holder_->term.value}, {"capacity", usual_capacity_}});
    kv_write const write{
        {{office_key, holder_->term.value}},
        {},
        {office_key, office_claim_key}};
    store_.write(write, [](result<kv_write_result> const& written) {
        // The watch tells of the removal; without one the office stays held.
        if (!ok(written))
            log_error("office_not_handed_over", failure(written));
    });
}

void office::try_to_take()
{
    if (is_trying_ || has_resigned_ || is_held_)
        return;
    is_trying_ = true;
    std::weak_ptr<bool> const guard = alive_;
    auto const sent_at = event_loop::time_since_boot();
    store_.grant_lease(
        limits_.ttl, [this, guard, sent_at](result<kv_lease> const& granted) {
            if (guard.expired())
                return;
            if (!ok(granted)) {
                retry_later();
                return;
            }
            confirmed_at_ = sent_at;
            take_with(value(granted));
        });
}

void office::take_with(kv_lease const& lease)
{
    lease_ = lease.id;
    bool const is_free = !holder_ || is_earlier_life(*holder_);
    if (!is_free) {
        is_trying_ = false;
        return;
    }
    kv_write const write{
        {{office_key, holder_ ? holder_->term.value : 0}},
        {{office_key, write_office(self_), lease.id}},
        {}};
    std::weak_ptr<bool> const guard = alive_;
    store_.write(write, [this, guard](result<kv_write_result> const& written) {
        if (guard.expired())
            return;
        bool const is_taken =
            ok(written) &&
            value(written).status == kv_write_result::write_status::written;
        if (!is_taken) {
            // The watch tells who holds it, this process perhaps.
            retry_later();
            return;
        }
        is_trying_ = false;
        scheduler_term const term{value(written).revision};
        holder_ =
            office_holder{term, self_.process, self_.address, self_.capacity};
        usual_capacity_ = self_.capacity;
        gain(term);
    });
}

void office::retry_later()
{
    std::weak_ptr<bool> const guard = alive_;
    loop_.after(limits_.retry, [this, guard] {
        if (guard.expired())
            return;
        is_trying_ = false;
        set_holder(holder_);
    });
}

void office::gain(scheduler_term term)
{
    if (has_resigned_)
        return;
    is_held_ = true;
    loop_.cancel(renewal_);
    renewal_ = loop_.every(limits_.renewal, [this] { renew(); });
    log_event(log_level::info, "office_gained", {{"term", term.value}});
    told_.on_gained(term);
}

void office::lose()
{
    is_held_ = false;
    loop_.cancel(renewal_);
    log_event(log_level::warning, "office_lost");
    told_.on_lost();
}

void office::renew()
{
    std::weak_ptr<bool> const guard = alive_;
    auto const sent_at = event_loop::time_since_boot();
    auto const lease = lease_;
    store_.renew_lease(
        lease, [this, guard, sent_at, lease](result<bool> const& kept) {
            if (guard.expired() || !is_held_ || !(lease == lease_))
                return;
            if (!ok(kept)) {
                log_repeated_error("office_renewal_failed", failure(kept));
                return;
            }
            if (value(kept))
                confirmed_at_ = sent_at;
            else
                on_conflict();
        });
}

void office::on_conflict()
{
    if (!is_held_)
        return;
    holder_.reset();
    lose();
    try_to_take();
}

void office::resign(std::function<void()> on_done)
{
    has_resigned_ = true;
    if (!is_held_) {
        on_done();
        return;
    }
    kv_write const write{{{office_key, holder_->term.value}}, {}, {office_key}};
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
