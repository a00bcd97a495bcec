// The record of a case: what was sent, answered and run, with its time.
#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace stand {

class record
{
public:
    explicit record(std::string const& path) : file_(path) {}

    double now_s() const
    {
        return std::chrono::duration<double>(
                   std::chrono::steady_clock::now() - began_)
            .count();
    }

    void line(std::string const& text)
    {
        std::lock_guard const lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", now_s());
        file_ << time << text << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point began_ =
        std::chrono::steady_clock::now();
};

} // namespace stand
