/// Counters and gauges, and their text format. All metrics of one name are
/// grouped below one heading, as the Prometheus text format requires.
#include "libsycamorespar/counters.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>
#include <string_view>

namespace sycamorespar {

namespace {

/// The samples of one name, in the order in which they were added.
struct metric_family
{
    std::string help;
    char const* type = "";
    std::vector<std::string> samples;
};

using family_map = std::map<std::string, metric_family>;

char const* unit_suffix(metric_unit unit)
{
    switch (unit) {
    case metric_unit::seconds:
        return "_seconds";
    case metric_unit::bytes:
        return "_bytes";
    case metric_unit::ratio:
        return "_ratio";
    case metric_unit::none:
        break;
    }
    return "";
}

std::string escaped(std::string_view text, bool quotes)
{
    std::string out;
    for (char const character : text) {
        if (character == '\n') {
            out += "\\n";
            continue;
        }
        if (character == '\\' || (quotes && character == '"'))
            out += '\\';
        out += character;
    }
    return out;
}

std::string label_text(std::vector<metric_label> const& labels)
{
    if (labels.empty())
        return "";
    std::string text;
    for (auto const& label : labels) {
        text += text.empty() ? "{" : ",";
        text += label.name + "=\"" + escaped(label.value, true) + "\"";
    }
    return text + "}";
}

std::string number_text(double number)
{
    if (std::isnan(number))
        return "NaN";
    if (std::isinf(number))
        return number > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> digits{};
    auto const end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number);
    return {digits.data(), end.ptr};
}

void add_sample(
    family_map& families, metric_description const& description,
    std::string_view suffix, char const* type, std::string const& value)
{
    std::string const name =
        description.name + unit_suffix(description.unit) + std::string(suffix);
    auto& family = families[name];
    family.type = type;
    if (family.help.empty())
        family.help = description.help;
    family.samples.push_back(
        name + label_text(description.labels) + " " + value);
}

/// The index of the metric with this name, unit and labels; adds a missing
/// one.
template<class Metrics>
std::size_t find_or_add(Metrics& metrics, metric_description const& description)
{
    auto const found =
        std::find_if(metrics.begin(), metrics.end(), [&](auto const& metric) {
            return metric.description.name == description.name &&
                   metric.description.unit == description.unit &&
                   metric.description.labels == description.labels;
        });
    auto const index = static_cast<std::size_t>(found - metrics.begin());
    if (found == metrics.end())
        metrics.push_back({description, 0});
    return index;
}

} // namespace

counter_id counter_set::add_counter(metric_description const& description)
{
    return {find_or_add(counters_, description)};
}

gauge_id counter_set::add_gauge(metric_description const& description)
{
    return {find_or_add(gauges_, description)};
}

void counter_set::raise_to(counter_id which, std::uint64_t value)
{
    auto& current = counters_[which.index].value;
    current = std::max(current, value);
}

std::string counter_set::render() const
{
    family_map families;
    for (auto const& each : counters_)
        add_sample(
            families, each.description, "_total", "counter",
            std::to_string(each.value));
    for (auto const& each : gauges_)
        add_sample(
            families, each.description, "", "gauge", number_text(each.value));
    std::string text;
    for (auto const& [name, family] : families) {
        text += "# HELP " + name + " " + escaped(family.help, false) + "\n";
        text += "# TYPE " + name + " " + family.type + "\n";
        for (auto const& sample : family.samples)
            text += sample + "\n";
    }
    return text;
}

} // namespace sycamorespar
