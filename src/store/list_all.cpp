/// Each page's answer carries what was read so far to the next call.
#include "store/list_all.hpp"

#include <iterator>
#include <utility>

namespace sycamorespar {

namespace {

struct reading
{
    kv_store const& store;
    std::string prefix;
    kv_store::callback<kv_listing> on_result;
    kv_listing read;
    bool has_first = false;
};

void read_page(reading so_far, std::string const& after_key)
{
    auto const& store = so_far.store;
    auto const prefix = so_far.prefix;
    store.list(
        prefix, after_key,
        [so_far = std::move(so_far)](result<kv_page> given) mutable {
            if (!ok(given)) {
                so_far.on_result(failure(given));
                return;
            }
            auto page = take(std::move(given));
            if (!std::exchange(so_far.has_first, true))
                so_far.read.revision = page.revision;
            bool const has_more = page.has_more && !page.items.empty();
            auto& items = so_far.read.items;
            items.insert(
                items.end(), std::make_move_iterator(page.items.begin()),
                std::make_move_iterator(page.items.end()));
            if (has_more) {
                auto const last = items.back().key;
                read_page(std::move(so_far), last);
                return;
            }
            so_far.on_result(std::move(so_far.read));
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
