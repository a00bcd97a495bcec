/// The history of the classes that ran on a worker.
#include "libsycamorespar/occupancy_history.hpp"

#include <algorithm>

namespace sycamorespar {

namespace {

void add_share(std::vector<class_presence>& sums, class_number of, double share)
{
    auto const found =
        std::find_if(sums.begin(), sums.end(), [&](class_presence const& sum) {
            return sum.task_class == of;
        });
    if (found == sums.end())
        sums.push_back({of, share});
    else
        found->share += share;
}

double seconds_between(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void occupancy_history::record(
    monotonic_time now, std::vector<class_presence> presences)
{
    intervals_.push_back({now, std::move(presences)});
    // Keeps the interval that covers the start of the retention period.
    while (intervals_.size() > 1 && intervals_[1].from + retention_ <= now)
        intervals_.pop_front();
}

std::vector<class_presence>
occupancy_history::mean_presence(monotonic_time from, monotonic_time to) const
{
    if (intervals_.empty() || from < intervals_.front().from || to <= from)
        return {};
    std::vector<class_presence> means;
    auto const length = seconds_between(from, to);
    auto next = std::upper_bound(
        intervals_.begin(), intervals_.end(), from,
        [](monotonic_time time, interval const& entry) {
            return time < entry.from;
        });
    for (auto at = next - 1; at != intervals_.end() && at->from < to; ++at) {
        auto const begin = std::max(from, at->from);
        auto const end =
            at + 1 == intervals_.end() ? to : std::min(to, (at + 1)->from);
        auto const part = seconds_between(begin, end) / length;
        for (auto const& presence : at->presences)
            add_share(means, presence.task_class, presence.share * part);
    }
    return means;
}

} // namespace sycamorespar
