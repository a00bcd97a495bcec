/// The faults of a soak.
#ifndef SYCAMORESPAR_TESTS_PROCESS_SOAK_SOAK_FAULTS_HPP
#define SYCAMORESPAR_TESTS_PROCESS_SOAK_SOAK_FAULTS_HPP

#include "process_soak/soak_worker_faults.hpp"
#include "process_soak/soak_world.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sycamorespar::tests {

/// Draws faults and injects them.
class soak_faults
{
public:
    /// \param names  the kinds of faults to draw from; empty for all.
    soak_faults(soak_world& world, std::set<std::string> const& names);

    /// Injects faults until then.
    void inject_until(monotonic_time until);
    /// Ends the faults that would go on otherwise.
    void end_faults();

private:
    /// A kind of fault, and how often it is drawn.
    struct fault
    {
        std::string name;
        int weight = 1;
        void (soak_faults::*inject)() = nullptr;
    };

    static std::vector<fault> all_faults();
    static std::vector<fault> chosen_faults(std::set<std::string> const& names);
    void inject_next();
    std::size_t leader_or_any();
    void lose_store();
    void restore_store();
    std::vector<standins::loopback_proxy*> draw_machines(double part);
    void part_machines();
    void freeze_runners();
    void freeze_and_part();
    void freeze_scheduler();
    void freeze(standins::deployed_machine& machine);
    standins::deployed_machine& any_machine();
    void kill_machine();
    void stop_machine();
    void restart_later(
        standins::managed_process& process, std::chrono::milliseconds delay);
    void cut_reports();
    void isolate_leader();
    void cut_worker();
    void cut_announcements();
    standins::proxy_mode draw_cut();
    void
    cut(standins::loopback_proxy& link, standins::proxy_mode mode,
        std::chrono::milliseconds time);
    void crash_worker() { workers_.crash(); }
    void pause_worker() { workers_.pause(); }
    void starve_worker() { workers_.starve(); }
    void drain_worker() { workers_.drain(); }
    void delay_orders() { workers_.delay_orders(); }
    std::vector<standins::loopback_proxy*> store_links();
    std::vector<standins::loopback_proxy*> runner_links();
    void cut_watches();
    void silence_connections();
    void cut_answers();
    void cut_job_watches();
    void lose_answers();
    void delay_write();
    void revoke_leadership();
    void announce_oddly() { workers_.announce_oddly(); }
    void change_configuration();
    void evacuate();
    void stall_tasks();
    void weaken_worker();

    soak_world& world_;
    soak_worker_faults workers_;
    std::vector<fault> faults_;
    monotonic_time until_{};
    std::uint64_t last_outage_ = 0;
    std::map<standins::loopback_proxy*, std::uint64_t> parted_;
    /// The last evacuation of each failure domain.
    std::map<std::size_t, std::uint64_t> evacuated_;
};

} // namespace sycamorespar::tests

#endif
