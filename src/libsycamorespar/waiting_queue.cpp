/// Implements waiting_queue.
#include "libsycamorespar/waiting_queue.hpp"

namespace sycamorespar {

void waiting_queue::insert(
    waiting_position const& position, std::uint32_t index)
{
    if (steps_[position].tasks.insert(index).second)
        ++size_;
}

void waiting_queue::erase_job(waiting_position position)
{
    auto const job = position.step.job;
    for (bool const is_short_lived : {false, true}) {
        position.is_short_lived = is_short_lived;
        position.step = {job, 0, 0, 0};
        auto next = steps_.lower_bound(position);
        while (next != steps_.end() && next->first.step.job == job)
            next = erase_step(next);
    }
}

void waiting_queue::clear()
{
    steps_.clear();
    size_ = 0;
}

void waiting_queue::forget_full_steps()
{
    for (auto& [position, step] : steps_)
        step.is_full = false;
}

void waiting_queue::erase_task(container::iterator from, std::uint32_t index)
{
    size_ -= from->second.tasks.erase(index);
}

waiting_queue::container::iterator
waiting_queue::erase_step(container::iterator at)
{
    size_ -= at->second.tasks.size();
    return steps_.erase(at);
}

std::map<wait_reason, std::size_t> waiting_queue::backfill_by_reason() const
{
    std::map<wait_reason, std::size_t> counts;
    for (auto const& [position, step] : steps_) {
        if (step.wait.reason != wait_reason::untried)
            counts[step.wait.reason] += step.tasks.size();
    }
    return counts;
}

std::map<std::int32_t, std::size_t> waiting_queue::size_by_priority() const
{
    std::map<std::int32_t, std::size_t> counts;
    for (auto const& [position, step] : steps_)
        counts[position.priority] += step.tasks.size();
    return counts;
}

} // namespace sycamorespar
