/// One case: a small deployment of real processes, callers, and the record of
/// what they were sent and answered.
#ifndef REVIEW_STAND_2_WORLD_HPP
#define REVIEW_STAND_2_WORLD_HPP

#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "standins/deployment/deployment.hpp"

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using sycamorespar::http_response;
using sycamorespar::monotonic_time;
using sycamorespar::result;

/// Where a case finds its programs, and what it does.
struct world_settings
{
    /// Folder of spar-scheduler and spar-runner.
    std::string programs;
    /// Path of standin-platform_worker.
    std::string worker_program;
    /// Folder of the settings templates.
    std::string templates;
    /// Temporary folder.
    std::string folder;
    /// Path of the record.
    std::string record;
    /// False to leave out the disruption.
    bool has_trouble = true;
};

/// What a case has found.
enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

/// A route of the configuration, at every scheduler's host.
struct route
{
    std::string name;
    std::string prefix;
};

/// The processes of a case and its callers.
class world
{
public:
    world(world_settings settings, std::size_t schedulers, std::size_t runners);

    sycamorespar::event_loop& loop() { return loop_; }
    sycamorespar::standins::deployment& system() { return *system_; }
    bool has_trouble() const { return settings_.has_trouble; }

    /// Starts the processes. \return false if that failed.
    bool start();
    /// Runs the step this long after the start of the case.
    void at(milliseconds when, std::function<void()> step);
    /// Runs until then.
    void run_until(milliseconds when);
    /// The time since the start of the case.
    milliseconds now() const;
    /// The same of another time.
    milliseconds since_start(monotonic_time when) const;
    /// Writes a line to the record.
    void note(std::string const& what);
    /// Puts a configuration with these routes, with max_attempts 3, and this
    /// many more that nobody uses.
    void configure(
        std::uint64_t version, std::vector<route> const& routes,
        std::size_t idle_routes = 0);
    /// A call of a client; the answer is recorded.
    void call(
        std::size_t scheduler, std::string const& method,
        std::string const& path, std::string const& body,
        std::function<void(int status, nlohmann::json const&)> on_answer = {});
    /// Hands a job in until it is accepted.
    void submit(
        std::size_t scheduler, std::string const& path,
        nlohmann::json const& job);
    /// True if the job was accepted.
    bool is_accepted(std::string const& path) const;
    /// Writes all runs to the record.
    void note_runs();

private:
    world_settings settings_;
    sycamorespar::event_loop loop_;
    std::unique_ptr<sycamorespar::standins::deployment> system_;
    std::vector<std::unique_ptr<sycamorespar::http_client>> clients_;
    std::map<std::string, bool> accepted_;
    std::ofstream record_;
    monotonic_time started_at_{};
};

} // namespace review

#endif
