/// An adaptive limit on an entry's concurrent requests to one upstream.
#ifndef SYCAMORESPAR_CONCURRENCY_LIMIT_HPP
#define SYCAMORESPAR_CONCURRENCY_LIMIT_HPP

#include <cstdint>
#include <functional>

namespace sycamorespar {

/// The input of a limit rule.
struct limit_sample
{
    /// The current limit.
    double limit = 1.0;
    /// Recent latency as a multiple of the rows' usual latency.
    double slowness = 1.0;
    /// Estimated number of requests in flight at the upstream.
    std::uint32_t in_flight = 0;
};

/// Returns the next limit, which the caller clamps to the range from 1 to the
/// number of slots.
using limit_rule = std::function<double(limit_sample const&)>;

/// Additive increase, multiplicative decrease: raises a limit that is in use by
/// 1, and lowers the limit by a fixed factor when latency is too high.
double additive_limit_rule(limit_sample const& sample);

/// Moves the limit smoothly towards a target that falls with rising slowness
/// and includes some headroom for probing.
double gradient_limit_rule(limit_sample const& sample);

/// Leaves the limit unchanged.
double fixed_limit_rule(limit_sample const& sample);

/// The limit of one upstream, from 1 to its number of slots.
class concurrency_limit
{
public:
    explicit concurrency_limit(limit_rule rule);

    /// Sets the maximum number of concurrent requests of the upstream.
    void set_slots(std::uint32_t slots);
    /// Counts an answer. The rule is applied once for every current() answers.
    void on_answer(double slowness, std::uint32_t in_flight);
    /// The number of requests that may be in flight.
    std::uint32_t current() const;

private:
    limit_rule rule_;
    std::uint32_t slots_ = 0;
    double limit_ = 0.0;
    std::uint32_t answers_since_step_ = 0;
};

} // namespace sycamorespar

#endif
