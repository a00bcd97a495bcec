/// The budget is earned per request, not per time, so that extra copies stay a
/// fixed fraction of the load whatever its size.
#include "libsycamorespar/retry_budget.hpp"

#include <algorithm>

namespace sycamorespar {

retry_budget::retry_budget(retry_budget_limits const& limits)
    : limits_(limits), left_(limits.max_saved)
{}

void retry_budget::earn()
{
    left_ = std::min(left_ + limits_.ratio, limits_.max_saved);
}

bool retry_budget::spend()
{
    if (left_ < 1.0)
        return false;
    left_ -= 1.0;
    return true;
}

} // namespace sycamorespar
