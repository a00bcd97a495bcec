/// Like the project's router, a baseline router resends a request only if the
/// previous copy provably did not run, and gives each copy a new id.
#include "bench/baseline_router.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <deque>
#include <unordered_map>

namespace sycamorespar::bench {

namespace {

constexpr std::uint32_t max_copies = 6;

/// A first-come, first-served router with a simple choice of the agent.
class baseline_router
{
public:
    baseline_router(baseline_rule rule, incarnation entry, std::uint64_t seed)
        : rule_(rule), entry_(entry), engine_(seed)
    {}

    request_id next_id() { return {entry_, ++last_}; }
    void adopt_table(table_policy const& policy) { policy_ = policy; }
    std::uint64_t sent() const { return sent_; }

    void submit(routed_request const& request, monotonic_time)
    {
        auto& queue = queues_[queue_of(request.row)];
        open_[request.id] = {request, 0, 0};
        if (queue.size() >= 1000) {
            reject(request.id, outcome::not_run);
            return;
        }
        queue.push_back(request.id);
    }
    void on_agent(agent_report const& report, monotonic_time now)
    {
        for (agent& each : agents_) {
            if (each.report.worker == report.worker) {
                each.report = report;
                each.reported_at = now;
                return;
            }
        }
        agents_.push_back({report, now, 0});
    }
    std::optional<request_id>
    on_answer(request_id const& sent_as, bool, monotonic_time)
    {
        auto const request = close_copy(sent_as);
        if (!request || open_.erase(*request) == 0)
            return std::nullopt;
        return request;
    }
    void on_refused(request_id const& sent_as, refusal, monotonic_time now)
    {
        auto const request = close_copy(sent_as);
        if (!request || !open_.contains(*request))
            return;
        auto const& open = open_.at(*request);
        if (open.copies >= max_copies || now >= open.request.deadline)
            reject(*request, outcome::not_run);
        else
            queues_[queue_of(open.request.row)].push_front(*request);
    }
    std::vector<router_action> tick(monotonic_time now)
    {
        for (auto& [name, queue] : queues_) {
            while (!queue.empty()) {
                auto const found = open_.find(queue.front());
                if (found != open_.end() && !dispatch(found->second, now))
                    break;
                queue.pop_front();
            }
        }
        return std::exchange(actions_, {});
    }

private:
    struct agent
    {
        agent_report report;
        monotonic_time reported_at;
        std::uint32_t own_in_flight = 0;
    };
    struct open_request
    {
        routed_request request;
        std::uint32_t copies = 0;
        std::uint32_t in_flight = 0;
    };
    struct copy
    {
        request_id request;
        std::size_t agent;
    };

    /// The name of the row's queue; empty if all rows share one queue.
    std::string queue_of(row_id const& row) const
    {
        return rule_ == baseline_rule::first_router ? row.value : "";
    }
    void reject(request_id const& id, outcome effect)
    {
        open_.erase(id);
        actions_.push_back(reject_request_action{id, effect, "", {}});
    }
    /// Forgets a copy and returns its request; nothing if the copy is unknown.
    std::optional<request_id> close_copy(request_id const& sent_as)
    {
        auto const found = copies_.find(sent_as);
        if (found == copies_.end())
            return std::nullopt;
        copy const closed = found->second;
        copies_.erase(found);
        --agents_[closed.agent].own_in_flight;
        return closed.request;
    }
    /// Sends the request, or rejects it after its deadline. Returns false if no
    /// agent has a free slot: the request then stays in its queue.
    bool dispatch(open_request& open, monotonic_time now)
    {
        if (now >= open.request.deadline) {
            reject(open.request.id, outcome::not_run);
            return true;
        }
        std::vector<std::size_t> free;
        for (std::size_t index = 0; index < agents_.size(); ++index) {
            agent const& each = agents_[index];
            if (now - each.reported_at < agent_directory::permit_usable_for &&
                each.own_in_flight < each.report.upstreams[0].slots &&
                may_run_in(policy_, open.request.row, each.report.domain))
                free.push_back(index);
        }
        if (free.empty())
            return false;
        send(open, choose(free));
        return true;
    }
    std::size_t choose(std::vector<std::size_t> const& free)
    {
        if (rule_ == baseline_rule::random) {
            boost::random::uniform_int_distribution<std::size_t> any(
                0, free.size() - 1);
            return free[any(engine_)];
        }
        if (rule_ == baseline_rule::round_robin)
            return free[++round_robin_position_ % free.size()];
        return *std::min_element(
            free.begin(), free.end(), [this](auto one, auto other) {
                return load_of(agents_[one]) < load_of(agents_[other]);
            });
    }
    std::uint32_t load_of(agent const& each) const
    {
        return rule_ == baseline_rule::least_loaded
                   ? each.own_in_flight + each.report.upstreams[0].in_flight
                   : each.own_in_flight;
    }
    void send(open_request& open, std::size_t index)
    {
        request_id const sent_as =
            open.copies == 0 ? open.request.id : next_id();
        ++open.copies;
        ++sent_;
        ++agents_[index].own_in_flight;
        copies_[sent_as] = {open.request.id, index};
        agent_report const& report = agents_[index].report;
        actions_.push_back(send_request_action{
            open.request.id, sent_as, report.worker, report.issued});
    }

    baseline_rule rule_;
    incarnation entry_;
    boost::random::mt19937_64 engine_;
    table_policy policy_;
    std::uint64_t last_ = 0;
    std::uint64_t sent_ = 0;
    std::size_t round_robin_position_ = 0;
    std::vector<agent> agents_;
    std::map<std::string, std::deque<request_id>> queues_;
    std::unordered_map<request_id, open_request> open_;
    std::unordered_map<request_id, copy> copies_;
    std::vector<router_action> actions_;
};

} // namespace

router_factory make_baseline_router(baseline_rule rule)
{
    return
        [rule](
            incarnation entry, failure_domain_id const&, std::uint64_t seed) {
            auto router = std::make_shared<baseline_router>(rule, entry, seed);
            router_hooks hooks;
            hooks.next_id = [router] {
                return router->next_id();
            };
            hooks.adopt_table = [router](auto const& table) {
                router->adopt_table(table);
            };
            hooks.submit = [router](auto const& request, auto now) {
                router->submit(request, now);
            };
            hooks.on_agent = [router](auto const& report, auto now) {
                router->on_agent(report, now);
            };
            hooks.on_load = [](auto const&, auto, auto) {
            };
            hooks.on_answer = [router](auto const& id, bool failed, auto now) {
                return router->on_answer(id, failed, now);
            };
            hooks.on_refused = [router](auto const& id, auto why, auto now) {
                router->on_refused(id, why, now);
            };
            hooks.tick = [router](auto now) {
                return router->tick(now);
            };
            hooks.sent = [router] {
                return router->sent();
            };
            return hooks;
        };
}

} // namespace sycamorespar::bench
