/// The table is a single value in the store. If the answer to a write is lost,
/// the value is read back: if the stored text is the one that was sent, the
/// edit is committed. If not, the edit is retried, and the comparison of
/// revisions ensures that at most one of the two writes succeeds.
#include "spar-entry/table_replica.hpp"

#include "common/log.hpp"
#include "operators/table_json.hpp"

namespace sycamorespar {

namespace {

constexpr std::chrono::milliseconds poll_period{500};
constexpr std::chrono::milliseconds retry_delay{200};
/// Limit on the attempts of an edit, with conflicts and lost answers counted.
constexpr int max_edit_attempts = 20;

} // namespace

table_replica::table_replica(
    event_loop& loop, kv_store const& store, changed_hook on_changed)
    : loop_(loop), store_(store), on_changed_(std::move(on_changed))
{}

void table_replica::start()
{
    refresh([] {});
    loop_.every(poll_period, [this] { refresh([] {}); });
}

void table_replica::refresh(std::function<void()> on_done)
{
    store_.get(key, [this, on_done = std::move(on_done)](auto const& answer) {
        if (!ok(answer))
            log_error("table_read_failed", failure(answer));
        else if (value(answer))
            apply_stored(*value(answer));
        on_done();
    });
}

void table_replica::apply_stored(kv_item const& stored)
{
    if (stored.revision <= read_mod_revision_)
        return;
    auto const adopted = adopt(stored.value);
    if (!ok(adopted)) {
        log_error("table_refused", failure(adopted));
        return;
    }
    auto const parsed = decode_table(stored.value);
    read_mod_revision_ = stored.revision;
    read_revision_ = value(parsed).revision;
}

result<done> table_replica::adopt(std::string const& text)
{
    auto const adopted = copy_.adopt_text(text);
    if (!ok(adopted))
        return failure(adopted);
    if (!value(adopted))
        return done{};
    log_event(
        log_level::info, "table_adopted",
        {{"revision", copy_.current().revision.value}});
    on_changed_(copy_.policy());
    return done{};
}

std::optional<kv_revision>
table_replica::store_revision(table_revision of) const
{
    if (of != read_revision_)
        return std::nullopt;
    return read_mod_revision_;
}

void table_replica::edit(
    table_edit const& wanted, std::function<void(edit_result)> on_done)
{
    try_edit({wanted, std::move(on_done), 0});
}

void table_replica::try_edit(pending_edit edit)
{
    ++edit.attempts;
    store_.get(key, [this, edit = std::move(edit)](auto const& answer) {
        if (!ok(answer)) {
            error fault = failure(answer);
            fault.effect = outcome::not_run;
            edit.on_done(fault);
            return;
        }
        if (value(answer))
            apply_stored(*value(answer));
        auto next = apply_edit(copy_.current(), edit.wanted);
        if (auto const* refused = std::get_if<edit_refusal>(&next)) {
            edit.on_done(*refused);
            return;
        }
        commit_edit(edit, std::get<table>(next));
    });
}

void table_replica::commit_edit(pending_edit edit, table const& next)
{
    auto encoded = encode_table(next);
    if (!ok(encoded)) {
        edit.on_done(failure(encoded));
        return;
    }
    std::string const text = sycamorespar::take(std::move(encoded));
    kv_write write;
    write.expected.push_back({key, read_mod_revision_});
    write.puts.push_back({key, text, {}});
    store_.write(
        write, [this, edit = std::move(edit), text](auto const& answer) {
            if (!ok(answer)) {
                resolve_unknown(edit, text);
                return;
            }
            if (value(answer).status ==
                kv_write_result::write_status::written) {
                apply_stored({key, text, value(answer).revision, 0});
                edit.on_done(copy_.current().revision);
                return;
            }
            if (edit.attempts >= max_edit_attempts) {
                edit.on_done(error{
                    "table.commit", key,
                    "too many other edits at the same time"});
                return;
            }
            try_edit(edit);
        });
}

void table_replica::resolve_unknown(pending_edit edit, std::string const& text)
{
    ++edit.attempts;
    if (edit.attempts >= max_edit_attempts) {
        edit.on_done(error{
            "table.commit", key, "the store did not answer", outcome::unknown});
        return;
    }
    loop_.after(retry_delay, [this, edit = std::move(edit), text] {
        store_.get(key, [this, edit, text](auto const& answer) {
            if (!ok(answer)) {
                resolve_unknown(edit, text);
                return;
            }
            bool const applied = value(answer) && value(answer)->value == text;
            if (value(answer))
                apply_stored(*value(answer));
            if (applied) {
                edit.on_done(copy_.current().revision);
                return;
            }
            // Another edit was committed first, or the write is still in
            // flight: the comparison lets at most one of the two succeed.
            try_edit(edit);
        });
    });
}

} // namespace sycamorespar
