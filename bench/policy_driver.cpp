/// Runs one batch policy on the simulated fleet through one scenario.
#include "bench/policy_driver.hpp"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <limits>

namespace sycamorespar::bench {

namespace {

using std::chrono::seconds;

constexpr int drain_notice = 40;
constexpr int return_window = 180;
constexpr int placements_per_second = 20;
constexpr unsigned max_attempts = 12;
constexpr double threshold_limit = 1.2;
constexpr double oracle_limit = 1.18;
constexpr double lowest_speed = 0.1;

monotonic_time at_second(int second)
{
    return monotonic_time{} + seconds(second);
}

/// One run. Each simulated second processes arrivals and events, then lets the
/// policy control interference, drain and place.
class driver
{
public:
    driver(
        nlohmann::json const& settings, fleet_shape const& shape,
        scenario const& conditions, policy_kind const& policy,
        std::uint64_t seed)
        : settings_(settings), scenario_(conditions), policy_(policy),
          fleet_(
              settings, shape, draw_ground_truth(settings, conditions, seed),
              seed + 1),
          arrivals_(seed + 2), engine_(seed + 3),
          last_second_(settings.at("seconds")),
          warm_up_(settings.at("warm_up_seconds"))
    {
        make_view();
        make_controls();
    }

    policy_results run()
    {
        while (fleet_.now() < last_second_) {
            apply_scenario();
            add_arrivals();
            for (auto const& event : fleet_.advance())
                std::visit([this](auto const& what) { on(what); }, event);
            control();
            drain();
            place();
        }
        results_.fleet = fleet_.statistics();
        return results_;
    }

private:
    // Load and faults of the scenario.

    int first_third() const { return warm_up_ + (last_second_ - warm_up_) / 3; }
    int second_third() const
    {
        return warm_up_ + (last_second_ - warm_up_) * 2 / 3;
    }
    bool is_middle() const
    {
        return fleet_.now() >= first_third() && fleet_.now() < second_third();
    }

    void apply_scenario()
    {
        auto const now = fleet_.now();
        auto const wave = 0.85 + 0.15 * std::sin(now / 600.0);
        fleet_.set_load(
            scenario_.load_shift && is_middle() ? 1.6 * wave : wave);
        auto const in_drain =
            now >= first_third() && now < second_third() + return_window;
        fleet_.set_counting(now >= warm_up_, scenario_.domain_out && in_drain);
        if (scenario_.bad_worker && now == 1)
            fleet_.set_bad_worker(4);
        if (scenario_.domain_out)
            apply_domain_out(now);
        if (scenario_.cancellations &&
            now == (first_third() + second_third()) / 2)
            cancel_jobs();
    }

    void apply_domain_out(int now)
    {
        failure_domain_id const domain{"d1"};
        auto const out_at = first_third() + drain_notice;
        if (now == first_third()) {
            table_.domains_out.insert(domain);
            drains_.start_drain(domain, at_second(out_at));
        }
        if (now == out_at)
            fleet_.set_domain_up(1, false);
        if (now != second_third())
            return;
        table_.domains_out.erase(domain);
        fleet_.set_domain_up(1, true);
        drains_.return_to_service(domain, at_second(now));
    }

    void cancel_jobs()
    {
        boost::random::uniform_01<double> chance;
        waiting_.remove_if(
            [&](fake_job const&) { return chance(arrivals_) < 0.4; });
        for (std::size_t worker_index = 0; worker_index < worker_count();
             ++worker_index) {
            for (auto const& task : fleet_.tasks(worker_index)) {
                if (chance(arrivals_) < 0.4)
                    fleet_.cancel(worker_index, task.job.number);
            }
        }
    }

    void add_arrivals()
    {
        auto const& classes = fleet_.truth().classes;
        auto const services = settings_.at("services").size();
        auto const batch = classes.size() - services;
        auto const batch_capacity =
            (1.0 - double(settings_.at("service_share"))) *
            double(worker_count());
        for (auto class_index = services; class_index < classes.size();
             ++class_index) {
            auto const& kind = classes[class_index];
            auto const work = kind.cores_part * kind.run_seconds;
            auto rate = double(settings_.at("offered_load")) * batch_capacity /
                        double(batch) / work;
            if (scenario_.noisy_wave && is_middle() &&
                class_index == fleet_.truth().noisiest)
                rate *= 4;
            boost::random::poisson_distribution<int> count(rate);
            for (auto left = count(arrivals_); left > 0; --left)
                waiting_.push_back(draw_job(class_index));
        }
        if (scenario_.never_fit && fleet_.now() % 60 == 0) {
            auto job = draw_job(services);
            job.is_bad = true;
            if (fleet_.now() % 120 == 0) {
                job.actual.memory_mib =
                    2 * fleet_.shape().worker_size.memory_mib;
                job.declared.size.memory_mib = job.actual.memory_mib;
            }
            waiting_.push_back(job);
        }
    }

    fake_job draw_job(std::size_t class_index)
    {
        auto const& kind = fleet_.truth().classes[class_index];
        auto const& size = fleet_.shape().worker_size;
        boost::random::lognormal_distribution<double> variation(0.0, 0.25);
        fake_job job;
        job.number = ++last_job_;
        job.queued_at = fleet_.now();
        job.class_index = class_index;
        auto const part = std::min(2.0, variation(arrivals_));
        job.actual.millicores =
            std::llround(kind.cores_part * part * double(size.millicores));
        job.actual.memory_mib = std::llround(
            kind.memory_part * std::min(2.0, variation(arrivals_)) *
            double(size.memory_mib));
        job.work_seconds = kind.run_seconds * variation(arrivals_);
        auto const declare = [&](std::int64_t actual, std::int64_t most) {
            auto const declaration_error =
                kind.declared_factor * variation(arrivals_);
            return std::clamp<std::int64_t>(
                std::llround(double(actual) * declaration_error), 1, most);
        };
        job.declared.size.millicores =
            declare(job.actual.millicores, size.millicores * 8 / 10);
        job.declared.size.memory_mib =
            declare(job.actual.memory_mib, size.memory_mib * 8 / 10);
        job.declared.run_time =
            seconds(std::llround(job.work_seconds * kind.declared_factor) + 1);
        return job;
    }

    // The policy's view of the fleet.

    std::size_t worker_count() const
    {
        return std::size_t(fleet_.shape().workers);
    }

    class_number class_of(std::size_t class_index)
    {
        return view_.class_of(row_id{fleet_.truth().classes[class_index].name});
    }

    void make_view()
    {
        for (std::size_t class_index = 0;
             class_index < fleet_.truth().classes.size(); ++class_index) {
            row_id const row{fleet_.truth().classes[class_index].name};
            table_.rows[row].id = row;
            class_of(class_index);
        }
        for (std::size_t worker_index = 0; worker_index < worker_count();
             ++worker_index) {
            view_.add_worker(fleet_.describe(worker_index));
            view_.commit(
                fleet_.describe(worker_index).id,
                class_of(fleet_.service_of(worker_index)),
                fleet_.service_reservation());
            worker_ids_.push_back(fleet_.describe(worker_index).id);
            auto const domain = fleet_.describe(worker_index).domain;
            if (std::find(
                    table_.domains.begin(), table_.domains.end(), domain) ==
                table_.domains.end())
                table_.domains.push_back(domain);
            worker_index_of_[worker_ids_.back()] = worker_index;
        }
        view_.set_complete(true);
    }

    void make_controls()
    {
        control_settings settings;
        if (policy_.control == control_kind::evict_only)
            settings.lowest_speed = 1.0;
        controls_.assign(worker_count(), interference_control(settings));
        histories_.assign(worker_count(), occupancy_history(seconds(60)));
    }

    running_task describe_task(std::size_t worker_index, fake_task const& task)
    {
        running_task described;
        described.id = attempt_of(task);
        described.where = worker_ids_[worker_index];
        described.task_class = class_of(task.job.class_index);
        described.reserved = task.reserved;
        described.cores_used =
            task.speed * double(task.job.actual.millicores) / 1000;
        described.speed = task.speed;
        described.since_checkpoint = seconds(fleet_.now() - task.saved_at);
        described.checkpoint_time = seconds(
            fleet_.truth().classes[task.job.class_index].checkpoint_seconds);
        described.expected_remaining = sizes_.remaining_time(
            described.task_class, task.job.declared.run_time,
            seconds(std::llround(task.job.done_seconds)));
        return described;
    }

    static attempt_id attempt_of(fake_task const& task)
    {
        return {
            job_id{std::to_string(task.job.number)},
            attempt_number{task.job.attempts}};
    }

    std::vector<running_task> describe_tasks(std::size_t worker_index)
    {
        std::vector<running_task> tasks;
        for (auto const& task : fleet_.tasks(worker_index)) {
            if (task.stops_at == 0)
                tasks.push_back(describe_task(worker_index, task));
        }
        return tasks;
    }

    std::vector<class_presence> presences(std::size_t worker_index)
    {
        std::vector<class_presence> found;
        auto const cores = double(fleet_.shape().worker_size.millicores) / 1000;
        for (auto const& task : describe_tasks(worker_index))
            found.push_back({task.task_class, task.cores_used / cores});
        return found;
    }

    // Events of the fleet.

    void on(service_reported const& report)
    {
        auto const worker_index = report.worker;
        auto const victim = class_of(report.service);
        if (policy_.learns_interference) {
            auto const then = histories_[worker_index].mean_presence(
                at_second(report.from), at_second(report.to));
            model_.observe({victim, report.slowdown, then});
        }
        if (policy_.control == control_kind::threshold)
            evict_largest(report);
        if (policy_.control != control_kind::ours &&
            policy_.control != control_kind::evict_only)
            return;
        auto const tasks = describe_tasks(worker_index);
        auto const cores = double(fleet_.shape().worker_size.millicores) / 1000;
        auto const actions = controls_[worker_index].on_report(
            {victim, report.slowdown, at_second(report.to)}, tasks, cores,
            model_, at_second(fleet_.now()));
        for (auto const& action : actions)
            std::visit(
                [&](auto const& what) { apply(worker_index, what); }, action);
    }

    void apply(std::size_t worker_index, throttle_task const& action)
    {
        for (auto& task : fleet_.tasks(worker_index)) {
            if (attempt_of(task) == action.id)
                task.speed = action.speed;
        }
    }

    void apply(std::size_t worker_index, evict_task const& action)
    {
        fleet_.evict(worker_index, std::stoull(action.id.job.value));
    }

    void evict_largest(service_reported const& report)
    {
        if (report.slowdown < threshold_limit)
            return;
        auto const& tasks = fleet_.tasks(report.worker);
        fake_task const* largest = nullptr;
        for (auto const& task : tasks) {
            if (task.stops_at == 0 &&
                (largest == nullptr ||
                 task.job.actual.millicores > largest->job.actual.millicores))
                largest = &task;
        }
        if (largest != nullptr)
            fleet_.evict(report.worker, largest->job.number);
    }

    void on(task_ended const& end)
    {
        using kind = task_ended::kind;
        auto const task_class = class_of(end.job.class_index);
        view_.release(worker_ids_[end.worker], task_class, end.reserved);
        auto const used = task_usage{
            end.job.actual, seconds(std::llround(end.job.work_seconds))};
        if (policy_.learns_sizes && end.how == kind::finished)
            sizes_.observe_finished(task_class, end.job.declared, used);
        if (policy_.learns_sizes && end.how == kind::out_of_memory)
            sizes_.observe_running(task_class, end.job.declared, used);
        auto const is_parked =
            policy_.tracks_faults && track_faults(end, task_class);
        if (end.how == kind::finished || end.how == kind::cancelled ||
            is_parked)
            return;
        if (end.job.attempts >= max_attempts && end.how == kind::failed)
            return;
        if (end.how == kind::failed)
            requeue(end.job, false);
        else
            requeue(end.job, true);
    }

    void requeue(fake_job job, bool first)
    {
        job.queued_at = fleet_.now();
        waiting_.insert(first ? waiting_.begin() : waiting_.end(), job);
    }

    bool track_faults(task_ended const& end, class_number task_class)
    {
        using kind = task_ended::kind;
        auto how = task_end_kind::evicted;
        if (end.how == kind::finished)
            how = task_end_kind::finished;
        if (end.how == kind::failed)
            how = task_end_kind::failed;
        auto is_parked = false;
        auto const actions = faults_.on_task_end(
            {job_id{std::to_string(end.job.number)}, task_class,
             worker_ids_[end.worker], how},
            worker_count(), at_second(fleet_.now()));
        for (auto const& action : actions) {
            if (auto const* bad = std::get_if<quarantine_worker>(&action))
                view_.set_available(bad->id, false);
            if (auto const* good = std::get_if<release_worker>(&action))
                view_.set_available(good->id, true);
            if (std::holds_alternative<park_job>(action)) {
                is_parked = true;
                ++(end.job.is_bad ? results_.parked_bad : results_.parked_good);
            }
        }
        return is_parked;
    }

    // Interference control, once per second.

    void control()
    {
        for (std::size_t worker_index = 0; worker_index < worker_count();
             ++worker_index) {
            histories_[worker_index].record(
                at_second(fleet_.now()), presences(worker_index));
            if (policy_.control == control_kind::oracle)
                throttle_by_ground_truth(worker_index);
            if (policy_.control == control_kind::ours)
                plan_speeds(worker_index);
        }
    }

    void plan_speeds(std::size_t worker_index)
    {
        auto const cores = double(fleet_.shape().worker_size.millicores) / 1000;
        auto const actions = controls_[worker_index].plan_speeds(
            describe_tasks(worker_index), cores, model_);
        for (auto const& action : actions)
            std::visit(
                [&](auto const& what) { apply(worker_index, what); }, action);
    }

    // Throttles tasks, those that slow the service most per core first, until
    // the actual slowdown is within the limit or the lowest speed is reached.
    void throttle_by_ground_truth(std::size_t worker_index)
    {
        auto& tasks = fleet_.tasks(worker_index);
        for (auto& task : tasks)
            task.speed = 1.0;
        auto const& effects =
            fleet_.truth().effects[fleet_.service_of(worker_index)];
        std::vector<fake_task*> order;
        order.reserve(tasks.size());
        for (auto& task : tasks)
            order.push_back(&task);
        std::sort(order.begin(), order.end(), [&](auto* left, auto* right) {
            return effects[left->job.class_index] >
                   effects[right->job.class_index];
        });
        for (auto* task : order) {
            for (; fleet_.true_slowdown(worker_index) > oracle_limit &&
                   task->speed > lowest_speed;)
                task->speed -= 0.1;
        }
    }

    void drain()
    {
        failure_domain_id const domain{"d1"};
        auto const now = at_second(fleet_.now());
        if (!policy_.plans_drains ||
            drains_.phase(domain, now) != domain_phase::draining)
            return;
        std::vector<running_task> tasks;
        unsigned moving = 0;
        for (std::size_t worker_index = 0; worker_index < worker_count();
             ++worker_index) {
            if (fleet_.domain_of(worker_index) != 1)
                continue;
            for (auto const& task : fleet_.tasks(worker_index)) {
                if (task.stops_at != 0)
                    ++moving;
                else
                    tasks.push_back(describe_task(worker_index, task));
            }
        }
        auto const steps = drains_.next_steps(
            domain, {tasks, moving, drains_.free_in_service(view_, now)}, now);
        for (auto const& step : steps) {
            auto const id = std::get<move_task>(step).id;
            for (auto const& task : tasks) {
                if (task.id == id)
                    fleet_.evict(
                        worker_index_of_.at(task.where),
                        std::stoull(id.job.value));
            }
        }
    }

    // Placement.

    void place()
    {
        start_probes();
        int left = placements_per_second;
        // Like a queue per row: after a refusal the row is skipped this round.
        std::set<std::size_t> refused;
        auto const services = settings_.at("services").size();
        auto const rows = fleet_.truth().classes.size() - services;
        for (auto job = waiting_.begin();
             job != waiting_.end() && left > 0 && refused.size() < rows;) {
            if (refused.contains(job->class_index)) {
                ++job;
                continue;
            }
            --left;
            auto const reserved = reservation(*job);
            auto const where = choose(*job, reserved);
            if (auto const* worker = std::get_if<std::size_t>(&where)) {
                launch(*worker, *job, reserved);
                job = waiting_.erase(job);
                continue;
            }
            auto const reason = std::get<refusal_reason>(where);
            if (reason == refusal_reason::never_fits) {
                ++results_.refused;
                job = waiting_.erase(job);
                continue;
            }
            refused.insert(job->class_index);
            ++job;
        }
    }

    void start_probes()
    {
        if (!policy_.tracks_faults || waiting_.empty())
            return;
        for (auto const& id :
             faults_.take_due_probes(at_second(fleet_.now()))) {
            auto const worker_index = worker_index_of_.at(id);
            auto const reserved = reservation(waiting_.front());
            if (waiting_.empty() || !fleet_.admits(worker_index, reserved))
                continue;
            launch(worker_index, waiting_.front(), reserved);
            waiting_.pop_front();
        }
    }

    resources reservation(fake_job const& job)
    {
        if (policy_.placement == placement_kind::oracle)
            return job.actual;
        if (!policy_.learns_sizes)
            return job.declared.size;
        auto const free =
            fleet_.shape().worker_size - fleet_.service_reservation();
        return sizes_.reservation(
            class_of(job.class_index), job.declared.size, free);
    }

    using choice = std::variant<std::size_t, refusal_reason>;

    choice choose(fake_job const& job, resources const& reserved)
    {
        if (policy_.placement != placement_kind::ours)
            return choose_baseline(job, reserved);
        placement_hooks hooks;
        auto const share = double(reserved.millicores) /
                           double(fleet_.shape().worker_size.millicores);
        hooks.interference = [&](class_number task_class,
                                 worker_state const& worker) {
            return model_.added_slowdown(task_class, share, worker);
        };
        hooks.domain_open = [&](failure_domain_id const& domain) {
            return drains_.may_start_in(
                domain, view_.domain_totals(domain), at_second(fleet_.now()));
        };
        auto const waited = seconds(fleet_.now() - job.queued_at);
        placement_weights weights;
        weights.interference_limit = interference_limit_after(waited);
        auto const chosen = choose_worker(
            reserved, view_.row_of(class_of(job.class_index)), table_, view_,
            engine_, hooks, weights);
        if (auto const* id = std::get_if<worker_id>(&chosen))
            return worker_index_of_.at(*id);
        return std::get<placement_refusal>(chosen).reason;
    }

    choice choose_baseline(fake_job const& job, resources const& reserved)
    {
        std::vector<std::size_t> open;
        for (std::size_t worker_index = 0; worker_index < worker_count();
             ++worker_index) {
            if (table_.domains_out.contains(
                    fleet_.describe(worker_index).domain))
                continue;
            auto const* state = view_.find_worker(worker_ids_[worker_index]);
            if (fits(reserved, state->free_capacity()) &&
                fleet_.is_up(worker_index))
                open.push_back(worker_index);
        }
        auto const is_oracle = policy_.placement == placement_kind::oracle;
        if (is_oracle && job.is_bad)
            return refusal_reason::never_fits;
        if (is_oracle && scenario_.bad_worker)
            std::erase(open, 4U);
        if (is_oracle)
            keep_low_interference(open, job);
        if (open.empty())
            return refusal_reason::no_room_now;
        if (policy_.placement == placement_kind::first_fit)
            return open.front();
        if (policy_.placement == placement_kind::random) {
            boost::random::uniform_int_distribution<std::size_t> draw(
                0, open.size() - 1);
            return open[draw(engine_)];
        }
        return *std::min_element(
            open.begin(), open.end(), [&](std::size_t left, std::size_t right) {
                return cost(left, job, is_oracle) < cost(right, job, is_oracle);
            });
    }

    // Like the project's policy, the oracle waits for a worker with little
    // interference, but it knows the actual slowdowns.
    void
    keep_low_interference(std::vector<std::size_t>& open, fake_job const& job)
    {
        auto const limit =
            interference_limit_after(seconds(fleet_.now() - job.queued_at));
        auto const share = double(job.actual.millicores) /
                           double(fleet_.shape().worker_size.millicores);
        std::erase_if(open, [&](std::size_t worker_index) {
            auto const service = fleet_.service_of(worker_index);
            return fleet_.truth().effects[service][job.class_index] * share >
                   limit;
        });
    }

    double cost(std::size_t worker_index, fake_job const& job, bool is_oracle)
    {
        auto const* state = view_.find_worker(worker_ids_[worker_index]);
        auto const whole = double(fleet_.shape().worker_size.millicores);
        auto const load = double(state->committed.millicores) / whole;
        if (!is_oracle)
            return load;
        auto const& effects = fleet_.truth().effects;
        auto const share = double(job.actual.millicores) / whole;
        auto sum =
            effects[fleet_.service_of(worker_index)][job.class_index] * share;
        for (auto const& task : fleet_.tasks(worker_index)) {
            auto const other = double(task.job.actual.millicores) / whole;
            sum +=
                0.25 * (effects[task.job.class_index][job.class_index] * share +
                        effects[job.class_index][task.job.class_index] * other);
        }
        return 4.0 * sum + load;
    }

    void launch(
        std::size_t worker_index, fake_job const& job,
        resources const& reserved)
    {
        constexpr int normal_delay = 1;
        constexpr int slow_delay = 15;
        auto const delay =
            scenario_.store_slow && is_middle() ? slow_delay : normal_delay;
        if (!fleet_.admits(worker_index, reserved))
            throw std::logic_error("reservations exceed the worker's capacity");
        fleet_.start(worker_index, job, reserved, delay);
        view_.commit(
            worker_ids_[worker_index], class_of(job.class_index), reserved);
    }

    nlohmann::json const& settings_;
    scenario scenario_;
    policy_kind policy_;
    fake_fleet fleet_;
    random_engine arrivals_;
    random_engine engine_;
    int last_second_;
    int warm_up_;
    std::size_t last_job_ = 0;
    std::list<fake_job> waiting_;
    std::vector<worker_id> worker_ids_;
    std::map<worker_id, std::size_t> worker_index_of_;
    table_policy table_;
    fleet_view view_;
    usage_estimator sizes_;
    interference_model model_;
    std::vector<interference_control> controls_;
    std::vector<occupancy_history> histories_;
    fault_tracker faults_;
    drain_planner drains_;
    policy_results results_;
};

} // namespace

ground_truth draw_ground_truth(
    nlohmann::json const& settings, scenario const& conditions,
    std::uint64_t seed)
{
    random_engine engine(seed);
    boost::random::uniform_01<double> part;
    boost::random::normal_distribution<double> declaration_error(0.0, 0.7);
    auto const between = [&](double low, double high) {
        return low + (high - low) * part(engine);
    };
    ground_truth truth;
    for (auto const& name : settings.at("services")) {
        actual_class service;
        service.name = name;
        service.is_service = true;
        truth.classes.push_back(service);
    }
    auto const services = truth.classes.size();
    for (auto const& read : settings.at("batch_classes")) {
        actual_class batch;
        batch.name = read.at("name");
        batch.cores_part = read.at("cores_part");
        batch.memory_part = read.at("memory_part");
        batch.run_seconds = read.at("run_seconds");
        batch.checkpoint_seconds = read.at("checkpoint_seconds");
        auto const far_off = between(std::log(0.1), std::log(10.0));
        auto const usual = std::clamp(
            declaration_error(engine), far_off > 0 ? -2.3 : -2.0, 2.0);
        batch.declared_factor =
            std::exp(conditions.declarations_off ? far_off : usual);
        truth.classes.push_back(batch);
    }
    // A few batch classes slow others strongly; how much depends on the class
    // beside them.
    auto const all = truth.classes.size();
    std::set<std::size_t> noisy;
    while (noisy.size() < std::size_t(settings.at("noisy_classes"))) {
        boost::random::uniform_int_distribution<std::size_t> draw(
            services, all - 1);
        noisy.insert(draw(engine));
    }
    truth.effects.assign(all, std::vector<double>(all, 0.0));
    std::vector<double> total_effect(all, 0.0);
    for (std::size_t victim = 0; victim < all; ++victim) {
        for (auto other = services; other < all; ++other) {
            auto effect = between(0.0, 0.1);
            if (noisy.contains(other) && part(engine) < 0.6)
                effect =
                    victim < services ? between(0.8, 3.0) : between(0.2, 1.0);
            truth.effects[victim][other] = effect;
            if (victim < services)
                total_effect[other] += effect;
        }
    }
    truth.noisiest = std::size_t(
        std::max_element(total_effect.begin(), total_effect.end()) -
        total_effect.begin());
    return truth;
}

policy_results run_policy(
    nlohmann::json const& settings, fleet_shape const& shape,
    scenario const& conditions, policy_kind const& policy, std::uint64_t seed)
{
    return driver(settings, shape, conditions, policy, seed).run();
}

} // namespace sycamorespar::bench
