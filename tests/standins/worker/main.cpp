/// Runs the stand-in for a worker as a program.
#include "common/event_loop.hpp"
#include "common/log.hpp"
#include "standins/program.hpp"
#include "standins/worker/worker_api.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

using namespace sycamorespar;
using namespace sycamorespar::standins;

namespace {

struct program_settings
{
    worker_settings worker;
    endpoint listen;
    std::string port_file;
    std::string history_path;
};

program_settings read_settings(int argc, char** argv)
{
    namespace po = boost::program_options;
    program_settings into;
    std::string listen;
    std::int64_t lag_ms = 0;
    po::options_description known("Options");
    auto& worker = into.worker;
    auto add = known.add_options();
    add("listen", po::value(&listen)->default_value("127.0.0.1:0"),
        "address and port");
    add("port-file", po::value(&into.port_file),
        "file that receives the port in use");
    add("name", po::value(&worker.name)->required(), "name of the worker");
    add("failure-domain", po::value(&worker.failure_domain)->required(),
        "failure domain of the worker");
    add("rack", po::value(&worker.rack)->default_value("rack-1"),
        "rack of the worker");
    add("millicores",
        po::value(&worker.capacity.millicores)->default_value(16'000),
        "thousandths of a core");
    add("memory-mib",
        po::value(&worker.capacity.memory_mib)->default_value(65'536),
        "memory in MiB");
    add("accelerators",
        po::value(&worker.capacity.accelerators)->default_value(0),
        "number of accelerators");
    add("history", po::value(&into.history_path), "history file");
    add("usage-lag-ms", po::value(&lag_ms)->default_value(2000),
        "age of usage reports in milliseconds");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, known), given);
    po::notify(given);
    into.listen = parse_endpoint(listen);
    worker.usage_lag = std::chrono::milliseconds(lag_ms);
    return into;
}

int run(program_settings const& settings)
{
    event_loop loop;
    worker_api api(loop, settings.worker, settings.history_path);
    auto const bound = api.listen(settings.listen);
    if (!ok(bound)) {
        log_error("listen_failed", failure(bound));
        return 1;
    }
    write_port_file(settings.port_file, value(bound).port);
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        set_log_program("standin-worker");
        return run(read_settings(argc, argv));
    } catch (std::exception const& fault) {
        std::cerr << "standin-worker: " << fault.what() << "\n";
        return 2;
    }
}
