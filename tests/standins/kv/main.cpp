/// Runs the stand-in for the platform's key-value store as a program.
#include "common/json_text.hpp"
#include "standins/kv/kv_service.hpp"
#include "standins/program.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <iterator>

namespace {

using namespace sycamorespar;
namespace options = boost::program_options;

struct arguments
{
    std::string listen;
    std::string settings_file;
    std::string port_file;
};

int fail(std::string const& reason)
{
    fmt::print(stderr, "standin-kv: {}\n", reason);
    return EXIT_FAILURE;
}

arguments read_arguments(int count, char** texts)
{
    arguments given;
    options::options_description known;
    known.add_options()(
        "listen", options::value(&given.listen)->default_value("127.0.0.1:0"))(
        "settings", options::value(&given.settings_file))(
        "port-file", options::value(&given.port_file));
    options::variables_map map;
    options::store(options::parse_command_line(count, texts, known), map);
    options::notify(map);
    return given;
}

result<done>
apply_settings(standins::kv_service& service, std::string const& file_name)
{
    std::ifstream file(file_name);
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    auto const settings = parse_json(text, {});
    if (!ok(settings))
        return failure(settings);
    return service.control(value(settings));
}

int serve(arguments const& given)
{
    event_loop loop;
    standins::kv_service service(loop);
    if (!given.settings_file.empty()) {
        auto const applied = apply_settings(service, given.settings_file);
        if (!ok(applied))
            return fail(failure(applied).reason);
    }
    auto const where = service.listen(standins::parse_endpoint(given.listen));
    if (!ok(where))
        return fail(failure(where).reason);
    standins::write_port_file(given.port_file, value(where).port);
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int count, char** texts)
{
    try {
        return serve(read_arguments(count, texts));
    } catch (std::exception const& problem) {
        return fail(problem.what());
    }
}
