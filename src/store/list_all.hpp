/// Reads all keys with a prefix, page by page.
#ifndef SYCAMORESPAR_STORE_LIST_ALL_HPP
#define SYCAMORESPAR_STORE_LIST_ALL_HPP

#include "common/kv_store.hpp"

#include <string>
#include <vector>

namespace sycamorespar {

/// All keys with a prefix. Not a snapshot: a key that changes while the pages
/// are read may be listed with its old or its new value.
struct kv_listing
{
    /// The items, sorted by key.
    std::vector<kv_item> items;
    /// The store's revision at the first page; changes after it complete the
    /// listing.
    kv_revision revision = 0;
};

/// Reads all pages; stops with the error of the first page that fails. The
/// store must outlive the call.
void list_all(
    kv_store const& store, std::string const& prefix,
    kv_store::callback<kv_listing> on_result);

} // namespace sycamorespar

#endif
