/// Plain routers to compare with: one queue in order of arrival, and a simple
/// choice among the agents that seem to have a free slot.
#ifndef SYCAMORESPAR_BENCH_BASELINE_ROUTER_HPP
#define SYCAMORESPAR_BENCH_BASELINE_ROUTER_HPP

#include "bench/request_world.hpp"

namespace sycamorespar::bench {

/// How a plain router chooses.
enum class baseline_rule
{
    random,
    round_robin,
    /// The least own and last reported requests in flight.
    least_loaded,
    /// The least own requests in flight, and one queue for each row: the
    /// project's first router.
    first_router
};

/// Makes plain routers.
router_factory make_baseline_router(baseline_rule rule);

} // namespace sycamorespar::bench

#endif
