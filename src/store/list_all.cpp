/// Implements list_all(): the items read so far move from one page's callback
/// to the next call.
#include "store/list_all.hpp"

#include <iterator>
#include <utility>

namespace sycamorespar {

namespace {

struct list_state
{
    kv_store const& store;
    std::string prefix;
    kv_store::callback<kv_listing> on_result;
    kv_listing listing;
    bool has_revision = false;
};

void read_page(list_state state, std::string const& after_key)
{
    auto const& store = state.store;
    auto const prefix = state.prefix;
    store.list(
        prefix, after_key,
        [state = std::move(state)](result<kv_page> answer) mutable {
            if (!ok(answer)) {
                state.on_result(failure(answer));
                return;
            }
            auto page = take(std::move(answer));
            if (!std::exchange(state.has_revision, true))
                state.listing.revision = page.revision;
            bool const has_more = page.has_more && !page.items.empty();
            auto& items = state.listing.items;
            items.insert(
                items.end(), std::make_move_iterator(page.items.begin()),
                std::make_move_iterator(page.items.end()));
            if (has_more) {
                auto const last = items.back().key;
                read_page(std::move(state), last);
                return;
            }
            state.on_result(std::move(state.listing));
        });
}

} // namespace

void list_all(
    kv_store const& store, std::string const& prefix,
    kv_store::callback<kv_listing> on_result)
{
    read_page({store, prefix, std::move(on_result), {}, false}, {});
}

} // namespace sycamorespar
