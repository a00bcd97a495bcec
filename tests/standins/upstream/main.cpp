/// A stand-in for an upstream: answers requests after a random service time,
/// announces itself to its agent, and on SIGTERM deregisters and drains.
#include "common/event_loop.hpp"
#include "common/http_client.hpp"
#include "common/http_server.hpp"
#include "common/log.hpp"
#include "standins/history.hpp"
#include "standins/program.hpp"

#include <boost/program_options.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <csignal>
#include <iostream>
#include <optional>

using namespace sycamorespar;
using namespace sycamorespar::standins;

namespace {

constexpr std::chrono::milliseconds announce_period{1000};
constexpr std::chrono::milliseconds drain_check_period{20};
constexpr std::chrono::milliseconds deregistration_retry_delay{500};
constexpr std::chrono::milliseconds final_write_delay{100};

struct upstream_settings
{
    endpoint listen;
    std::string port_file;
    std::string agent;
    std::string name;
    std::string failure_domain;
    std::string rows;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    double service_ms = 0;
    std::uint32_t seed = 0;
    std::string history_path;
};

/// One request in progress.
struct upstream_work
{
    exchange_id exchange = 0;
    std::string key;
    std::string row;
    std::string body;
};

/// The upstream: an HTTP server with a limited number of slots that announces
/// itself to its agent and deregisters before it stops.
class upstream
{
public:
    explicit upstream(upstream_settings settings)
        : settings_(std::move(settings)),
          history_(settings_.history_path, settings_.name),
          incarnation_(draw_incarnation()), engine_(settings_.seed),
          server_(loop_, {}, [this](exchange_id id, http_request const& got) {
              on_request(id, got);
          })
    {}

    int run()
    {
        auto const bound = server_.listen(settings_.listen);
        if (!ok(bound)) {
            log_error("listen_failed", failure(bound));
            return 1;
        }
        where_ = value(bound);
        if (!settings_.agent.empty()) {
            http_client_limits limits;
            limits.timeout = announce_period;
            agent_.emplace(loop_, parse_endpoint(settings_.agent), limits);
            limits.timeout = std::chrono::minutes(10);
            deregistration_client_.emplace(
                loop_, parse_endpoint(settings_.agent), limits);
            announce();
            announcing_ = loop_.every(announce_period, [this] { announce(); });
        }
        loop_.on_signal(SIGTERM, [this] { start_drain(); });
        write_port_file(settings_.port_file, where_.port);
        loop_.run();
        return 0;
    }

private:
    void on_request(exchange_id id, http_request const& request)
    {
        if (request.method == "GET" && target_path(request.target) == "/stats")
            return server_.respond(id, stats());
        upstream_work work{
            id, header_or_empty(request, "X-Test-Key"), row_of(request),
            request.body};
        if (in_flight_ >= settings_.slots) {
            ++over_slots_;
            history_.write("request_over_slots", fields_of(work));
            return server_.respond(id, {503, {}, "no free slot\n"});
        }
        ++in_flight_;
        history_.write("request_start", fields_of(work));
        boost::random::exponential_distribution<double> service(
            1.0 / std::max(settings_.service_ms, 0.001));
        auto const delay =
            std::chrono::duration<double, std::milli>(service(engine_));
        loop_.after(std::chrono::duration_cast<duration>(delay), [this, work] {
            finish(work);
        });
    }

    void finish(upstream_work const& work)
    {
        --in_flight_;
        ++answered_;
        history_.write("request_end", fields_of(work));
        nlohmann::json const body{
            {"key", work.key},
            {"row", work.row},
            {"upstream", settings_.name},
            {"body", work.body}};
        server_.respond(
            work.exchange,
            {200,
             {{"Content-Type", "application/json"}, {"X-Test-Key", work.key}},
             body.dump(
                 -1, ' ', false, nlohmann::json::error_handler_t::replace)});
    }

    nlohmann::json fields_of(upstream_work const& work) const
    {
        return {
            {"key", work.key},
            {"row", work.row},
            {"upstream", settings_.name},
            {"failure_domain", settings_.failure_domain}};
    }

    static std::string
    header_or_empty(http_request const& request, char const* name)
    {
        auto const* found = find_header(request.headers, name);
        return found != nullptr ? *found : std::string();
    }

    /// The value of the header X-Row, or else the last part of the path.
    static std::string row_of(http_request const& request)
    {
        auto row = header_or_empty(request, "X-Row");
        if (!row.empty())
            return row;
        auto const path = target_path(request.target);
        return path.substr(path.rfind('/') + 1);
    }

    http_response stats() const
    {
        nlohmann::json const body{
            {"upstream", settings_.name},
            {"in_flight", in_flight_},
            {"answered", answered_},
            {"over_slots", over_slots_}};
        return {200, {{"Content-Type", "application/json"}}, body.dump()};
    }

    void announce()
    {
        nlohmann::json const body{{"upstream", settings_.name},
                                  {"address", where_.address},
                                  {"port", where_.port},
                                  {"rows", split_list(settings_.rows)},
                                  {"slots", settings_.slots},
                                  {"connections", settings_.connections},
                                  {"incarnation", incarnation_}};
        ++announcements_open_;
        agent_->call(
            {"POST",
             "/v1/upstreams",
             {{"Content-Type", "application/json"}},
             body.dump()},
            [this](result<http_response> const& answer) {
                --announcements_open_;
                if (!ok(answer))
                    log_error("announce_failed", failure(answer));
            });
    }

    void start_drain()
    {
        if (draining_)
            return;
        draining_ = true;
        history_.write(
            "upstream_stop_planned",
            {{"upstream", settings_.name},
             {"failure_domain", settings_.failure_domain}});
        if (agent_)
            loop_.cancel(announcing_);
        loop_.every(drain_check_period, [this] { check_drained(); });
    }

    /// Deregisters, then stops once no request is in flight. Waits for open
    /// announcements first, since one that arrives after the DELETE would
    /// register the upstream again.
    void check_drained()
    {
        if (!agent_)
            agent_drained_ = true;
        if (!agent_drained_ && !deregistration_sent_ &&
            announcements_open_ == 0)
            send_deregistration();
        if (!agent_drained_ || in_flight_ > 0 || ending_)
            return;
        ending_ = true;
        server_.stop_accepting();
        loop_.after(final_write_delay, [this] { loop_.stop(); });
    }

    void send_deregistration()
    {
        deregistration_sent_ = true;
        deregistration_client_->call(
            {"DELETE", "/v1/upstreams/" + settings_.name, {}, {}},
            [this](result<http_response> const& answer) {
                on_deregistered(answer);
            });
    }

    void on_deregistered(result<http_response> const& answer)
    {
        constexpr int http_ok = 200;
        if (ok(answer) && value(answer).status == http_ok) {
            agent_drained_ = true;
            return;
        }
        loop_.after(deregistration_retry_delay, [this] {
            deregistration_sent_ = false;
        });
    }

    upstream_settings settings_;
    history history_;
    std::uint64_t incarnation_;
    boost::random::mt19937_64 engine_;
    event_loop loop_;
    http_server server_;
    std::optional<http_client> agent_;
    std::optional<http_client> deregistration_client_;
    endpoint where_;
    event_id announcing_ = 0;
    std::uint32_t in_flight_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t over_slots_ = 0;
    std::uint32_t announcements_open_ = 0;
    bool draining_ = false;
    bool deregistration_sent_ = false;
    bool agent_drained_ = false;
    bool ending_ = false;
};

upstream_settings read_settings(int argc, char** argv)
{
    namespace po = boost::program_options;
    upstream_settings into;
    std::string listen;
    po::options_description known("Options");
    auto add = known.add_options();
    add("listen", po::value(&listen)->default_value("127.0.0.1:0"),
        "address and port");
    add("port-file", po::value(&into.port_file),
        "file that receives the port in use");
    add("agent", po::value(&into.agent), "address and port of the agent");
    add("name", po::value(&into.name)->required(), "name of the upstream");
    add("failure-domain", po::value(&into.failure_domain)->required(),
        "failure domain of the upstream");
    add("rows", po::value(&into.rows)->required(),
        "rows served, separated by commas");
    add("slots", po::value(&into.slots)->default_value(8),
        "number of concurrent requests");
    add("connections", po::value(&into.connections)->default_value(64),
        "number of connections announced");
    add("service-ms", po::value(&into.service_ms)->default_value(5),
        "mean service time in milliseconds");
    add("seed", po::value(&into.seed)->default_value(1), "random seed");
    add("history", po::value(&into.history_path), "history file");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, known), given);
    po::notify(given);
    into.listen = parse_endpoint(listen);
    return into;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        set_log_program("standin-upstream");
        upstream stand_in(read_settings(argc, argv));
        return stand_in.run();
    } catch (std::exception const& fault) {
        std::cerr << "standin-upstream: " << fault.what() << "\n";
        return 2;
    }
}
