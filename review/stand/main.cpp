/// Runs one case of the review: review-stand CASE RECORD. Ends with 1 if the
/// rule was broken, with 0 if it held, and with 2 if the case couldn't run.
#include "cases.hpp"

#include "common/log.hpp"

#include <cstdio>
#include <iostream>
#include <map>

int main(int count, char** texts)
{
    using namespace review;
    std::map<std::string, int (*)(std::string const&)> const cases = {
        {"many-ends", &run_many_ends},
        {"dropped-route", &run_dropped_route},
        {"large-reply", &run_large_reply},
        {"late-route", &run_late_route},
        {"late-job", &run_late_job},
        {"stale-leader", &run_stale_leader},
        {"clock-back", &run_clock_back},
        {"late-beat", &run_late_beat},
    };
    if (count != 3 || !cases.contains(texts[1])) {
        std::cerr << "usage: review-stand CASE RECORD\n";
        return 2;
    }
    try {
        return cases.at(texts[1])(texts[2]);
    } catch (cannot_run const& problem) {
        std::cerr << "can't run: " << problem.reason << "\n";
        return 2;
    } catch (std::exception const& problem) {
        std::cerr << "can't run: " << problem.what() << "\n";
        return 2;
    }
}
