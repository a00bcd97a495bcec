/// The history of the classes that ran on a worker, so that delayed reports can
/// be attributed to what ran at the time.
#ifndef SYCAMORESPAR_OCCUPANCY_HISTORY_HPP
#define SYCAMORESPAR_OCCUPANCY_HISTORY_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/fleet_view.hpp"

#include <deque>
#include <vector>

namespace sycamorespar {

/// A class's share of a worker's processors.
struct class_presence
{
    /// The class.
    class_number task_class;
    /// The fraction of the worker's processors that it used, from 0 to 1.
    double share = 0.0;
};

/// The recent history of one worker, recorded by the agent on its machine.
class occupancy_history
{
public:
    /// \param retention  the age up to which intervals can be looked up.
    explicit occupancy_history(duration retention) : retention_(retention) {}

    /// Records the classes that run from now on.
    void record(monotonic_time now, std::vector<class_presence> presences);

    /// The mean share of each class over a past time span.
    /// \return empty if the span starts before the recorded history.
    std::vector<class_presence>
    mean_presence(monotonic_time from, monotonic_time to) const;

private:
    struct interval
    {
        monotonic_time from;
        std::vector<class_presence> presences;
    };

    duration retention_;
    std::deque<interval> intervals_;
};

} // namespace sycamorespar

#endif
