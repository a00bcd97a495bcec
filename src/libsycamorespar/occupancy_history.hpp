/// What ran on one worker when, so that late reports can be attributed.
#ifndef SYCAMORESPAR_OCCUPANCY_HISTORY_HPP
#define SYCAMORESPAR_OCCUPANCY_HISTORY_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/fleet_view.hpp"

#include <deque>
#include <vector>

namespace sycamorespar {

/// How strongly a class was present on a worker.
struct class_presence
{
    /// The class.
    class_number task_class;
    /// The part of the worker's processors that it used, 0 to 1.
    double share = 0.0;
};

/// The recent past of one worker, kept by the agent beside it.
class occupancy_history
{
public:
    /// \param retention  how far back reports may reach.
    explicit occupancy_history(duration retention) : retention_(retention) {}

    /// Records what runs from now on.
    void record(monotonic_time now, std::vector<class_presence> presences);

    /// The mean presence of each class over a past span.
    /// \return empty where the span reaches further back than is kept.
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
