/// Soak of real processes: no task runs twice, every accepted job ends, and
/// nothing of a cancelled one runs on, while the store, the leader, runners and
/// workers fail in overlapping series.
///
/// Environment: SOAK_SEEDS (how many), SOAK_FIRST_SEED, SOAK_FAULT_SECONDS,
/// SOAK_FAULTS (names of kinds, separated by commas), SOAK_LASTING_PERCENT (the
/// share of jobs that run until they are cancelled), SOAK_JOBS (plain or users:
/// gangs, checkpoints, backfill, bursts, waves of cancellations and more),
/// SOAK_RUNNERS, SOAK_SCHEDULERS, SOAK_LISTING_MS (how long after reading its
/// lists a worker answers a poll), SOAK_QUIET_SECONDS (how long the last faults
/// may act), SOAK_PROGRAMS and SOAK_TEMPLATES (folders of another build),
/// SOAK_KEEP (a folder that keeps settings, logs and events).
#include "process_soak/process_soak.hpp"
#include "standins/program.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>

using namespace sycamorespar;
using namespace sycamorespar::tests;

namespace {

std::string setting(char const* name, std::string const& usual)
{
    char const* const given = std::getenv(name);
    return given == nullptr ? usual : given;
}

/// A folder for one seed, removed at the end unless it is to be kept.
class soak_folder
{
public:
    explicit soak_folder(std::uint64_t seed)
    {
        auto const kept = setting("SOAK_KEEP", "");
        is_kept_ = !kept.empty();
        auto const parent = is_kept_ ? std::filesystem::path(kept)
                                     : std::filesystem::temp_directory_path();
        auto const name = "process-soak-" + std::to_string(::getpid()) + "-" +
                          std::to_string(seed);
        path_ = parent / name;
        std::filesystem::create_directories(path_);
    }
    ~soak_folder()
    {
        std::error_code ignored;
        if (!is_kept_)
            std::filesystem::remove_all(path_, ignored);
    }
    soak_folder(soak_folder const&) = delete;
    soak_folder& operator=(soak_folder const&) = delete;

    std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
    bool is_kept_ = false;
};

/// Runs one seed, and fails where a rule was broken.
void run_seed(
    std::uint64_t seed, process_soak_limits const& limits,
    standins::deployment_settings settings = {})
{
    soak_folder const folder(seed);
    settings.programs = setting("SOAK_PROGRAMS", SOAK_PROGRAM_DIR);
    settings.templates = setting("SOAK_TEMPLATES", SOAK_TEMPLATE_DIR);
    settings.worker_program = SOAK_WORKER_PROGRAM;
    settings.folder = folder.path();
    settings.seed = seed;
    process_soak soak(seed, settings, limits);
    soak.run();
    WARN(
        "seed " << seed << ": " << soak.accepted() << " jobs accepted, "
                << soak.runs() << " runs, " << soak.violations().size()
                << " violations");
    WARN("ends: " << soak.describe_ends());
    for (auto const& each : soak.violations())
        UNSCOPED_INFO(each);
    CHECK(soak.violations().empty());
    CHECK(soak.accepted() > 0);
}

} // namespace

TEST_CASE("no task runs twice as processes, the store and workers fail")
{
    auto const seeds = std::stoul(setting("SOAK_SEEDS", "1"));
    auto const first = std::stoul(setting("SOAK_FIRST_SEED", "1"));
    process_soak_limits limits;
    limits.faults =
        std::chrono::seconds(std::stoul(setting("SOAK_FAULT_SECONDS", "8")));
    limits.quiet =
        std::chrono::seconds(std::stoul(setting("SOAK_QUIET_SECONDS", "22")));
    limits.jobs.lasting = std::stod(setting("SOAK_LASTING_PERCENT", "5")) / 100;
    limits.jobs.is_of_users = setting("SOAK_JOBS", "plain") == "users";
    standins::deployment_settings settings;
    settings.listing_time =
        std::chrono::milliseconds(std::stoul(setting("SOAK_LISTING_MS", "0")));
    settings.runners = std::stoul(setting("SOAK_RUNNERS", "6"));
    settings.schedulers = std::stoul(setting("SOAK_SCHEDULERS", "3"));
    for (auto const& kind : standins::split_list(setting("SOAK_FAULTS", "")))
        limits.kinds.insert(kind);
    for (auto seed = first; seed < first + seeds; ++seed)
        run_seed(seed, limits, settings);
}

// TWICE: a worker read its lists, began a run, and answered with its clock of
// that moment. The list seemed later than the start, and the run was lost.
TEST_CASE("a list older than its time stamp makes no task run twice")
{
    constexpr std::uint64_t seed = 910'002;
    process_soak_limits limits;
    limits.faults = std::chrono::seconds(8);
    limits.quiet = std::chrono::seconds(3);
    limits.kinds = {"configuration"};
    standins::deployment_settings settings;
    settings.listing_time = std::chrono::milliseconds(2);
    run_seed(seed, limits, settings);
}

// TWICE: a runner believed announcements whose service no configuration names.
// The runs of its worker were lost for the leader, and started elsewhere.
TEST_CASE(
    "announcements of another writer make no task run twice", "[announcements]")
{
    constexpr std::uint64_t seed = 102;
    process_soak_limits limits;
    limits.quiet = std::chrono::seconds(3);
    limits.kinds = {"odd-announcement"};
    run_seed(seed, limits);
}

// UNASKED: after an announcement under the worker's own name with a later
// birth, a runner ignored the worker's lists but extended its lease. Its runs
// were lost for the leader, which had nothing to stop as jobs were cancelled.
TEST_CASE(
    "announcements of another writer keep no cancelled task running",
    "[announcements]")
{
    constexpr std::uint64_t seed = 102;
    process_soak_limits limits;
    limits.quiet = std::chrono::seconds(3);
    limits.jobs.lasting = 0.25;
    limits.kinds = {"odd-announcement"};
    run_seed(seed, limits);
}

// TWICE: the other cases have jobs of plain steps only. Gangs, checkpoints,
// backfill, queues of two priorities and cancellations in waves are not in
// them.
TEST_CASE("no task of the users' jobs runs twice as domains come and go")
{
    constexpr std::uint64_t seed = 38;
    process_soak_limits limits;
    limits.faults = std::chrono::seconds(8);
    limits.quiet = std::chrono::seconds(3);
    limits.kinds = {"configuration", "evacuate", "revoke"};
    limits.jobs.is_of_users = true;
    run_seed(seed, limits);
}

// TWICE: a worker said that it leaves and ended some milliseconds later. Its
// tasks were started elsewhere as soon as it had said so.
TEST_CASE(
    "a worker that leaves has ended before its tasks run elsewhere",
    "[workers]")
{
    constexpr std::uint64_t seed = 521;
    process_soak_limits limits;
    limits.faults = std::chrono::seconds(15);
    limits.quiet = std::chrono::seconds(15);
    limits.jobs.lasting = 0.2;
    limits.kinds = {"drain-worker"};
    run_seed(seed, limits);
}

// TWICE: a worker that stands still, or gets little processor time, answers
// seconds late and carries out late what it was told.
TEST_CASE("a worker that stands still makes no task run twice", "[workers]")
{
    constexpr std::uint64_t seed = 531;
    process_soak_limits limits;
    limits.quiet = std::chrono::seconds(13);
    limits.jobs.lasting = 0.2;
    limits.kinds = {"pause-worker", "starve-worker"};
    run_seed(seed, limits);
}

// UNASKED: when the leader's watch of the jobs stopped within an answer, tasks
// of cancelled jobs were started for five more seconds, and those of new jobs
// not.
TEST_CASE(
    "a watch that stops within an answer delays neither starts nor stops",
    "[connections]")
{
    constexpr std::uint64_t seed = 2;
    process_soak_limits limits;
    limits.faults = std::chrono::seconds(8);
    // These faults end at once; what they hide must be known in time.
    limits.quiet = std::chrono::seconds(0);
    limits.jobs.lasting = 0.25;
    limits.jobs.is_of_users = true;
    limits.kinds = {"cut-job-watches"};
    run_seed(seed, limits);
}
