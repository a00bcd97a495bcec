/// Sends a runner's reports to the scheduler in office.
#ifndef SYCAMORESPAR_SPAR_RUNNER_SCHEDULER_LINK_HPP
#define SYCAMORESPAR_SPAR_RUNNER_SCHEDULER_LINK_HPP

#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/kv_store.hpp"
#include "libsycamorespar/run_tracker.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sycamorespar {

/// Limits of the link.
struct scheduler_link_limits
{
    /// A report without an answer is given up after this; the scheduler
    /// answers within 400 ms.
    std::chrono::milliseconds timeout{900};
    /// A pause before the next report after a failure.
    std::chrono::milliseconds retry{50};
    /// While the scheduler may not let runs go on, another is looked for this
    /// often.
    std::chrono::milliseconds office_check{400};
    /// The pause while no scheduler is in office.
    std::chrono::milliseconds longest_retry{200};
};

/// Keeps one report waiting at the scheduler, and sends another where there
/// is news.
class scheduler_link
{
public:
    scheduler_link(
        event_loop& loop, kv_store const& store, run_tracker& keeper,
        std::vector<endpoint> schedulers,
        std::function<std::uint32_t(run_id const&)> pace_of,
        std::function<void()> on_orders,
        scheduler_link_limits const& limits = {});
    ~scheduler_link();
    scheduler_link(scheduler_link const&) = delete;
    scheduler_link& operator=(scheduler_link const&) = delete;

    /// Sends a report if one is due.
    void wake();
    /// Reports that were answered.
    std::uint64_t answered() const { return answered_; }

private:
    void send_report();
    void
    take_answer(std::uint64_t sequence, result<http_response> const& answer);
    void follow(endpoint const& holder);
    void look_for_successor();
    void find_holder();
    void take_office(result<std::optional<kv_item>> const& found);
    void try_next_scheduler();
    void pause();

    event_loop& loop_;
    kv_store const& store_;
    run_tracker& keeper_;
    std::vector<endpoint> schedulers_;
    std::size_t next_scheduler_ = 0;
    std::function<std::uint32_t(run_id const&)> pace_of_;
    std::function<void()> on_orders_;
    scheduler_link_limits limits_;
    std::unique_ptr<http_client> client_;
    std::vector<std::unique_ptr<http_client>> retired_;
    std::uint64_t last_sent_ = 0;
    std::uint32_t open_reports_ = 0;
    bool is_pausing_ = false;
    bool is_searching_ = false;
    bool is_checking_ = false;
    std::chrono::milliseconds pause_;
    std::uint64_t answered_ = 0;
    std::shared_ptr<bool> alive_;
};

} // namespace sycamorespar

#endif
