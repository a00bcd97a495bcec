/// A segment tree of the largest free amounts.
#include "libsycamorespar/free_capacity_index.hpp"

#include <algorithm>
#include <array>
#include <bit>

namespace sycamorespar::detail {

namespace {

constexpr resources closed{-1, -1, -1};

// The maxima of different resources may come from different workers, so a
// search may enter subtrees in which no single worker fits. The bound limits
// the cost of such a search.
constexpr std::size_t visit_bound = 256;

// A depth-first search keeps one sibling per level on its stack.
constexpr std::size_t stack_bound = 66;

resources largest_of(resources const& left, resources const& right)
{
    return {
        std::max(left.millicores, right.millicores),
        std::max(left.memory_mib, right.memory_mib),
        std::max(left.accelerators, right.accelerators)};
}

} // namespace

std::size_t free_capacity_index::add_leaf()
{
    if (used_ == leaves_)
        grow();
    return used_++;
}

void free_capacity_index::set(std::size_t leaf, resources const& available)
{
    auto node = leaves_ + leaf;
    largest_[node] = available;
    for (node /= 2; node > 0; node /= 2)
        refresh(node);
}

void free_capacity_index::close(std::size_t leaf)
{
    set(leaf, closed);
}

bool free_capacity_index::may_fit(resources const& demand) const
{
    return leaves_ > 0 && fits(demand, largest_[1]);
}

std::optional<std::size_t> free_capacity_index::find(
    resources const& demand, std::uint64_t random_bits) const
{
    if (!may_fit(demand))
        return std::nullopt;
    std::array<std::size_t, stack_bound> stack;
    std::size_t depth = 0;
    stack[depth++] = 1;
    for (std::size_t visits = 0; depth > 0 && visits < visit_bound; ++visits) {
        auto const node = stack[--depth];
        if (!fits(demand, largest_[node]))
            continue;
        if (node >= leaves_)
            return node - leaves_;
        auto const level = std::bit_width(node) - 1;
        auto const first = (random_bits >> level) & 1U;
        stack[depth++] = 2 * node + (1U - first);
        stack[depth++] = 2 * node + first;
    }
    return std::nullopt;
}

// Doubles the number of leaves, so that adding one costs O(1) on average.
void free_capacity_index::grow()
{
    auto const before = leaves_;
    auto const after = std::max<std::size_t>(1, 2 * before);
    std::vector<resources> grown(2 * after, closed);
    for (std::size_t leaf = 0; leaf < before; ++leaf)
        grown[after + leaf] = largest_[before + leaf];
    leaves_ = after;
    largest_ = std::move(grown);
    for (auto node = leaves_ - 1; node > 0; --node)
        refresh(node);
}

void free_capacity_index::refresh(std::size_t node)
{
    largest_[node] = largest_of(largest_[2 * node], largest_[2 * node + 1]);
}

} // namespace sycamorespar::detail
