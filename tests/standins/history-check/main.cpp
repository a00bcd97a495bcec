/// Checks a history of JSON lines from standard input and prints the
/// violations. Exits with 1 if there are violations or no events.
#include "standins/history-check/history_checker.hpp"

#include <fmt/core.h>
#include <iostream>

int main()
{
    std::vector<history::violation> faults;
    std::vector<history::event> const events =
        history::read_history(std::cin, faults);
    std::vector<history::violation> const broken =
        history::check_history(events, history::check_limits{});
    faults.insert(faults.end(), broken.begin(), broken.end());
    for (history::violation const& fault : faults)
        fmt::print("{}: {}\n", history::to_string(fault.broken), fault.text);
    fmt::print("{} events, {} violations\n", events.size(), faults.size());
    return faults.empty() && !events.empty() ? 0 : 1;
}
