/// A tree of the largest free amounts, to find a worker with room quickly.
#ifndef SYCAMORESPAR_FREE_CAPACITY_INDEX_HPP
#define SYCAMORESPAR_FREE_CAPACITY_INDEX_HPP

#include "libsycamorespar/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorespar::detail {

/// Leaves hold the free amounts of one worker each, inner nodes the largest
/// amount of each resource below them. An update costs O(log n).
class free_capacity_index
{
public:
    /// Adds a leaf without room.
    /// \return its position, which stays valid for the life of the index.
    std::size_t add_leaf();

    /// Sets what is free at a leaf.
    void set(std::size_t leaf, resources const& available);

    /// Sets that nothing may be placed at a leaf, not even an empty demand.
    void close(std::size_t leaf);

    /// True where each resource has some leaf with that much room. A demand
    /// that this refuses fits nowhere; one that it lets through may not fit.
    bool may_fit(resources const& demand) const;

    /// Looks for a leaf with room, in a random order given by the bits.
    /// \return none where no leaf fits or the bound on visits is reached.
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
