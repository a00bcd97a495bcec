/// Invalid settings are rejected as a whole: with only a part of them, a
/// process would listen or announce itself with unintended defaults.
#include "common/settings.hpp"

#include "common/json_text.hpp"

#include <fstream>
#include <iterator>
#include <utility>

namespace sycamorespar {

namespace {

error at_file(error problem, std::string const& path)
{
    problem.peer = path;
    return problem;
}

} // namespace

result<std::string> read_file(std::string const& path, std::size_t max_bytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return error{"file.read", path, "can't open the file"};
    // Reads one byte more than allowed to detect a file over the limit.
    std::string text(max_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad())
        return error{"file.read", path, "can't read the file"};
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_bytes)
        return error{
            "file.read", path,
            "longer than " + std::to_string(max_bytes) + " bytes"};
    return text;
}

result<nlohmann::json>
load_settings(std::string const& path, std::string_view schema_text)
{
    auto const text = read_file(path, max_settings_bytes);
    if (!ok(text))
        return failure(text);
    auto settings = parse_json(value(text), {max_settings_bytes});
    if (!ok(settings))
        return at_file(failure(settings), path);
    auto const valid = validate_json(value(settings), schema_text);
    if (!ok(valid))
        return at_file(failure(valid), path);
    return settings;
}

} // namespace sycamorespar
