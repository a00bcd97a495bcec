/// Applies the events in the order of time and keeps the state that each rule
/// needs. Starts in a failure domain that is out are measured from the accepted
/// edit. "Not run" answers are checked at the end, because the request may be
/// started after the answer.
#include "standins/history-check/history_checker.hpp"

#include <algorithm>
#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace history {

namespace {

using json = nlohmann::json;

std::map<std::string, event_kind> const kinds{
    {"request_sent", event_kind::request_sent},
    {"request_answered", event_kind::request_answered},
    {"request_start", event_kind::request_start},
    {"request_end", event_kind::request_end},
    {"request_over_slots", event_kind::request_over_slots},
    {"job_submitted", event_kind::job_submitted},
    {"upstream_stop_planned", event_kind::upstream_stop_planned},
    {"upstream_stopped", event_kind::upstream_stopped},
    {"task_start", event_kind::task_start},
    {"task_end", event_kind::task_end},
    {"task_checkpoint", event_kind::task_checkpoint},
    {"worker_capacity", event_kind::worker_capacity},
    {"domain_out", event_kind::domain_out},
    {"domain_in", event_kind::domain_in},
    {"table_revision_seen", event_kind::table_revision_seen}};

std::map<std::string, reported_outcome> const outcomes{
    {"ran", reported_outcome::ran},
    {"not_run", reported_outcome::not_run},
    {"unknown", reported_outcome::unknown}};

event read_event(json const& line)
{
    event seen;
    seen.kind = kinds.at(line.at("event").get<std::string>());
    seen.at = std::chrono::microseconds{line.at("t_us").get<std::int64_t>()};
    seen.who = line.value("who", "");
    seen.key = line.value("key", "");
    seen.upstream = line.value("upstream", "");
    seen.job = line.value("job", "");
    seen.attempt = line.value("attempt", std::uint64_t{0});
    seen.worker = line.value("worker", "");
    seen.failure_domain = line.value("failure_domain", "");
    seen.repeatable = line.value("repeatable", true);
    seen.outcome = outcomes.at(line.value("outcome", "unknown"));
    seen.body_key = line.value("body_key", "");
    seen.whole = line.value("whole", true);
    seen.how = line.value("how", "");
    seen.size.millicores = line.value("millicores", std::int64_t{0});
    seen.size.memory_mib = line.value("memory_mib", std::int64_t{0});
    seen.size.accelerators = line.value("accelerators", std::int64_t{0});
    seen.revision = line.value("revision", std::uint64_t{0});
    return seen;
}

struct running_task
{
    std::string worker;
    std::uint64_t attempt = 0;
    amounts size;
};

struct worker_state
{
    std::optional<amounts> capacity;
    amounts used;
};

class checker
{
public:
    explicit checker(check_limits const& limits) : limits_(limits) {}

    void apply(event const& seen);
    std::vector<violation> finish();

private:
    void fail(rule broken, event const& seen, std::string const& text);
    void on_answer(event const& seen);
    void on_request_start(event const& seen);
    void on_request_end(event const& seen);
    void on_task_start(event const& seen);
    void on_task_end(event const& seen);
    void on_worker(event const& seen);
    bool may_repeat(event const& seen) const;
    void check_domain(event const& seen);
    void check_capacity(event const& seen);

    check_limits limits_;
    std::vector<violation> violations_;
    std::map<std::string, bool> repeatable_;
    std::map<std::string, unsigned> request_starts_;
    std::map<std::string, event> not_run_answers_;
    /// Requests that an upstream has started and not ended, by key.
    std::map<std::string, event> open_;
    std::set<std::string> stopping_;
    std::set<std::string> unrepeatable_jobs_;
    std::map<std::string, std::vector<running_task>> running_;
    /// How the last attempt of a non-repeatable job ended, by job.
    std::map<std::string, std::string> unrepeatable_ends_;
    std::set<std::string> unrepeatable_started_;
    std::map<std::string, worker_state> workers_;
    std::map<std::string, std::chrono::microseconds> out_since_;
    std::map<std::string, std::uint64_t> revisions_;
};

void checker::fail(rule broken, event const& seen, std::string const& text)
{
    violations_.push_back(
        {broken, text + " at " + std::to_string(seen.at.count()) + " us"});
}

void checker::on_answer(event const& seen)
{
    if (seen.outcome == reported_outcome::not_run)
        not_run_answers_.emplace(seen.key, seen);
    if (seen.outcome != reported_outcome::ran)
        return;
    if (!seen.whole)
        fail(
            rule::answer_is_own_and_whole, seen,
            seen.key + ": answer truncated or altered");
    if (seen.body_key != seen.key)
        fail(
            rule::answer_is_own_and_whole, seen,
            seen.key + ": received the answer to " + seen.body_key);
}

void checker::on_request_start(event const& seen)
{
    unsigned const starts = ++request_starts_[seen.key];
    auto const found = repeatable_.find(seen.key);
    bool const repeatable = found != repeatable_.end() && found->second;
    if (starts > 1 && !repeatable)
        fail(rule::not_repeated, seen, seen.key + ": request started again");
    open_.insert_or_assign(seen.key, seen);
}

void checker::on_request_end(event const& seen)
{
    open_.erase(seen.key);
    if (seen.how == "cut" && stopping_.contains(seen.upstream))
        fail(
            rule::planned_stop_cuts_nothing, seen,
            seen.key + ": cut by the planned stop of " + seen.upstream);
}

bool checker::may_repeat(event const& seen) const
{
    return seen.repeatable && !unrepeatable_jobs_.contains(seen.job);
}

// A worker reports its capacity only when it starts, so it runs no task then.
// The tasks that it ran before count as lapsed.
void checker::on_worker(event const& seen)
{
    for (auto& [job, places] : running_) {
        std::size_t const removed =
            std::erase_if(places, [&](running_task const& task) {
                return task.worker == seen.worker;
            });
        if (removed > 0)
            unrepeatable_ends_[job] = "lapsed";
    }
    workers_[seen.worker] = {seen.size, {}};
}

void checker::check_domain(event const& seen)
{
    auto const out = out_since_.find(seen.failure_domain);
    if (out == out_since_.end())
        return;
    if (seen.at - out->second > limits_.domain_out_bound)
        fail(
            rule::domain_out, seen,
            seen.job + ": started in " + seen.failure_domain);
}

void checker::check_capacity(event const& seen)
{
    worker_state const& state = workers_[seen.worker];
    if (!state.capacity)
        return;
    if (state.used.millicores > state.capacity->millicores ||
        state.used.memory_mib > state.capacity->memory_mib ||
        state.used.accelerators > state.capacity->accelerators)
        fail(rule::capacity, seen, seen.worker + ": tasks exceed capacity");
}

void checker::on_task_start(event const& seen)
{
    std::vector<running_task>& places = running_[seen.job];
    if (!places.empty())
        fail(
            rule::one_place, seen,
            seen.job + ": runs on " + places.front().worker + " and " +
                seen.worker);
    if (!may_repeat(seen)) {
        bool const first = unrepeatable_started_.insert(seen.job).second;
        bool const resumed = unrepeatable_ends_[seen.job] == "stopped";
        if (!first && !resumed)
            fail(rule::not_repeated, seen, seen.job + ": task started again");
        unrepeatable_ends_[seen.job] = "running";
    }
    check_domain(seen);
    places.push_back({seen.worker, seen.attempt, seen.size});
    amounts& used = workers_[seen.worker].used;
    used.millicores += seen.size.millicores;
    used.memory_mib += seen.size.memory_mib;
    used.accelerators += seen.size.accelerators;
    check_capacity(seen);
}

void checker::on_task_end(event const& seen)
{
    std::vector<running_task>& places = running_[seen.job];
    auto const found = std::find_if(
        places.begin(), places.end(), [&](running_task const& task) {
            return task.worker == seen.worker && task.attempt == seen.attempt;
        });
    if (found == places.end()) {
        fail(rule::readable, seen, seen.job + ": ended without a start");
        return;
    }
    amounts& used = workers_[seen.worker].used;
    used.millicores -= found->size.millicores;
    used.memory_mib -= found->size.memory_mib;
    used.accelerators -= found->size.accelerators;
    places.erase(found);
    if (unrepeatable_started_.contains(seen.job))
        unrepeatable_ends_[seen.job] = seen.how;
}

void checker::apply(event const& seen)
{
    switch (seen.kind) {
    case event_kind::request_sent:
        repeatable_[seen.key] = seen.repeatable;
        return;
    case event_kind::request_answered:
        on_answer(seen);
        return;
    case event_kind::request_start:
        on_request_start(seen);
        return;
    case event_kind::request_end:
        on_request_end(seen);
        return;
    case event_kind::request_over_slots:
        fail(rule::capacity, seen, seen.key + ": sent to a full upstream");
        return;
    case event_kind::job_submitted:
        if (!seen.repeatable)
            unrepeatable_jobs_.insert(seen.job);
        return;
    case event_kind::upstream_stop_planned:
        stopping_.insert(seen.upstream);
        return;
    case event_kind::upstream_stopped:
        stopping_.erase(seen.upstream);
        return;
    case event_kind::task_start:
        on_task_start(seen);
        return;
    case event_kind::task_end:
        on_task_end(seen);
        return;
    case event_kind::task_checkpoint:
        return;
    case event_kind::worker_capacity:
        on_worker(seen);
        return;
    case event_kind::domain_out:
        out_since_.emplace(seen.failure_domain, seen.at);
        return;
    case event_kind::domain_in:
        out_since_.erase(seen.failure_domain);
        return;
    case event_kind::table_revision_seen:
        if (seen.revision < revisions_[seen.who])
            fail(rule::revision_grows, seen, seen.who + ": older revision");
        revisions_[seen.who] = std::max(revisions_[seen.who], seen.revision);
        return;
    }
}

std::vector<violation> checker::finish()
{
    for (auto const& [key, answer] : not_run_answers_) {
        if (request_starts_.contains(key))
            fail(
                rule::not_run_is_true, answer,
                key + ": ran although reported as not run");
    }
    for (auto const& [key, start] : open_) {
        if (stopping_.contains(start.upstream))
            fail(
                rule::planned_stop_cuts_nothing, start,
                key + ": not ended in the planned stop of " + start.upstream +
                    ", started");
    }
    return violations_;
}

} // namespace

char const* to_string(rule broken)
{
    switch (broken) {
    case rule::one_place:
        return "one_place";
    case rule::not_repeated:
        return "not_repeated";
    case rule::not_run_is_true:
        return "not_run_is_true";
    case rule::answer_is_own_and_whole:
        return "answer_is_own_and_whole";
    case rule::capacity:
        return "capacity";
    case rule::domain_out:
        return "domain_out";
    case rule::revision_grows:
        return "revision_grows";
    case rule::planned_stop_cuts_nothing:
        return "planned_stop_cuts_nothing";
    case rule::readable:
        return "readable";
    }
    return "unknown";
}

std::vector<event>
read_history(std::istream& from, std::vector<violation>& faults)
{
    std::vector<event> events;
    std::string line;
    for (std::size_t number = 1; std::getline(from, line); ++number) {
        if (line.empty())
            continue;
        try {
            events.push_back(read_event(json::parse(line)));
        } catch (std::exception const& why) {
            faults.push_back(
                {rule::readable,
                 "line " + std::to_string(number) + ": " + why.what()});
        }
    }
    return events;
}

std::vector<violation>
check_history(std::vector<event> events, check_limits const& limits)
{
    std::stable_sort(
        events.begin(), events.end(),
        [](event const& left, event const& right) {
            return left.at < right.at;
        });
    checker rules(limits);
    for (event const& seen : events)
        rules.apply(seen);
    return rules.finish();
}

} // namespace history
