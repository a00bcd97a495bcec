/// Measures the time that an entry spends on one routed request, for
/// several numbers of agents.
#include "libsycamorespar/request_router.hpp"

#include <chrono>
#include <deque>
#include <fmt/core.h>

using namespace sycamorespar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t requests_timed = 200'000;
constexpr std::size_t in_flight = 64;
constexpr std::uint32_t slots_each = 8;

agent_report report_of(std::size_t index)
{
    agent_report report;
    report.worker = worker_id("w" + std::to_string(index));
    report.domain = failure_domain_id("d" + std::to_string(index % 12));
    report.upstreams = {{"u", {row_id("check")}, slots_each, 0}};
    return report;
}

table_policy one_row()
{
    table_policy policy;
    policy.revision = table_revision(1);
    for (int index = 0; index < 12; ++index)
        policy.domains.emplace_back("d" + std::to_string(index));
    row_policy row;
    row.id = row_id("check");
    row.repeatable = true;
    policy.rows[row.id] = row;
    return policy;
}

double microseconds_each(std::size_t agents)
{
    router_settings settings;
    settings.entry = incarnation(1);
    settings.picker.domain = failure_domain_id("d0");
    request_router router(settings);
    router.adopt_table(one_row());
    monotonic_time now{};
    for (std::size_t index = 0; index < agents; ++index)
        router.on_agent(report_of(index), now);
    std::deque<request_id> sent;
    auto const begin = std::chrono::steady_clock::now();
    for (std::size_t count = 0; count < requests_timed; ++count) {
        now += 1us;
        request_id const id = router.next_id();
        std::string const caller = "c" + std::to_string(count % 50);
        router.submit({id, row_id("check"), caller, true, now + 1s}, now);
        for (auto const& action : router.tick(now)) {
            if (auto const* copy = std::get_if<send_request_action>(&action))
                sent.push_back(copy->sent_as);
        }
        if (sent.size() > in_flight) {
            router.on_answer(sent.front(), false, now);
            sent.pop_front();
        }
    }
    std::chrono::duration<double, std::micro> const spent =
        std::chrono::steady_clock::now() - begin;
    return spent.count() / static_cast<double>(requests_timed);
}

} // namespace

int main()
{
    fmt::print("| agents | microseconds a request |\n|---|---|\n");
    for (std::size_t const agents : {11U, 100U, 1000U, 9800U})
        fmt::print("| {} | {:.2f} |\n", agents, microseconds_each(agents));
    return 0;
}
