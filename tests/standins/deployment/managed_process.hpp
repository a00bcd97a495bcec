/// A program of ours that a test starts, signals and ends.
#ifndef SYCAMORESPAR_TESTS_STANDINS_DEPLOYMENT_MANAGED_PROCESS_HPP
#define SYCAMORESPAR_TESTS_STANDINS_DEPLOYMENT_MANAGED_PROCESS_HPP

#include "libsycamorespar/result.hpp"

#include <string>
#include <sys/types.h>

namespace sycamorespar::standins {

/// One process at a time of one program; ended with the test.
class managed_process
{
public:
    /// \param program  path of the program.
    /// \param settings  path of its settings.
    /// \param log  path to which its output is appended.
    managed_process(std::string program, std::string settings, std::string log);
    ~managed_process();
    managed_process(managed_process const&) = delete;
    managed_process& operator=(managed_process const&) = delete;

    /// Starts the program unless it runs.
    /// \return done; or an error of step "process.start".
    result<done> start();
    /// Sends a signal to the process if it runs.
    void signal(int number) const;
    /// Ends the process with SIGKILL and waits for its end.
    void kill();
    /// True until the process has ended.
    bool is_running();
    /// How the last process that ended by itself has ended; empty if none did
    /// so abnormally.
    std::string const& failure_text() const { return failure_; }

private:
    void record_end(int status);

    std::string program_;
    std::string settings_;
    std::string log_;
    pid_t id_ = -1;
    std::string failure_;
};

} // namespace sycamorespar::standins

#endif
