/// Baseline routers to compare the project's router with: requests are served
/// first come, first served, and go to one of the agents with a free slot.
#ifndef SYCAMORESPAR_BENCH_BASELINE_ROUTER_HPP
#define SYCAMORESPAR_BENCH_BASELINE_ROUTER_HPP

#include "bench/request_world.hpp"

namespace sycamorespar::bench {

/// How a baseline router chooses among the agents with a free slot.
enum class baseline_rule
{
    /// A random agent.
    random,
    /// The agents in turn.
    round_robin,
    /// The agent with the fewest requests in flight: this router's own plus
    /// those in the agent's last report.
    least_loaded,
    /// The agent with the fewest of this router's own requests in flight, with
    /// one queue per row: the algorithm of the project's first router.
    first_router
};

/// Returns a factory of baseline routers with the given rule.
router_factory make_baseline_router(baseline_rule rule);

} // namespace sycamorespar::bench

#endif
