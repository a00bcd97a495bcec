/// Fair queueing of waiting requests: by weight between rows, equal between the
/// callers of a row, by deadline for each caller.
#ifndef SYCAMORESPAR_ROW_SCHEDULER_HPP
#define SYCAMORESPAR_ROW_SCHEDULER_HPP

#include "libsycamorespar/clock.hpp"
#include "libsycamorespar/ids.hpp"
#include "libsycamorespar/table_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace sycamorespar {

/// A queued request.
struct waiting_request
{
    /// Its id.
    request_id id;
    /// The table row.
    row_id row;
    /// The caller that sent it.
    std::string caller;
    /// The caller gives up at this time.
    monotonic_time deadline;
};

/// Result of offering a request for sending.
enum class offer_result
{
    /// It was sent.
    sent,
    /// It can't be sent now and stays queued.
    blocked,
    /// It was given up; it leaves the queue and its row is not charged.
    dropped
};

/// Start-time fair queueing (SFQ) on two levels. A row is charged the usual
/// latency of its requests divided by its weight.
class row_scheduler
{
public:
    /// Tries to send a request.
    using sender = std::function<offer_result(waiting_request const&)>;

    /// Applies the weights and queue limits of a table.
    void adopt_table(table_policy const& policy);
    /// Sets the usual latency of a row's requests, by which it is charged.
    void set_cost(row_id const& row, duration usual_latency);
    /// Queues a request. If the row's queue is full, the request with the
    /// latest deadline of the caller with the most queued requests is evicted.
    /// \return the evicted request, which may be the new one.
    std::optional<waiting_request> push(waiting_request const& request);
    /// Removes a request; unknown ids are ignored.
    void erase(request_id const& id);
    /// Offers requests in fair order until none can be sent.
    void dispatch(sender const& try_send, monotonic_time now);
    /// Estimated waiting time of a new request of this caller.
    duration expected_wait(row_id const& row, std::string const& caller) const;
    /// Number of queued requests.
    std::size_t size() const { return positions_.size(); }
    /// Number of queued requests of a row.
    std::size_t size(row_id const& row) const;

private:
    struct deadline_key
    {
        monotonic_time deadline;
        request_id id;

        auto operator<=>(deadline_key const&) const = default;
    };
    struct caller_queue
    {
        std::map<deadline_key, waiting_request> requests;
        double start = 0.0;
    };
    struct caller_turn
    {
        double start = 0.0;
        std::string caller;

        auto operator<=>(caller_turn const&) const = default;
    };
    struct row_queue
    {
        double weight = 1.0;
        std::uint32_t limit = 0;
        double cost = 1.0;
        /// Virtual start and finish times (SFQ) of the row's next and last
        /// requests.
        double start = 0.0;
        double finish = 0.0;
        /// Virtual time of the callers within the row.
        double virtual_time = 0.0;
        std::size_t count = 0;
        std::map<std::string, caller_queue> callers;
        std::set<caller_turn> turns;
        std::optional<monotonic_time> last_sent;
        /// Moving average of the time between two sends while backlogged.
        duration send_interval = duration::zero();
    };
    struct row_turn
    {
        double start = 0.0;
        row_id row;

        auto operator<=>(row_turn const&) const = default;
    };
    struct queue_position
    {
        row_id row;
        std::string caller;
        deadline_key key;
    };

    static void remove_idle_callers(row_queue& queue);
    void insert(row_queue& queue, waiting_request const& request);
    waiting_request evict_from_longest_queue(row_queue& queue);
    void remove(
        row_id const& row, std::string const& caller, deadline_key const& key);
    bool offer(row_id const& row, sender const& try_send, monotonic_time now);
    bool offer_head(
        row_id const& row, std::string const& caller, sender const& try_send,
        monotonic_time now);
    void charge(row_id const& row, std::string const& caller);
    static void record_sent(row_queue& queue, monotonic_time now);

    std::unordered_map<row_id, row_queue> rows_;
    std::set<row_turn> turns_;
    std::unordered_map<request_id, queue_position> positions_;
    double virtual_time_ = 0.0;
};

} // namespace sycamorespar

#endif
