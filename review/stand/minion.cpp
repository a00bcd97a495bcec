/// The stand-in minion: orders, leases, lists of runs and heartbeats, as
/// PROTOCOL.md tells them.
#include "world.hpp"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

constexpr std::int64_t beat_ms = 1100;
constexpr std::int64_t tick_ms = 5;
constexpr std::size_t ends_in_list = 500;

/// The number after "name=" in a spec; a default if it isn't there.
std::int64_t spec_number(
    std::string const& spec, std::string const& name, std::int64_t usual)
{
    auto const at = spec.find(name + "=");
    return at == std::string::npos
               ? usual
               : std::atoll(spec.c_str() + at + name.size() + 1);
}

} // namespace

minion::minion(
    event_loop& loop, recorder& record, histories& seen,
    minion_settings settings)
    : loop_(loop), record_(record), seen_(seen), settings_(std::move(settings))
{}

minion::~minion()
{
    if (timer_ != 0)
        loop_.cancel(timer_);
}

std::int64_t minion::used() const
{
    std::int64_t sum = 0;
    for (auto const& [task, run] : runs_)
        sum += run.cpu;
    return sum;
}

std::int64_t minion::clock_ms() const
{
    return now_ms() - life_began_ms_ + 1;
}

void minion::start()
{
    ++life_;
    life_began_ms_ = now_ms();
    born_ = unix_ms() + clock_error_ms;
    sequence_ = 0;
    token_ = 0;
    deadline_ms_ = 0;
    next_end_ = 1;
    ends_.clear();
    runs_.clear();
    finished_.clear();
    waiting_.clear();
    is_draining = false;
    server_ = std::make_unique<http_server>(
        loop_, http_server_limits{},
        [this](exchange_id exchange, http_request const& request) {
            handle(exchange, request);
        });
    auto const listening = server_->listen(settings_.address);
    if (!ok(listening))
        throw cannot_run{"a minion can't listen: " + failure(listening).peer};
    if (control_ == nullptr) {
        http_client_limits limits;
        limits.timeout = std::chrono::milliseconds(1000);
        limits.max_connections = 4;
        control_ =
            std::make_unique<http_client>(loop_, settings_.control, limits);
    }
    record_.line(
        settings_.name + " life " + std::to_string(life_) + " begins, born " +
        std::to_string(born_));
    next_beat_ms_ = now_ms();
    if (timer_ == 0)
        timer_ =
            loop_.every(std::chrono::milliseconds(tick_ms), [this] { tick(); });
}

void minion::crash()
{
    record_.line(
        settings_.name + " crashes, with " + std::to_string(runs_.size()) +
        " runs");
    for (auto const& [task, run] : runs_) {
        auto& last = seen_[task];
        for (auto& each : last) {
            if (each.minion == settings_.name && each.life == life_ &&
                each.number == run.number && each.ended_ms < 0) {
                each.ended_ms = now_ms();
                each.how = "crash";
            }
        }
    }
    runs_.clear();
    ends_.clear();
    waiting_.clear();
    server_.reset();
}

json minion::beat_body()
{
    return {
        {"service", settings_.service},
        {"address", to_string(settings_.address)},
        {"zone", settings_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", is_draining ? "draining" : "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         {{"cpu", settings_.cpu}, {"mem_mb", settings_.mem_mb}, {"gpu", 0}}},
        {"labels", {"a", settings_.rack}},
        {"clock_ms", clock_ms()},
        {"born", born_},
        {"sequence", ++sequence_}};
}

void minion::send_beat(json const& body)
{
    control_->call(
        {"PUT",
         "/-/minions/" + settings_.id,
         {{"Content-Type", "application/json"}},
         body.dump()},
        [this, body](result<http_response> const& answer) {
            if (on_beat_answer)
                on_beat_answer(ok(answer) ? value(answer).status : 0, body);
        });
}

void minion::beat()
{
    send_beat(beat_body());
}

void minion::tick()
{
    if (!is_up())
        return;
    auto const now = now_ms();
    if (now >= next_beat_ms_) {
        next_beat_ms_ = now + beat_ms;
        beat();
    }
    if (deadline_ms_ > 0 && clock_ms() > deadline_ms_ && !runs_.empty())
        lapse();
    std::vector<std::pair<std::string, std::string>> over;
    for (auto const& [task, run] : runs_) {
        if (run.ends_ms >= 0 && now >= run.ends_ms)
            over.emplace_back(task, run.end_how);
        else if (run.stops_ms >= 0 && now >= run.stops_ms)
            over.emplace_back(task, "stopped");
    }
    for (auto const& [task, how] : over)
        end(task, how);
    auto const waiting = waiting_;
    waiting_.clear();
    for (auto const& each : waiting) {
        if (!ends_.empty() || now >= each.until_ms)
            answer_hold(each.exchange);
        else
            waiting_.push_back(each);
    }
}

void minion::lapse()
{
    record_.line(settings_.name + " lease lapses");
    for (auto& [task, list] : seen_) {
        for (auto& each : list) {
            if (each.minion == settings_.name && each.life == life_ &&
                each.ended_ms >= 0 && each.noted_ms < 0)
                each.lapsed_between = true;
        }
    }
    std::vector<std::string> all;
    for (auto const& [task, run] : runs_)
        all.push_back(task);
    for (auto const& task : all)
        end(task, "lapsed");
}

void minion::end(std::string const& task, std::string const& how)
{
    auto const run = runs_.at(task);
    runs_.erase(task);
    finished_[task] = std::max(finished_[task], run.number);
    auto& list = seen_[task];
    std::size_t at = 0;
    for (std::size_t each = 0; each < list.size(); ++each) {
        if (list[each].minion == settings_.name && list[each].life == life_ &&
            list[each].number == run.number)
            at = each;
    }
    list[at].ended_ms = now_ms();
    list[at].how = how;
    ends_.push_back({next_end_++, task, run.number, how, at});
    record_.line(
        settings_.name + " run ends " + task + " run " +
        std::to_string(run.number) + " " + how + " as end " +
        std::to_string(next_end_ - 1));
}

void minion::answer(exchange_id exchange, int status, json body)
{
    body["clock_ms"] = clock_ms();
    body["born"] = born_;
    server_->respond(
        exchange,
        {status, {{"Content-Type", "application/json"}}, body.dump()});
}

void minion::refuse(exchange_id exchange, char const* reason)
{
    answer(exchange, 409, {{"reason", reason}});
}

bool minion::is_fenced(json const& from)
{
    auto const token = from.value("fencing_token", std::uint64_t{0});
    if (token < token_)
        return true;
    token_ = token;
    return false;
}

void minion::take_deadline(json const& from)
{
    auto const asked = from.value("deadline_ms", std::int64_t{0});
    deadline_ms_ = std::max(
        deadline_ms_, std::min(asked, clock_ms() + settings_.hold_max_ms));
}

void minion::handle(exchange_id exchange, http_request const& request)
{
    auto const* const expected =
        find_header(request.headers, "X-Expected-Instance");
    if (expected != nullptr && *expected != settings_.id) {
        answer(exchange, 421, json::object());
        return;
    }
    auto const body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answer(exchange, 400, json::object());
        return;
    }
    if (request.target == "/-/run-start")
        start_run(exchange, body);
    else if (request.target == "/-/run-stop")
        stop_run(exchange, body);
    else if (request.target == "/-/hold")
        hold(exchange, body);
    else if (request.target == "/-/pace")
        answer(exchange, 200, json::object());
    else
        answer(exchange, 404, json::object());
}

void minion::start_run(exchange_id exchange, json const& from)
{
    auto const task = from.at("task").get<std::string>();
    auto const number = from.at("run").get<std::uint32_t>();
    auto const spec = from.value("spec", std::string());
    auto const token = from.value("fencing_token", std::uint64_t{0});
    auto const note = [&](char const* result) {
        record_.line(
            settings_.name + " is told to start " + task + " run " +
            std::to_string(number) + " token " + std::to_string(token) + ": " +
            result);
    };
    if (is_fenced(from)) {
        note("fence");
        refuse(exchange, "fence");
        return;
    }
    if (from.value("deadline_ms", std::int64_t{0}) < clock_ms()) {
        note("late");
        refuse(exchange, "late");
        return;
    }
    take_deadline(from);
    auto const running = runs_.find(task);
    if (running != runs_.end() && running->second.number == number) {
        answer(exchange, 200, json::object());
        return;
    }
    auto const old = finished_.find(task);
    if ((running != runs_.end() && running->second.number > number) ||
        (old != finished_.end() && number <= old->second)) {
        note("old");
        refuse(exchange, "old");
        return;
    }
    auto const cpu = spec_number(spec, "cpu", 0);
    if (used() + cpu > settings_.cpu) {
        note("room");
        refuse(exchange, "room");
        return;
    }
    minion_run run;
    run.task = task;
    run.number = number;
    run.spec = spec;
    run.cpu = cpu;
    run.began_ms = now_ms();
    auto const time = spec_number(spec, "ms", 1000);
    if (time > 0)
        run.ends_ms = now_ms() + time;
    auto& list = seen_[task];
    if (static_cast<std::int64_t>(list.size()) < spec_number(spec, "fail", 0))
        run.end_how = "failed";
    list.push_back(
        {settings_.name, life_, number, now_ms(), -1, "", -1, false, token});
    runs_[task] = run;
    note("begun");
    answer(exchange, 200, json::object());
}

void minion::stop_run(exchange_id exchange, json const& from)
{
    if (is_fenced(from)) {
        refuse(exchange, "fence");
        return;
    }
    auto const task = from.at("task").get<std::string>();
    auto const number = from.at("run").get<std::uint32_t>();
    record_.line(
        settings_.name + " is told to stop " + task + " run " +
        std::to_string(number));
    auto const running = runs_.find(task);
    if (running != runs_.end() && running->second.number == number) {
        if (running->second.stops_ms < 0)
            running->second.stops_ms = now_ms() + settings_.stop_ms;
    } else {
        finished_[task] = std::max(finished_[task], number);
    }
    answer(exchange, 200, json::object());
}

void minion::hold(exchange_id exchange, json const& from)
{
    if (is_fenced(from)) {
        refuse(exchange, "fence");
        return;
    }
    take_deadline(from);
    auto const last_seen = from.value("last_seen", std::uint64_t{0});
    for (auto const& each : ends_) {
        if (each.number > last_seen)
            break;
        auto& noted = seen_[each.task][each.history];
        if (noted.noted_ms < 0)
            noted.noted_ms = now_ms();
    }
    std::erase_if(ends_, [&](listed_end const& each) {
        return each.number <= last_seen;
    });
    auto const wait = from.value("wait_ms", std::int64_t{0});
    if (!ends_.empty() || wait == 0)
        answer_hold(exchange);
    else
        waiting_.push_back({exchange, now_ms() + wait});
}

void minion::answer_hold(exchange_id exchange)
{
    json running = json::array();
    for (auto const& [task, run] : runs_) {
        auto percent = std::int64_t{100};
        if (run.ends_ms >= 0)
            percent = 100 * (now_ms() - run.began_ms) /
                      std::max<std::int64_t>(run.ends_ms - run.began_ms, 1);
        running.push_back(
            {task, run.number, "", std::min<std::int64_t>(percent, 100),
             run.cpu});
    }
    json ended = json::array();
    for (auto const& each : ends_) {
        if (ended.size() == ends_in_list)
            break;
        ended.push_back({each.number, each.task, each.run, each.how, ""});
    }
    answer(
        exchange, 200,
        {{"running", std::move(running)}, {"ended_runs", std::move(ended)}});
}

} // namespace review
