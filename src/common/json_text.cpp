/// Parsing of untrusted JSON. nlohmann's parser silently keeps the last of two
/// equal keys and has no depth limit, so a SAX pass checks both before the
/// value is built.
#include "common/json_text.hpp"

#define VALIJSON_USE_EXCEPTIONS 1
#include <set>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace sycamorespar {

namespace {

using nlohmann::json;

error parse_failure(std::string reason)
{
    return {"json.parse", "", std::move(reason)};
}

/// Checks nesting depth and duplicate keys without building a value.
class bounds_checker : public nlohmann::json_sax<json>
{
public:
    explicit bounds_checker(std::size_t max_depth) : max_depth_(max_depth) {}

    /// Why the text was rejected; empty if it is valid.
    std::string const& reason() const { return reason_; }

    bool null() override { return next_value(); }
    bool boolean(bool) override { return next_value(); }
    bool number_integer(number_integer_t) override { return next_value(); }
    bool number_unsigned(number_unsigned_t) override { return next_value(); }
    bool number_float(number_float_t, string_t const&) override
    {
        return next_value();
    }
    bool string(string_t&) override { return next_value(); }
    bool binary(binary_t&) override { return next_value(); }

    bool start_object(std::size_t) override { return open(false); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        auto& current = levels_.back();
        current.key = name;
        if (current.keys.insert(name).second)
            return true;
        reason_ = path() + ": duplicate key";
        return false;
    }

    bool parse_error(
        std::size_t, std::string const&,
        nlohmann::detail::exception const& what) override
    {
        // Strips the library's "[json.exception...] " prefix.
        std::string const text = what.what();
        auto const prefix_end = text.find("] ");
        reason_ = prefix_end == std::string::npos ? text
                                                  : text.substr(prefix_end + 2);
        return false;
    }

private:
    struct level
    {
        bool is_array = false;
        std::size_t index = 0;
        std::string key;
        std::set<std::string> keys;
    };

    bool open(bool is_array)
    {
        next_value();
        if (levels_.size() >= max_depth_) {
            reason_ = path() + ": nested deeper than " +
                      std::to_string(max_depth_) + " levels";
            return false;
        }
        levels_.push_back({is_array, 0, "", {}});
        return true;
    }

    bool close()
    {
        levels_.pop_back();
        return true;
    }

    bool next_value()
    {
        if (!levels_.empty() && levels_.back().is_array)
            ++levels_.back().index;
        return true;
    }

    std::string path() const
    {
        std::string text;
        for (auto const& each : levels_) {
            if (each.is_array)
                text += "[" + std::to_string(each.index - 1) + "]";
            else
                text += (text.empty() ? "" : ".") + each.key;
        }
        return text;
    }

    std::size_t max_depth_;
    std::vector<level> levels_;
    std::string reason_;
};

/// Checks the nesting depth only, so that it costs little for each value.
class depth_checker : public nlohmann::json_sax<json>
{
public:
    explicit depth_checker(std::size_t max_depth) : max_depth_(max_depth) {}

    /// Why the bytes were rejected.
    std::string const& reason() const { return reason_; }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, string_t const&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }

    bool start_object(std::size_t) override { return open(); }
    bool end_object() override { return close(); }
    bool start_array(std::size_t) override { return open(); }
    bool end_array() override { return close(); }

    bool parse_error(
        std::size_t, std::string const&,
        nlohmann::detail::exception const& what) override
    {
        reason_ = what.what();
        return false;
    }

private:
    bool open()
    {
        if (++depth_ <= max_depth_)
            return true;
        reason_ =
            "nested deeper than " + std::to_string(max_depth_) + " levels";
        return false;
    }

    bool close()
    {
        --depth_;
        return true;
    }

    std::size_t max_depth_;
    std::size_t depth_ = 0;
    std::string reason_;
};

/// Formats valijson's context, "<root>" "[name]" "[2]", as "name[2]".
std::string path_of(std::vector<std::string> const& context)
{
    std::string path;
    for (auto const& part : context) {
        if (part.size() < 2 || part.front() != '[')
            continue;
        std::string const name = part.substr(1, part.size() - 2);
        if (name.find_first_not_of("0123456789") == std::string::npos)
            path += part;
        else
            path += (path.empty() ? "" : ".") + name;
    }
    return path;
}

std::string describe(valijson::ValidationResults::Error const& found)
{
    std::string path = path_of(found.context);
    std::string reason = found.description;
    // valijson reports an unknown key only in quotes at the end of its text.
    if (reason.starts_with("Object contains a property")) {
        auto const last = reason.rfind('\'');
        auto const first = reason.rfind('\'', last - 1);
        path += path.empty() ? "" : ".";
        path += reason.substr(first + 1, last - first - 1);
        reason = "unknown key";
    }
    return (path.empty() ? "(top level)" : path) + ": " + reason;
}

} // namespace

result<nlohmann::json>
parse_json(std::string_view text, json_limits const& limits)
{
    if (text.size() > limits.max_bytes)
        return parse_failure(
            "longer than " + std::to_string(limits.max_bytes) + " bytes");
    bounds_checker checker(limits.max_depth);
    if (!json::sax_parse(text, &checker))
        return parse_failure(checker.reason());
    return json::parse(text, nullptr, false);
}

// The library's parser of MessagePack recurses for each level, so the depth is
// limited before a value is built.
result<nlohmann::json>
parse_msgpack(std::string_view bytes, std::size_t max_depth)
{
    depth_checker checker(max_depth);
    if (!json::sax_parse(bytes, &checker, json::input_format_t::msgpack))
        return error{"msgpack.parse", "", checker.reason()};
    return json::from_msgpack(bytes, true, false);
}

result<done>
validate_json(nlohmann::json const& document, std::string_view schema_text)
{
    using adapter = valijson::adapters::NlohmannJsonAdapter;
    json const schema_document = json::parse(schema_text, nullptr, false);
    if (schema_document.is_discarded())
        return error{"json.schema", "", "the schema is not JSON"};
    valijson::Schema schema;
    try {
        valijson::SchemaParser parser;
        parser.populateSchema(adapter(schema_document), schema);
    } catch (std::exception const& problem) {
        return error{"json.schema", "", problem.what()};
    }
    valijson::Validator validator;
    valijson::ValidationResults found;
    if (validator.validate(schema, adapter(document), &found))
        return done{};
    return error{"json.validate", "", describe(*found.begin())};
}

} // namespace sycamorespar
