/// Both adaptive rules use latency relative to the other upstreams instead of
/// absolute latency, so that heavier requests don't lower all limits at once.
#include "libsycamorespar/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamorespar {

namespace {

constexpr double max_slowness = 1.5;
constexpr double decrease_factor = 0.8;
constexpr double probing_headroom = 0.5;
constexpr double smoothing = 0.3;

} // namespace

double additive_limit_rule(limit_sample const& sample)
{
    if (sample.slowness > max_slowness)
        return sample.limit * decrease_factor;
    bool const is_used =
        static_cast<double>(sample.in_flight) + 1.0 >= sample.limit;
    return is_used ? sample.limit + 1.0 : sample.limit;
}

double gradient_limit_rule(limit_sample const& sample)
{
    double const gradient =
        std::clamp(max_slowness / sample.slowness, 0.5, 1.0);
    double const target =
        sample.limit * gradient + probing_headroom * std::sqrt(sample.limit);
    return sample.limit + smoothing * (target - sample.limit);
}

double fixed_limit_rule(limit_sample const& sample)
{
    return sample.limit;
}

concurrency_limit::concurrency_limit(limit_rule rule) : rule_(std::move(rule))
{}

void concurrency_limit::set_slots(std::uint32_t slots)
{
    if (slots == slots_)
        return;
    bool const is_first = slots_ == 0;
    slots_ = slots;
    auto const max_limit = static_cast<double>(slots);
    limit_ = is_first ? max_limit : std::min(limit_, max_limit);
}

void concurrency_limit::on_answer(double slowness, std::uint32_t in_flight)
{
    ++answers_since_step_;
    if (slots_ == 0 || answers_since_step_ < current())
        return;
    answers_since_step_ = 0;
    double const next = rule_({limit_, slowness, in_flight});
    limit_ = std::clamp(next, 1.0, static_cast<double>(slots_));
}

std::uint32_t concurrency_limit::current() const
{
    return static_cast<std::uint32_t>(limit_);
}

} // namespace sycamorespar
