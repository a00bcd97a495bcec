/// The simulation. Each upstream shares its cores among its requests;
/// co-located batch tasks take away cores and speed at random times.
#include "bench/request_world.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <unordered_map>

namespace sycamorespar::bench {

namespace {

using namespace std::chrono_literals;
using engine = boost::random::mt19937_64;

/// Load, noise and network have separate random engines, so that with the same
/// seed all routers get the same load and noise.
constexpr std::uint64_t noise_streams = 1000;
constexpr std::uint64_t arrival_streams = 7919;
constexpr std::uint32_t upstream_count = 11;
constexpr std::uint32_t slots_each = 8;
constexpr double quiet_cores = 8.0;
constexpr std::chrono::microseconds inside_domain{100};
constexpr std::chrono::microseconds jitter_mean{50};
constexpr std::chrono::milliseconds tick_period{50};
constexpr std::chrono::milliseconds warm_up{1000};
constexpr std::chrono::seconds drain_time{6};
constexpr std::chrono::microseconds broken_answer_time{200};
constexpr std::chrono::milliseconds table_delay{200};

std::string domain_of(deployment const& place, std::uint32_t index)
{
    return place.domains[index % place.domains.size()];
}

/// Runs events in order of time; simultaneous ones in order of scheduling.
class event_queue
{
public:
    void at(monotonic_time when, std::function<void()> call)
    {
        events_.push({when, ++last_, std::move(call)});
    }
    void after(duration delay, std::function<void()> call)
    {
        at(now_ + delay, std::move(call));
    }
    void run(monotonic_time until)
    {
        while (!events_.empty() && events_.top().when <= until) {
            auto const next = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = next.when;
            next.call();
        }
    }
    monotonic_time now() const { return now_; }

private:
    struct event
    {
        monotonic_time when;
        std::uint64_t order;
        std::function<void()> call;

        bool operator<(event const& other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    std::priority_queue<event> events_;
    std::uint64_t last_ = 0;
    monotonic_time now_{};
};

/// An upstream that shares its cores among its requests in progress.
class shared_upstream
{
public:
    shared_upstream(event_queue& events) : events_(events) {}

    void start(duration work, std::function<void()> on_done)
    {
        advance();
        jobs_.push_back(
            {std::chrono::duration<double>(work).count(), std::move(on_done)});
        schedule_completion();
    }
    void set_noise(double cores, double slowdown)
    {
        advance();
        cores_ = cores;
        slowdown_ = slowdown;
        schedule_completion();
    }

private:
    struct job
    {
        double remaining_s;
        std::function<void()> on_done;
    };

    double rate() const
    {
        auto const count = static_cast<double>(jobs_.size());
        return std::min(1.0, cores_ / std::max(count, 1.0)) / slowdown_;
    }
    void advance()
    {
        double const elapsed =
            std::chrono::duration<double>(events_.now() - at_).count();
        for (job& each : jobs_)
            each.remaining_s -= elapsed * rate();
        at_ = events_.now();
    }
    void schedule_completion()
    {
        ++schedule_number_;
        if (jobs_.empty())
            return;
        auto const next = std::min_element(
            jobs_.begin(), jobs_.end(), [](job const& one, job const& other) {
                return one.remaining_s < other.remaining_s;
            });
        double const wait_s = std::max(next->remaining_s, 0.0) / rate();
        auto const wait = std::chrono::duration_cast<duration>(
                              std::chrono::duration<double>(wait_s)) +
                          1ns;
        events_.after(wait, [this, number = schedule_number_] {
            if (number == schedule_number_)
                finish();
        });
    }
    void finish()
    {
        advance();
        std::vector<std::function<void()>> done;
        std::erase_if(jobs_, [&done](job& each) {
            if (each.remaining_s > 1e-9)
                return false;
            done.push_back(std::move(each.on_done));
            return true;
        });
        schedule_completion();
        for (auto const& call : done)
            call();
    }

    event_queue& events_;
    std::vector<job> jobs_;
    monotonic_time at_{};
    double cores_ = quiet_cores;
    double slowdown_ = 1.0;
    std::uint64_t schedule_number_ = 0;
};

/// An agent with its upstream.
struct agent_node
{
    failure_domain_id domain;
    agent_admission admission;
    shared_upstream upstream;
    permit issued;
    engine noise;
    double noise_cores = quiet_cores;
    double noise_slowdown = 1.0;
    double fault_slowdown = 1.0;
    bool broken = false;

    agent_node(
        event_queue& events, std::uint64_t index, std::string where,
        std::uint64_t seed)
        : domain(std::move(where)), admission(incarnation(100 + index), domain),
          upstream(events), noise(seed * noise_streams + index)
    {}
    void apply_noise()
    {
        double const cores =
            fault_slowdown > 1.0 ? noise_cores / 2.0 : noise_cores;
        upstream.set_noise(cores, noise_slowdown * fault_slowdown);
    }
};

/// A request as its caller sees it.
struct caller_request
{
    std::string results_row;
    service_load const* load = nullptr;
    monotonic_time arrived;
    duration work{};
};

/// Poisson arrivals of requests for one service.
struct arrival_stream
{
    service_load const* load = nullptr;
    duration mean_gap{};
    std::string caller;
    std::chrono::milliseconds until{0};
    engine* draws = nullptr;
};

/// An entry with its router and its open requests.
struct entry_node
{
    failure_domain_id domain;
    router_hooks router;
    std::unordered_map<request_id, caller_request> open;
};

/// One run of the simulation.
class world
{
public:
    world(world_settings const& settings, router_factory const& make_router)
        : settings_(settings), network_(settings.seed)
    {
        for (std::uint32_t index = 0; index < upstream_count; ++index)
            agents_.push_back(std::make_unique<agent_node>(
                events_, index, domain_of(settings_.place, index),
                settings_.seed));
        for (std::uint32_t index = 0; index < settings_.entries; ++index) {
            failure_domain_id const domain(domain_of(settings_.place, index));
            entries_.push_back(
                {domain,
                 make_router(
                     incarnation(1 + index), domain,
                     settings_.seed * 1000 + index),
                 {}});
        }
    }

    request_results run()
    {
        make_table();
        for (std::uint32_t index = 0; index < upstream_count; ++index)
            start_agent(index);
        for (auto& entry : entries_)
            repeat_every(tick_period, [this, &entry] { tick(entry); });
        for (service_load const& load : settings_.place.services)
            start_arrivals(load, load.rate, "", settings_.length);
        for (disturbance const& each : settings_.disturbances)
            schedule_disturbance(each);
        events_.run(monotonic_time{} + settings_.length + drain_time);
        for (auto& entry : entries_) {
            results_.sent += entry.router.sent();
            for (auto const& [id, request] : entry.open)
                record_result(request, request.load->deadline, false);
        }
        return std::move(results_);
    }

private:
    static double uniform(engine& from)
    {
        return boost::random::uniform_real_distribution<double>(0.0, 1.0)(from);
    }
    static duration exponential(engine& from, duration mean)
    {
        double const mean_s = std::chrono::duration<double>(mean).count();
        boost::random::exponential_distribution<double> draw(1.0 / mean_s);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(draw(from)));
    }
    /// Draws the one-way network delay of one message.
    duration
    network_delay(failure_domain_id const& from, failure_domain_id const& to)
    {
        duration const base =
            from == to ? inside_domain : settings_.place.between_domains;
        return base + exponential(network_, jitter_mean);
    }
    void repeat_every(duration period, std::function<void()> call)
    {
        events_.after(period, [this, period, call] {
            call();
            if (events_.now() <
                monotonic_time{} + settings_.length + drain_time)
                repeat_every(period, call);
        });
    }

    void make_table()
    {
        policy_.revision = table_revision(1);
        for (auto const& name : settings_.place.domains)
            policy_.domains.emplace_back(name);
        for (service_load const& load : settings_.place.services) {
            row_policy row;
            row.id = row_id(load.row);
            row.weight = load.weight;
            row.repeatable = load.repeatable;
            row.queue_limit = 1000;
            policy_.rows[row.id] = row;
        }
        distribute_table(0ms);
    }
    /// Delivers the table to each process after a random delay.
    void distribute_table(duration max_delay)
    {
        for (auto& entry : entries_) {
            auto const delay = duration(static_cast<duration::rep>(
                uniform(network_) * static_cast<double>(max_delay.count())));
            events_.after(delay, [&entry, table = policy_] {
                entry.router.adopt_table(table);
            });
        }
        for (auto& agent : agents_) {
            auto const delay = duration(static_cast<duration::rep>(
                uniform(network_) * static_cast<double>(max_delay.count())));
            events_.after(delay, [&agent, table = policy_] {
                agent->admission.adopt_table(table);
            });
        }
    }

    void start_agent(std::uint32_t index)
    {
        agent_node& agent = *agents_[index];
        upstream_state upstream;
        upstream.name = "u" + std::to_string(index);
        for (service_load const& load : settings_.place.services)
            upstream.rows.emplace_back(load.row);
        upstream.slots = slots_each;
        agent.admission.announce_upstream(upstream);
        auto const phase = duration(static_cast<duration::rep>(
            uniform(network_) * static_cast<double>(duration(50ms).count())));
        events_.after(phase, [this, index] { heartbeat(index); });
        if (settings_.noisy)
            events_.after(exponential(agent.noise, 1s), [this, index] {
                change_noise(index);
            });
    }
    void heartbeat(std::uint32_t index)
    {
        agent_node& agent = *agents_[index];
        agent.issued = agent.admission.renew_permit(events_.now());
        agent_report report;
        report.worker = worker_id("w" + std::to_string(index));
        report.domain = agent.domain;
        report.issued = agent.issued;
        auto const& upstream = agent.admission.upstreams().begin()->second;
        report.upstreams = {
            {upstream.name, upstream.rows, upstream.slots, upstream.in_flight}};
        for (auto& entry : entries_) {
            if (uniform(network_) < lost_heartbeats_)
                continue;
            events_.after(
                network_delay(agent.domain, entry.domain), [=, this, &entry] {
                    entry.router.on_agent(report, events_.now());
                    tick(entry);
                });
        }
        events_.after(settings_.heartbeat, [this, index] { heartbeat(index); });
    }
    /// Changes the slowdown by co-located batch tasks.
    void change_noise(std::uint32_t index)
    {
        agent_node& agent = *agents_[index];
        bool const quiet = uniform(agent.noise) < 0.6;
        agent.noise_cores =
            quiet ? quiet_cores : 4.0 + 3.0 * uniform(agent.noise);
        agent.noise_slowdown = quiet ? 1.0 : 1.0 + 0.8 * uniform(agent.noise);
        agent.apply_noise();
        events_.after(exponential(agent.noise, 2s), [this, index] {
            change_noise(index);
        });
    }

    void schedule_disturbance(disturbance const& change)
    {
        events_.at(monotonic_time{} + change.begin, [this, change] {
            begin_disturbance(change);
        });
        events_.at(monotonic_time{} + change.end, [this, change] {
            end_disturbance(change);
        });
    }
    service_load const& load_of(std::string const& row) const
    {
        return *std::find_if(
            settings_.place.services.begin(), settings_.place.services.end(),
            [&row](service_load const& each) { return each.row == row; });
    }
    void begin_disturbance(disturbance const& change)
    {
        ++active_disturbances_;
        switch (change.type) {
        case disturbance::kind::shift: {
            service_load const& load = load_of(change.where);
            start_arrivals(
                load, load.rate * (change.amount - 1.0), "", change.end);
            break;
        }
        case disturbance::kind::wave:
            start_arrivals(
                load_of(change.where), change.amount, "wave", change.end);
            break;
        case disturbance::kind::domain_out:
            set_domain(change.where, true);
            break;
        case disturbance::kind::slow:
            set_slow(change, change.amount);
            break;
        case disturbance::kind::broken:
            agents_[std::stoul(change.where)]->broken = true;
            break;
        case disturbance::kind::lost_heartbeats:
            lost_heartbeats_ = change.amount;
            break;
        }
    }
    void end_disturbance(disturbance const& change)
    {
        --active_disturbances_;
        if (change.type == disturbance::kind::domain_out)
            set_domain(change.where, false);
        if (change.type == disturbance::kind::slow)
            set_slow(change, 1.0);
        if (change.type == disturbance::kind::broken)
            agents_[std::stoul(change.where)]->broken = false;
        if (change.type == disturbance::kind::lost_heartbeats)
            lost_heartbeats_ = 0.0;
    }
    void set_slow(disturbance const& change, double slowdown)
    {
        agent_node& agent = *agents_[std::stoul(change.where)];
        agent.fault_slowdown = slowdown;
        agent.apply_noise();
    }
    void set_domain(std::string const& name, bool out)
    {
        policy_.revision = table_revision(policy_.revision.value + 1);
        if (out)
            policy_.domains_out.insert(failure_domain_id(name));
        else
            policy_.domains_out.erase(failure_domain_id(name));
        out_since_[name] = events_.now();
        distribute_table(table_delay);
    }

    /// Starts Poisson arrivals at random entries that last until `until`.
    void start_arrivals(
        service_load const& load, double rate, std::string const& caller,
        std::chrono::milliseconds until)
    {
        if (rate <= 0.0)
            return;
        arrivals_.push_back(std::make_unique<engine>(
            settings_.seed * arrival_streams + arrivals_.size()));
        auto const mean_gap = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1.0 / rate));
        schedule_next_arrival(
            {&load, mean_gap, caller, until, arrivals_.back().get()});
    }
    void schedule_next_arrival(arrival_stream const& stream)
    {
        events_.after(exponential(*stream.draws, stream.mean_gap), [=, this] {
            if (events_.now() >= monotonic_time{} + stream.until)
                return;
            submit(*stream.load, stream.caller, *stream.draws);
            schedule_next_arrival(stream);
        });
    }
    void submit(
        service_load const& load, std::string const& wave_caller, engine& draws)
    {
        bool const wave = !wave_caller.empty();
        // The load balancer keeps a caller's connections on one entry.
        boost::random::uniform_int_distribution<std::size_t> any(
            0, entries_.size() - 1);
        entry_node& entry = entries_[wave ? 0 : any(draws)];
        boost::random::uniform_int_distribution<std::uint32_t> some_caller(
            1, load.callers);
        std::string const caller =
            wave ? wave_caller : "c" + std::to_string(some_caller(draws));
        boost::random::normal_distribution<double> log_work(
            -load.spread * load.spread / 2.0, load.spread);
        auto const work = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(load.service) *
            std::exp(log_work(draws)));
        auto const now = events_.now();
        request_id const id = entry.router.next_id();
        entry.open.emplace(
            id, caller_request{
                    wave ? load.row + "/wave" : load.row, &load, now, work});
        ++results_.submitted;
        entry.router.submit(
            {id, row_id(load.row), caller, load.repeatable,
             now + load.deadline},
            now);
        tick(entry);
    }

    void tick(entry_node& entry)
    {
        for (auto const& action : entry.router.tick(events_.now())) {
            if (auto const* copy = std::get_if<send_request_action>(&action))
                send(entry, *copy);
            else
                reject(entry, std::get<reject_request_action>(action));
        }
    }
    void reject(entry_node& entry, reject_request_action const& action)
    {
        auto const found = entry.open.find(action.id);
        if (found == entry.open.end())
            return;
        record_result(found->second, found->second.load->deadline, false);
        entry.open.erase(found);
    }
    void send(entry_node& entry, send_request_action const& copy)
    {
        auto const found = entry.open.find(copy.id);
        if (found == entry.open.end())
            return;
        auto const index = std::stoul(copy.worker.value.substr(1));
        agent_node& agent = *agents_[index];
        request_start const start{
            copy.sent_as, copy.quoted, policy_.revision,
            row_id(found->second.load->row)};
        events_.after(
            network_delay(entry.domain, agent.domain),
            [this, &entry, &agent, start, work = found->second.work,
             worker = copy.worker] {
                admit(entry, agent, worker, start, work);
            });
    }
    void admit(
        entry_node& entry, agent_node& agent, worker_id const& worker,
        request_start const& start, duration work)
    {
        auto const verdict =
            agent.admission.admit_request(start, events_.now());
        if (auto const* why = std::get_if<refusal>(&verdict)) {
            ++results_.refused;
            if (*why == refusal::duplicate)
                return;
            events_.after(
                network_delay(agent.domain, entry.domain),
                [this, &entry, id = start.id, why = *why] {
                    entry.router.on_refused(id, why, events_.now());
                    tick(entry);
                });
            return;
        }
        record_start(agent);
        if (agent.broken)
            work = broken_answer_time;
        agent.upstream.start(
            work, [this, &entry, &agent, worker, id = start.id,
                   failed = agent.broken] {
                agent.admission.finish_request(id);
                auto const load =
                    agent.admission.upstreams().begin()->second.in_flight;
                events_.after(
                    network_delay(agent.domain, entry.domain),
                    [this, &entry, worker, id, failed, load] {
                        answer(entry, worker, id, failed, load);
                    });
            });
    }
    void record_start(agent_node const& agent)
    {
        constexpr std::chrono::seconds allowed{3};
        if (policy_.domains_out.contains(agent.domain) &&
            events_.now() - out_since_[agent.domain.value] > allowed)
            ++results_.started_while_out;
    }
    void answer(
        entry_node& entry, worker_id const& worker, request_id const& sent_as,
        bool failed, std::uint32_t load)
    {
        auto const now = events_.now();
        auto const id = entry.router.on_answer(sent_as, failed, now);
        if (settings_.load_on_answers)
            entry.router.on_load(worker, load, now);
        if (id) {
            auto const found = entry.open.find(*id);
            caller_request const& request = found->second;
            record_result(
                request,
                failed ? duration(request.load->deadline)
                       : now - request.arrived,
                !failed);
            entry.open.erase(found);
        }
        tick(entry);
    }

    void
    record_result(caller_request const& request, duration latency, bool good)
    {
        if (good && active_disturbances_ > 0)
            ++results_.answered_in_disturbance;
        if (request.arrived < monotonic_time{} + warm_up)
            return;
        row_results& row = results_.rows[request.results_row];
        row.latencies.push_back(latency);
        if (!good)
            ++row.failed;
    }

    world_settings settings_;
    engine network_;
    std::vector<std::unique_ptr<engine>> arrivals_;
    event_queue events_;
    table_policy policy_;
    std::map<std::string, monotonic_time> out_since_;
    std::vector<std::unique_ptr<agent_node>> agents_;
    std::vector<entry_node> entries_;
    double lost_heartbeats_ = 0.0;
    int active_disturbances_ = 0;
    request_results results_;
};

} // namespace

request_results
run_world(world_settings const& settings, router_factory const& make_router)
{
    return world(settings, make_router).run();
}

} // namespace sycamorespar::bench
