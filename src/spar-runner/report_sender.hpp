/// Sends a runner's reports to the leading scheduler.
#ifndef SYCAMORESPAR_SPAR_RUNNER_REPORT_SENDER_HPP
#define SYCAMORESPAR_SPAR_RUNNER_REPORT_SENDER_HPP

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

/// Timing of the reports.
struct report_sender_limits
{
    /// Timeout of a report; the scheduler answers within 400 ms.
    std::chrono::milliseconds timeout{900};
    /// First delay before the next report after a failure; doubles up to
    /// max_retry.
    std::chrono::milliseconds retry{50};
    /// Minimum interval between lookups of a new leader while the current
    /// scheduler may not extend the leases.
    std::chrono::milliseconds successor_check{400};
    /// The longest delay before another attempt to reach a leader.
    std::chrono::milliseconds max_retry{200};
};

/// Keeps one report waiting at the scheduler as a long poll, and sends another
/// one when there are changes to report.
class report_sender
{
public:
    report_sender(
        event_loop& loop, kv_store const& store, run_tracker& tracker,
        std::vector<endpoint> schedulers,
        std::function<std::uint32_t(run_id const&)> pace_of,
        std::function<void()> on_orders,
        report_sender_limits const& limits = {});
    ~report_sender();
    report_sender(report_sender const&) = delete;
    report_sender& operator=(report_sender const&) = delete;

    /// Sends a report if one is due.
    void wake();
    /// The number of answered reports.
    std::uint64_t answered() const { return answered_; }

private:
    void send_report();
    void
    handle_answer(std::uint64_t sequence, result<http_response> const& answer);
    void follow(endpoint const& leader);
    void find_successor();
    void find_leader();
    void on_leader_read(result<std::optional<kv_item>> const& found);
    void try_next_scheduler();
    void pause();

    event_loop& loop_;
    kv_store const& store_;
    run_tracker& tracker_;
    std::vector<endpoint> schedulers_;
    std::size_t next_scheduler_ = 0;
    std::function<std::uint32_t(run_id const&)> pace_of_;
    std::function<void()> on_orders_;
    report_sender_limits limits_;
    std::unique_ptr<http_client> client_;
    std::vector<std::unique_ptr<http_client>> retired_clients_;
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
