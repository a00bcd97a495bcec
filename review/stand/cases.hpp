/// The cases of the review that are scripts.
#ifndef REVIEW_CASES_HPP
#define REVIEW_CASES_HPP

#include "world.hpp"

namespace review {

/// Each returns 1 if the rule was broken and 0 if it held.
int run_many_ends(std::string const& record_file);
int run_dropped_route(std::string const& record_file);
int run_large_reply(std::string const& record_file);
int run_late_route(std::string const& record_file);
int run_clock_back(std::string const& record_file);
int run_stale_leader(std::string const& record_file);

/// Not among the five cases; the report tells what they show.
int run_late_job(std::string const& record_file);
int run_late_beat(std::string const& record_file);

} // namespace review

#endif
