/// Fair queues of waiting requests: by weight between rows, equal between the
/// callers of a row, by deadline for one caller.
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

/// A request that waits.
struct waiting_request
{
    /// Its id.
    request_id id;
    /// The table row.
    row_id row;
    /// Who sent it.
    std::string caller;
    /// The caller gives up at this time.
    monotonic_time deadline;
};

/// What became of a request that was offered for sending.
enum class offer_result
{
    /// It was sent.
    sent,
    /// Its row can't be sent now.
    blocked,
    /// It was given up and leaves the queue without a charge.
    dropped
};

/// Start-time fair queueing on two levels. Rows are charged by the time that
/// their requests take, divided by their weight.
class row_scheduler
{
public:
    /// Tries to send a request.
    using sender = std::function<offer_result(waiting_request const&)>;

    /// Takes the weights and queue limits of a table.
    void adopt_table(table_policy const& policy);
    /// Notes what a row's requests take, for charging it.
    void set_cost(row_id const& row, duration usual_latency);
    /// Queues a request. Where the row's queue is full, the latest request of
    /// the caller with the most requests there has to leave.
    /// \return the request that has to leave, which may be the new one.
    std::optional<waiting_request> push(waiting_request const& request);
    /// Removes a request; unknown ids are ignored.
    void erase(request_id const& id);
    /// Offers requests in fair order until none can be sent.
    void dispatch(sender const& try_send, monotonic_time now);
    /// The time that a new request of this caller is likely to wait.
    duration expected_wait(row_id const& row, std::string const& caller) const;
    /// Requests that wait.
    std::size_t size() const { return positions_.size(); }
    /// Requests of a row that wait.
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
        double start = 0.0;
        double finish = 0.0;
        double virtual_time = 0.0;
        std::size_t count = 0;
        std::map<std::string, caller_queue> callers;
        std::set<caller_turn> turns;
        std::optional<monotonic_time> last_sent;
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
