/// Implements placed_runs. The sums change with each insertion and removal.
#include "libsycamorespar/placed_runs.hpp"

namespace sycamorespar {

placed_run& placed_runs::insert(run_id const& run, placed_run const& placed)
{
    auto const [found, is_new] = runs_.try_emplace(run, placed);
    if (is_new)
        add(found->second);
    return found->second;
}

bool placed_runs::erase(run_id const& run)
{
    auto const found = runs_.find(run);
    if (found == runs_.end())
        return false;
    subtract(found->second);
    runs_.erase(found);
    return true;
}

placed_run* placed_runs::find(run_id const& run)
{
    auto const found = runs_.find(run);
    return found == runs_.end() ? nullptr : &found->second;
}

placed_run const* placed_runs::find(run_id const& run) const
{
    auto const found = runs_.find(run);
    return found == runs_.end() ? nullptr : &found->second;
}

void placed_runs::add(placed_run const& placed)
{
    reserved_ += placed.need;
    backfill_millicores_ += placed.facts.backfill_millicores;
    if (placed.serves())
        ++serving_images_[placed.facts.image];
}

void placed_runs::subtract(placed_run const& placed)
{
    reserved_ -= placed.need;
    backfill_millicores_ -= placed.facts.backfill_millicores;
    if (!placed.serves())
        return;
    auto const found = serving_images_.find(placed.facts.image);
    if (--found->second == 0)
        serving_images_.erase(found);
}

std::uint32_t placed_runs::runs_of_step(task_id const& step) const
{
    std::uint32_t count = 0;
    auto const first =
        runs_.lower_bound(run_id{{step.job, step.occurrence, step.step, 0}, 0});
    for (auto next = first; next != runs_.end(); ++next) {
        auto const& task = next->first.task;
        if (task.job != step.job || task.occurrence != step.occurrence ||
            task.step != step.step)
            break;
        ++count;
    }
    return count;
}

} // namespace sycamorespar
