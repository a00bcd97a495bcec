/// Stand-ins of the review's scripts: the platform's store, minions, clients
/// and processes of the project, all on loopback addresses and the real clock.
#ifndef REVIEW_WORLD_HPP
#define REVIEW_WORLD_HPP

#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/http_server.hpp"
#include "standins/kv/kv_service.hpp"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using nlohmann::json;
using namespace sycamorespar;

/// The script can't run; it ends with status 2.
struct cannot_run
{
    std::string reason;
};

/// Milliseconds since the script began.
std::int64_t now_ms();
/// Milliseconds since 1970.
std::int64_t unix_ms();

/// Writes record.txt: one line an event, with the time in milliseconds.
class recorder
{
public:
    explicit recorder(std::string const& path) : out_(path) {}
    void line(std::string const& text);

private:
    std::ofstream out_;
};

/// Passes the bytes of connections on, and can silence those that match.
class relay
{
public:
    relay(event_loop& loop, endpoint const& listen, endpoint const& target);
    ~relay();
    relay(relay const&) = delete;

    /// The connections whose latest request contains this text go silent for
    /// good: they stay open and carry nothing more.
    /// \return how many there were.
    int silence(std::string const& text);
    /// The next request that contains this text gets no answer, and reaches the
    /// target this much later.
    void delay_next(std::string const& text, std::int64_t ms);
    /// While set, all connections are reset and none is passed on.
    void refuse(bool is_refusing);

    struct pair;

private:
    friend struct pair;
    event_loop& loop_;
    endpoint target_;
    void* listener_ = nullptr;
    void send_later(std::string const& request);

    std::set<pair*> pairs_;
    std::string delayed_text_;
    std::int64_t delay_ms_ = 0;
    bool is_refusing_ = false;
};

/// One run on a minion.
struct minion_run
{
    std::string task;
    std::uint32_t number = 0;
    std::string spec;
    std::int64_t cpu = 0;
    std::int64_t began_ms = 0;
    /// When it ends by itself; negative: never.
    std::int64_t ends_ms = -1;
    std::string end_how = "done";
    /// When a stop takes effect; negative: no stop.
    std::int64_t stops_ms = -1;
};

/// What became of a run, for the checks. Times as in record.txt.
struct run_history
{
    std::string minion;
    std::uint64_t life = 0;
    std::uint32_t number = 0;
    std::int64_t began_ms = 0;
    std::int64_t ended_ms = -1;
    std::string how;
    /// When `last_seen` reached its end; negative: it never did.
    std::int64_t noted_ms = -1;
    /// The minion's lease lapsed between the two.
    bool lapsed_between = false;
    /// The token of the call that started it.
    std::uint64_t token = 0;
};

/// The runs of all tasks, by name.
using histories = std::map<std::string, std::vector<run_history>>;

/// Facts of a minion.
struct minion_settings
{
    std::string name;
    std::string id;
    std::string zone;
    std::string rack;
    std::string service;
    endpoint address;
    endpoint control;
    std::int64_t cpu = 16000;
    std::int64_t mem_mb = 64000;
    std::int64_t hold_max_ms = 6000;
    std::int64_t stop_ms = 300;
};

/// A minion as PROTOCOL.md describes it, with `admission_check`. The text
/// `spec` tells what a task does: "cpu=80 ms=1000", ms=0 for one that lasts,
/// and "fail=N" for tasks whose first N starts end `failed`.
class minion
{
public:
    minion(
        event_loop& loop, recorder& record, histories& seen,
        minion_settings settings);
    ~minion();
    minion(minion const&) = delete;

    /// Starts a life.
    void start();
    /// Ends it as a crash does: at once and silently.
    void crash();
    bool is_up() const { return server_ != nullptr; }
    std::size_t running() const { return runs_.size(); }
    std::int64_t used() const;
    std::int64_t capacity() const { return settings_.cpu; }
    /// Added to the time of day that the minion's clock shows.
    std::int64_t clock_error_ms = 0;
    /// Reports that it drains.
    bool is_draining = false;
    /// Sends a heartbeat now.
    void beat();
    /// The heartbeat that beat() would send now.
    json beat_body();
    /// Sends a heartbeat body that was made before, as a late call does.
    void send_beat(json const& body);
    std::function<void(int status, json const& body)> on_beat_answer;
    minion_settings const& settings() const { return settings_; }
    std::uint64_t life() const { return life_; }
    std::uint64_t ends_listed() const { return ends_.size(); }

private:
    struct waiting
    {
        exchange_id exchange = 0;
        std::int64_t until_ms = 0;
    };
    struct listed_end
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
        std::size_t history = 0;
    };

    std::int64_t clock_ms() const;
    void tick();
    void handle(exchange_id exchange, http_request const& request);
    void answer(exchange_id exchange, int status, json body);
    void refuse(exchange_id exchange, char const* reason);
    void start_run(exchange_id exchange, json const& from);
    void stop_run(exchange_id exchange, json const& from);
    void hold(exchange_id exchange, json const& from);
    void answer_hold(exchange_id exchange);
    bool is_fenced(json const& from);
    void take_deadline(json const& from);
    void end(std::string const& task, std::string const& how);
    void lapse();

    event_loop& loop_;
    recorder& record_;
    histories& seen_;
    minion_settings settings_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<http_client> control_;
    event_id timer_ = 0;
    std::uint64_t life_ = 0;
    std::int64_t life_began_ms_ = 0;
    std::int64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::int64_t next_beat_ms_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::uint64_t next_end_ = 1;
    std::vector<listed_end> ends_;
    std::map<std::string, minion_run> runs_;
    /// The highest run that has ended or was stopped, by task.
    std::map<std::string, std::uint32_t> finished_;
    std::vector<waiting> waiting_;
};

/// A process of the project.
struct process
{
    std::string name;
    std::string program;
    std::string settings;
    std::string log;
    pid_t pid = -1;
};

/// The whole deployment.
class world
{
public:
    /// \param schedulers, runners  how many machines of each class.
    world(
        std::string const& record_file, int schedulers, int runners,
        minion_settings const& each);
    ~world();
    world(world const&) = delete;

    /// Starts all processes and minions, and waits until jobs are served.
    void start();
    void spawn(process& which);
    void kill(process& which);
    void signal(process& which, int number);

    /// Runs the loop for this long.
    void run_for(std::int64_t ms);
    /// Runs the loop until the condition holds; false if the time is over.
    bool until(std::function<bool()> const& condition, std::int64_t ms);
    /// A client's request; status 0 if there was no answer.
    http_response call(
        std::size_t scheduler, std::string const& method,
        std::string const& path, std::string const& body,
        std::int64_t timeout_ms = 3000);
    /// Writes the operator's configuration.
    void put_config(json const& routes);
    /// A route of the configuration.
    json route(
        std::string const& name, std::string const& prefix,
        int max_attempts = 2) const;
    /// The scheduler that the store names as the leader; -1 if none.
    int leader();
    std::int64_t free_cpu() const;
    std::int64_t whole_cpu() const;
    bool is_running(std::string const& job_prefix) const;

    event_loop loop;
    recorder record;
    std::string folder;
    std::string net;
    std::unique_ptr<standins::kv_service> store;
    /// The relay between each scheduler and the store.
    std::vector<std::unique_ptr<relay>> store_links;
    /// The relay between each runner and the store.
    std::vector<std::unique_ptr<relay>> runner_links;
    std::vector<process> schedulers;
    std::vector<process> runners;
    std::vector<std::unique_ptr<minion>> minions;
    histories seen;

private:
    std::string scheduler_ip(std::size_t index) const;
    std::string runner_ip(std::size_t index) const;
    void write_settings(
        process& of, std::string const& template_file,
        std::map<std::string, std::string> const& values);

    std::uint64_t version_ = 0;
};

/// True unless TROUBLE=0.
bool has_trouble();

/// The breaks of the rule TWICE, in words.
std::vector<std::string> find_twice(histories const& seen);

} // namespace review

#endif
