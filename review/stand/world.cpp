/// The deployment: processes, the store, relays and clients.
#include "world.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

auto const script_began = std::chrono::steady_clock::now();

constexpr std::uint16_t front_port = 8161;
constexpr std::uint16_t ready_port = 8167;
constexpr std::uint16_t control_port = 8166;
constexpr std::uint16_t internal_port = 7720;
constexpr std::uint16_t app_port = 8080;
constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t metrics_port = 9464;

char const* const client_host = "nony24.example";
char const* const zones[] = {"mures-targu", "delta-tulcea", "mures-reghin"};

sockaddr_in to_socket(endpoint const& where)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(where.port);
    inet_pton(AF_INET, where.address.c_str(), &out.sin_addr);
    return out;
}

bool is_free(endpoint const& where)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    int const yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto const address = to_socket(where);
    bool const bound =
        ::bind(
            descriptor, reinterpret_cast<sockaddr const*>(&address),
            sizeof address) == 0 &&
        ::listen(descriptor, 1) == 0;
    ::close(descriptor);
    return bound;
}

std::string read_file(std::string const& path)
{
    std::ifstream in(path);
    if (!in)
        throw cannot_run{"can't read " + path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - script_began)
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void recorder::line(std::string const& text)
{
    out_ << now_ms() << " " << text << "\n";
    out_.flush();
}

bool has_trouble()
{
    char const* const set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

/// One connection of a relay.
struct relay::pair
{
    relay* owner = nullptr;
    bufferevent* client = nullptr;
    bufferevent* server = nullptr;
    std::string last_request;
    bool is_silent = false;

    ~pair()
    {
        bufferevent_free(client);
        bufferevent_free(server);
    }

    static void on_client_read(bufferevent*, void* argument)
    {
        auto* self = static_cast<pair*>(argument);
        auto* input = bufferevent_get_input(self->client);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, bytes.data(), bytes.size());
        if (self->is_silent) {
            evbuffer_drain(input, bytes.size());
            return;
        }
        self->last_request = bytes.substr(0, 200);
        auto& delayed = self->owner->delayed_text_;
        if (!delayed.empty() && bytes.find(delayed) != std::string::npos) {
            delayed.clear();
            self->is_silent = true;
            self->owner->send_later(bytes);
            evbuffer_drain(input, bytes.size());
            return;
        }
        evbuffer_add_buffer(bufferevent_get_output(self->server), input);
    }
    static void on_server_read(bufferevent*, void* argument)
    {
        auto* self = static_cast<pair*>(argument);
        if (self->is_silent) {
            auto* input = bufferevent_get_input(self->server);
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        evbuffer_add_buffer(
            bufferevent_get_output(self->client),
            bufferevent_get_input(self->server));
    }
    static void on_event(bufferevent*, short what, void* argument)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        auto* self = static_cast<pair*>(argument);
        self->owner->pairs_.erase(self);
        delete self;
    }
};

relay::relay(event_loop& loop, endpoint const& listen, endpoint const& target)
    : loop_(loop), target_(target)
{
    auto const address = to_socket(listen);
    auto* const listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t accepted, sockaddr*, int,
           void* argument) {
            auto* self = static_cast<relay*>(argument);
            if (self->is_refusing_) {
                linger const now{1, 0};
                setsockopt(accepted, SOL_SOCKET, SO_LINGER, &now, sizeof now);
                ::close(accepted);
                return;
            }
            auto* made = new pair;
            made->owner = self;
            made->client = bufferevent_socket_new(
                self->loop_.base(), accepted, BEV_OPT_CLOSE_ON_FREE);
            made->server = bufferevent_socket_new(
                self->loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
            bufferevent_setcb(
                made->client, &pair::on_client_read, nullptr, &pair::on_event,
                made);
            bufferevent_setcb(
                made->server, &pair::on_server_read, nullptr, &pair::on_event,
                made);
            auto const to = to_socket(self->target_);
            bufferevent_socket_connect(
                made->server, reinterpret_cast<sockaddr const*>(&to),
                sizeof to);
            bufferevent_enable(made->client, EV_READ | EV_WRITE);
            bufferevent_enable(made->server, EV_READ | EV_WRITE);
            self->pairs_.insert(made);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
        reinterpret_cast<sockaddr const*>(&address), sizeof address);
    if (listener == nullptr)
        throw cannot_run{"a relay can't listen at " + to_string(listen)};
    listener_ = listener;
}

relay::~relay()
{
    for (auto* each : pairs_)
        delete each;
    evconnlistener_free(static_cast<evconnlistener*>(listener_));
}

int relay::silence(std::string const& text)
{
    int found = 0;
    for (auto* each : pairs_) {
        if (each->is_silent ||
            each->last_request.find(text) == std::string::npos)
            continue;
        each->is_silent = true;
        ++found;
    }
    return found;
}

void relay::refuse(bool is_refusing)
{
    is_refusing_ = is_refusing;
    auto const open = std::exchange(pairs_, {});
    for (auto* each : open) {
        linger const now{1, 0};
        setsockopt(
            bufferevent_getfd(each->client), SOL_SOCKET, SO_LINGER, &now,
            sizeof now);
        delete each;
    }
}

void relay::delay_next(std::string const& text, std::int64_t ms)
{
    delayed_text_ = text;
    delay_ms_ = ms;
}

void relay::send_later(std::string const& request)
{
    loop_.after(std::chrono::milliseconds(delay_ms_), [this, request] {
        auto* const stream =
            bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        auto const to = to_socket(target_);
        bufferevent_socket_connect(
            stream, reinterpret_cast<sockaddr const*>(&to), sizeof to);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        bufferevent_write(stream, request.data(), request.size());
        // The answer goes nowhere; the connection ends with the script.
    });
}

std::string world::scheduler_ip(std::size_t index) const
{
    return net + std::to_string(11 + index);
}

std::string world::runner_ip(std::size_t index) const
{
    return net + std::to_string(101 + index);
}

world::world(
    std::string const& record_file, int scheduler_count, int runner_count,
    minion_settings const& each)
    : record(record_file)
{
    std::srand(static_cast<unsigned>(unix_ms() ^ (::getpid() << 8)));
    std::vector<endpoint> needed;
    for (int attempt = 0; attempt < 20; ++attempt) {
        net = "127." + std::to_string(20 + std::rand() % 200) + "." +
              std::to_string(1 + std::rand() % 250) + ".";
        needed = {{net + "1", store_port}};
        for (int at = 0; at < scheduler_count; ++at) {
            auto const ip = scheduler_ip(static_cast<std::size_t>(at));
            for (auto const port :
                 {front_port, ready_port, internal_port, store_port,
                  metrics_port})
                needed.push_back({ip, port});
        }
        for (int at = 0; at < runner_count; ++at) {
            auto const ip = runner_ip(static_cast<std::size_t>(at));
            for (auto const port :
                 {control_port, app_port, store_port, metrics_port})
                needed.push_back({ip, port});
        }
        if (std::all_of(needed.begin(), needed.end(), &is_free))
            break;
        net.clear();
    }
    if (net.empty())
        throw cannot_run{"no free loopback addresses"};
    char pattern[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(pattern) == nullptr)
        throw cannot_run{"no temporary folder"};
    folder = pattern;

    store = std::make_unique<standins::kv_service>(loop);
    store->kv().page_size = 500;
    endpoint const store_at{net + "1", store_port};
    if (!ok(store->listen(store_at)))
        throw cannot_run{"the store can't listen"};

    std::string seeds = "[";
    for (int at = 0; at < std::min(scheduler_count, 3); ++at)
        seeds += (at == 0 ? "\"" : ",\"") +
                 scheduler_ip(static_cast<std::size_t>(at)) + ":" +
                 std::to_string(control_port) + "\"";
    seeds += "]";
    auto const quoted = [](std::string const& text) {
        return "\"" + text + "\"";
    };
    for (std::size_t at = 0; at < static_cast<std::size_t>(scheduler_count);
         ++at) {
        auto const ip = scheduler_ip(at);
        store_links.push_back(
            std::make_unique<relay>(loop, endpoint{ip, store_port}, store_at));
        process made;
        made.name = "scheduler-" + std::to_string(at + 1);
        made.program = "target/spar-scheduler";
        write_settings(
            made, "platform/scheduler.settings",
            {{"node|json", quoted(made.name)},
             {"zone|json", quoted(zones[at % 3])},
             {"listen.front|json",
              quoted(ip + ":" + std::to_string(front_port))},
             {"listen.ready|json",
              quoted(ip + ":" + std::to_string(ready_port))},
             {"ip", ip},
             {"internal_ports.0", std::to_string(internal_port)},
             {"platform.address|json",
              quoted(ip + ":" + std::to_string(store_port))},
             {"limits.cpu_share|json", "0.25"},
             {"limits.link_mbps|json", "1000.0"},
             {"bounds.hold_max_ms|json", std::to_string(each.hold_max_ms)}});
        schedulers.push_back(made);
    }
    for (std::size_t at = 0; at < static_cast<std::size_t>(runner_count);
         ++at) {
        auto const ip = runner_ip(at);
        process made;
        made.name = "runner-" + std::to_string(at + 1);
        runner_links.push_back(
            std::make_unique<relay>(loop, endpoint{ip, store_port}, store_at));
        made.program = "target/spar-runner";
        write_settings(
            made, "platform/runner.settings",
            {{"node|json", quoted(made.name)},
             {"listen.control|json",
              quoted(ip + ":" + std::to_string(control_port))},
             {"app|json", quoted(ip + ":" + std::to_string(app_port))},
             {"platform.address|json",
              quoted(ip + ":" + std::to_string(store_port))},
             {"seeds|json", seeds},
             {"internal_ports.0|json", std::to_string(internal_port)},
             {"ip", ip},
             {"bounds.hold_max_ms|json", std::to_string(each.hold_max_ms)}});
        runners.push_back(made);
        auto settings = each;
        settings.name = "minion-" + std::to_string(at + 1);
        settings.id = "i-" + std::to_string(1000 + at);
        settings.zone = zones[at % 3];
        settings.rack = "r" + std::to_string(at % 3 + 1) + "-1";
        settings.service = "ledger";
        settings.address = {ip, app_port};
        settings.control = {ip, control_port};
        minions.push_back(
            std::make_unique<minion>(loop, record, seen, settings));
    }
}

world::~world()
{
    for (auto* group : {&schedulers, &runners}) {
        for (auto& each : *group)
            kill(each);
    }
    if (std::getenv("REVIEW_KEEP") == nullptr && !folder.empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
}

void world::write_settings(
    process& of, std::string const& template_file,
    std::map<std::string, std::string> const& values)
{
    auto text = read_file(template_file);
    for (auto const& [name, shown] : values) {
        auto const mark = "{{" + name + "}}";
        for (auto at = text.find(mark); at != std::string::npos;
             at = text.find(mark, at + shown.size()))
            text.replace(at, mark.size(), shown);
    }
    if (text.find("{{") != std::string::npos)
        throw cannot_run{"a placeholder is left in " + template_file};
    of.settings = folder + "/" + of.name + ".settings";
    of.log = folder + "/" + of.name + ".log";
    std::ofstream(of.settings) << text;
}

void world::spawn(process& which)
{
    record.line("start " + which.name);
    auto const parent = ::getpid();
    pid_t const pid = ::fork();
    if (pid < 0)
        throw cannot_run{"can't fork"};
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        int const out =
            ::open(which.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("SYCAMORESPAR_CONFIG", which.settings.c_str(), 1);
        for (int descriptor = 3; descriptor < 4096; ++descriptor)
            ::close(descriptor);
        ::execl(
            which.program.c_str(), which.program.c_str(),
            static_cast<char*>(nullptr));
        ::_exit(127);
    }
    which.pid = pid;
}

void world::signal(process& which, int number)
{
    if (which.pid <= 0)
        return;
    record.line(
        std::string("signal ") + ::strsignal(number) + " to " + which.name);
    ::kill(which.pid, number);
}

void world::kill(process& which)
{
    if (which.pid <= 0)
        return;
    ::kill(which.pid, SIGKILL);
    ::waitpid(which.pid, nullptr, 0);
    which.pid = -1;
    record.line("killed " + which.name);
}

void world::start()
{
    for (auto& each : runners)
        spawn(each);
    for (auto& each : schedulers)
        spawn(each);
    run_for(300);
    for (auto& each : minions)
        each->start();
    if (!until([this] { return leader() >= 0; }, 10'000))
        throw cannot_run{"no leader was elected"};
    run_for(2500);
}

void world::run_for(std::int64_t ms)
{
    until([] { return false; }, ms);
}

bool world::until(std::function<bool()> const& condition, std::int64_t ms)
{
    auto const end = now_ms() + ms;
    auto const tick = loop.every(std::chrono::milliseconds(1), [] {});
    bool is_met = condition();
    while (!is_met && now_ms() < end) {
        event_base_loop(loop.base(), EVLOOP_ONCE);
        is_met = condition();
    }
    loop.cancel(tick);
    return is_met;
}

namespace {

/// One call on a connection of its own, read until the daemon closes it.
struct client_call
{
    bufferevent* stream = nullptr;
    std::string received;
    bool is_over = false;

    ~client_call() { bufferevent_free(stream); }
    static void on_read(bufferevent* from, void* argument)
    {
        auto* input = bufferevent_get_input(from);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        static_cast<client_call*>(argument)->received += bytes;
    }
    static void on_event(bufferevent* from, short what, void* argument)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        on_read(from, argument);
        static_cast<client_call*>(argument)->is_over = true;
    }
};

/// Status 0 unless the text holds a whole answer.
http_response read_answer(std::string const& text)
{
    http_response read{0, {}, {}};
    auto const head_end = text.find("\r\n\r\n");
    if (!text.starts_with("HTTP/1.1 ") || head_end == std::string::npos)
        return read;
    read.body = text.substr(head_end + 4);
    auto const at = text.find("Content-Length: ");
    if (at < head_end &&
        read.body.size() < std::strtoull(text.c_str() + at + 16, nullptr, 10))
        return read;
    read.status = std::atoi(text.c_str() + 9);
    return read;
}

} // namespace

http_response world::call(
    std::size_t scheduler, std::string const& method, std::string const& path,
    std::string const& body, std::int64_t timeout_ms)
{
    client_call call;
    call.stream =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        call.stream, &client_call::on_read, nullptr, &client_call::on_event,
        &call);
    auto const to = to_socket({scheduler_ip(scheduler), front_port});
    bufferevent_socket_connect(
        call.stream, reinterpret_cast<sockaddr const*>(&to), sizeof to);
    bufferevent_enable(call.stream, EV_READ | EV_WRITE);
    auto const text =
        method + " " + path + " HTTP/1.1\r\nHost: " + client_host +
        "\r\nX-Request-Deadline-Ms: " + std::to_string(timeout_ms) +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    bufferevent_write(call.stream, text.data(), text.size());
    auto const sent_at = now_ms();
    until([&] { return call.is_over; }, timeout_ms);
    auto const answer = read_answer(call.received);
    record.line(
        "client " + method + " " + path + " at " + schedulers[scheduler].name +
        ", sent at " + std::to_string(sent_at) + ": " +
        (answer.status == 0 ? "no answer" : std::to_string(answer.status)) +
        " " + answer.body.substr(0, 100));
    return answer;
}

json world::route(
    std::string const& name, std::string const& prefix, int max_attempts) const
{
    return {
        {"name", name},
        {"host", client_host},
        {"prefix", prefix},
        {"kind", "non_idempotent"},
        {"timeout_ms", 3000},
        {"target_latency_ms", 1000},
        {"priority", 0},
        {"service", "ledger"},
        {"max_attempts", max_attempts},
        {"stretch", 2.0}};
}

void world::put_config(json const& routes)
{
    version_ += 3;
    json const config = {
        {"version", version_},
        {"routes", routes},
        {"services",
         {{{"name", "ledger"},
           {"health_path", "/healthz"},
           {"max_connections", 64},
           {"protocol", "h1"},
           {"tls", false},
           {"cold_start_s", 0.0},
           {"cold_per_s", 0.0},
           {"admission_check", true},
           {"spare", false}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 262144},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}}};
    store->kv().put("op/config", config.dump());
    std::string names;
    for (auto const& each : routes)
        names += " " + each.at("prefix").get<std::string>();
    record.line(
        "operator writes op/config version " + std::to_string(version_) +
        ", routes" + names);
}

int world::leader()
{
    auto const& items = store->kv().items();
    auto const found = items.find("office/scheduler");
    if (found == items.end())
        return -1;
    for (std::size_t at = 0; at < schedulers.size(); ++at) {
        if (found->second.value.find("\"" + scheduler_ip(at) + "\"") !=
            std::string::npos)
            return static_cast<int>(at);
    }
    return -1;
}

std::int64_t world::free_cpu() const
{
    return whole_cpu() - [this] {
        std::int64_t sum = 0;
        for (auto const& each : minions)
            sum += each->is_up() ? each->used() : 0;
        return sum;
    }();
}

std::int64_t world::whole_cpu() const
{
    std::int64_t sum = 0;
    for (auto const& each : minions)
        sum += each->is_up() ? each->capacity() : 0;
    return sum;
}

bool world::is_running(std::string const& job_prefix) const
{
    for (auto at = seen.lower_bound(job_prefix);
         at != seen.end() && at->first.starts_with(job_prefix); ++at) {
        for (auto const& run : at->second) {
            if (run.ended_ms < 0)
                return true;
        }
    }
    return false;
}

std::vector<std::string> find_twice(histories const& seen)
{
    std::vector<std::string> found;
    for (auto const& [task, runs] : seen) {
        for (std::size_t second = 0; second < runs.size(); ++second) {
            for (std::size_t first = 0; first < second; ++first) {
                auto const& before = runs[first];
                auto const& after = runs[second];
                bool const overlap =
                    before.ended_ms < 0 || after.began_ms < before.ended_ms;
                if (overlap)
                    found.push_back(
                        task + ": run " + std::to_string(after.number) +
                        " begins at " + std::to_string(after.began_ms) +
                        " while run " + std::to_string(before.number) +
                        " is on " + before.minion);
                bool const again = !overlap && before.how == "done" &&
                                   before.noted_ms >= 0 &&
                                   !before.lapsed_between;
                if (again)
                    found.push_back(
                        task + ": run " + std::to_string(after.number) +
                        " begins on " + after.minion + " at " +
                        std::to_string(after.began_ms) + ", though run " +
                        std::to_string(before.number) + " ended done at " +
                        std::to_string(before.ended_ms) + " on " +
                        before.minion + " and last_seen reached that end at " +
                        std::to_string(before.noted_ms));
            }
        }
    }
    return found;
}

} // namespace review
