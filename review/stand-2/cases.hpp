/// The cases of the second review that are scripts.
#ifndef REVIEW_STAND_2_CASES_HPP
#define REVIEW_STAND_2_CASES_HPP

#include "world.hpp"

namespace review {

/// The leader's watch of the operator's keys goes silent once while the
/// operator writes large configurations.
verdict run_long_watch(world_settings const& settings);
/// One job that can never be done has many occurrences that are due.
verdict run_overdue(world_settings const& settings);
/// The leader's watch of the jobs goes silent within an answer, and then a job
/// is cancelled.
verdict run_half_answer(world_settings const& settings);
/// A minion is lost silently while jobs are handed in.
verdict run_dark_minion(world_settings const& settings);

} // namespace review

#endif
