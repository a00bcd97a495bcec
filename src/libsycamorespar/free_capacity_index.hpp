/// An index of the workers' free capacity, to find a worker for a demand
/// without visiting all of them.
#ifndef SYCAMORESPAR_FREE_CAPACITY_INDEX_HPP
#define SYCAMORESPAR_FREE_CAPACITY_INDEX_HPP

#include "libsycamorespar/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorespar::detail {

/// A binary tree: each leaf holds the free capacity of one worker, and each
/// inner node the largest free amount of each resource below it. An update
/// costs O(log n).
class free_capacity_index
{
public:
    /// Adds a closed leaf.
    /// \return its position, which remains valid as long as the index exists.
    std::size_t add_leaf();

    /// Sets the free capacity of a leaf.
    void set(std::size_t leaf, resources const& available);

    /// Closes a leaf, so that not even an empty demand fits there.
    void close(std::size_t leaf);

    /// True if some leaf has enough of each resource, not necessarily the same
    /// leaf for all of them. If false, the demand certainly fits nowhere.
    bool may_fit(resources const& demand) const;

    /// Searches for a leaf where the demand fits, in an order that the random
    /// bits determine.
    /// \return none if no leaf fits or the bound on visited nodes is reached.
    std::optional<std::size_t>
    find(resources const& demand, std::uint64_t random_bits) const;

private:
    void grow();
    void refresh(std::size_t node);

    std::size_t used_ = 0;
    std::size_t leaves_ = 0;
    std::vector<resources> largest_;
};

} // namespace sycamorespar::detail

#endif
