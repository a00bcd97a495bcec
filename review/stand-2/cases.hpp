/// The cases of the second review that are scripts.
#ifndef REVIEW_STAND_2_CASES_HPP
#define REVIEW_STAND_2_CASES_HPP

#include "world.hpp"

namespace review {

/// The leader learns of an added queue later than of the queue's first jobs.
verdict run_late_configuration(world_settings const& settings);
/// A queue's route is removed while one of its jobs runs, and then the leader
/// is killed.
verdict run_removed_route(world_settings const& settings);
/// A minion that drains sent a heartbeat before that arrives after it.
verdict run_late_heartbeat(world_settings const& settings);

} // namespace review

#endif
