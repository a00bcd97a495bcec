/// The lease's expiry is computed from the time at which its renewal was
/// requested, and its lifetime is shortened by the maximum clock rate error:
/// this process therefore stops relying on the lease before the store gives
/// the keys under it to another process.
#include "spar-entry/registration.hpp"

#include "common/log.hpp"
#include "libsycamorespar/permit.hpp"
#include "store/list_all.hpp"

#include <nlohmann/json.hpp>

namespace sycamorespar {

namespace {

constexpr int renewals_per_lifetime = 4;
constexpr std::chrono::milliseconds retry_delay{500};
constexpr std::chrono::seconds entries_period{2};

} // namespace

result<entry_record> read_entry_record(kv_item const& from)
{
    auto const parsed = nlohmann::json::parse(from.value, nullptr, false);
    bool const valid =
        parsed.is_object() && parsed.contains("peer_address") &&
        parsed["peer_address"].is_string() && parsed.contains("address") &&
        parsed["address"].is_string() && parsed.contains("port") &&
        parsed["port"].is_number_unsigned();
    if (!valid)
        return error{"store.entry_record", from.key, "malformed entry record"};
    std::string const prefix = entries_prefix;
    return entry_record{
        entry_id{from.key.substr(prefix.size())},
        parsed["peer_address"].get<std::string>(),
        {parsed["address"].get<std::string>(),
         parsed["port"].get<std::uint16_t>()}};
}

std::string write_entry_record(entry_record const& from)
{
    nlohmann::json const record{
        {"peer_address", from.peer_address},
        {"address", from.http.address},
        {"port", from.http.port}};
    return record.dump();
}

registration::registration(
    event_loop& loop, kv_store const& store, std::chrono::seconds ttl,
    lost_hook on_lost)
    : loop_(loop), store_(store), ttl_(ttl), on_lost_(std::move(on_lost))
{}

void registration::start(entry_record const& self)
{
    self_ = self;
    request_lease();
    loop_.every(
        duration(ttl_) / renewals_per_lifetime, [this] { keep_alive(); });
    loop_.every(entries_period, [this] { read_entries(); });
}

bool registration::is_live(monotonic_time now) const
{
    return lease_.value != 0 && now < live_until_;
}

void registration::request_lease()
{
    if (requesting_lease_ || stopping_)
        return;
    requesting_lease_ = true;
    monotonic_time const requested_at = event_loop::now();
    store_.grant_lease(ttl_, [this, requested_at](auto const& answer) {
        requesting_lease_ = false;
        if (!ok(answer)) {
            log_error("lease_grant_failed", failure(answer));
            loop_.after(retry_delay, [this] { request_lease(); });
            return;
        }
        lease_ = value(answer).id;
        live_until_ = requested_at +
                      duration(ttl_) * 100 / (100 + clock_rate_error_percent);
        put_record();
    });
}

void registration::put_record()
{
    kv_write write;
    write.puts.push_back(
        {entries_prefix + self_.id.value, write_entry_record(self_), lease_});
    store_.write(write, [this](auto const& answer) {
        bool const is_written =
            ok(answer) &&
            value(answer).status == kv_write_result::write_status::written;
        if (is_written) {
            log_event(log_level::info, "entry_registered");
            read_entries();
            return;
        }
        if (ok(answer))
            log_event(log_level::warning, "entry_register_refused");
        else
            log_error("entry_register_failed", failure(answer));
        loop_.after(retry_delay, [this] {
            if (lease_.value != 0 && !stopping_)
                put_record();
        });
    });
}

void registration::on_lease_lost()
{
    log_event(log_level::warning, "lease_lost");
    lease_ = {};
    on_lost_();
    request_lease();
}

void registration::keep_alive()
{
    if (lease_.value == 0 || stopping_)
        return;
    monotonic_time const requested_at = event_loop::now();
    auto const renewed_lease = lease_;
    store_.renew_lease(
        renewed_lease, [this, requested_at, renewed_lease](auto const& answer) {
            if (renewed_lease != lease_)
                return;
            if (ok(answer) && value(answer)) {
                live_until_ = std::max(
                    live_until_,
                    requested_at + duration(ttl_) * 100 /
                                       (100 + clock_rate_error_percent));
                return;
            }
            if (ok(answer))
                on_lease_lost();
            else
                log_error("lease_renew_failed", failure(answer));
        });
}

void registration::read_entries()
{
    list_all(store_, entries_prefix, [this](auto const& answer) {
        if (!ok(answer))
            return;
        entries_.clear();
        for (kv_item const& each : value(answer).items) {
            auto record = read_entry_record(each);
            if (ok(record))
                entries_.emplace(value(record).id, value(record));
        }
    });
}

void registration::stop(std::function<void()> const& on_done)
{
    stopping_ = true;
    if (lease_.value == 0) {
        on_done();
        return;
    }
    store_.revoke_lease(lease_, [on_done](auto const& answer) {
        if (!ok(answer))
            log_error("lease_revoke_failed", failure(answer));
        on_done();
    });
}

} // namespace sycamorespar
