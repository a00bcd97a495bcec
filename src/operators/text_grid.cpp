/// Aligns by characters, not bytes, since names and notes may hold non-ASCII
/// letters.
#include "operators/text_grid.hpp"

#include <algorithm>
#include <cstddef>

namespace sycamorespar {

namespace {

/// Counts the characters of a UTF-8 text.
std::size_t width_of(std::string const& text)
{
    constexpr unsigned char continuation_mask = 0xC0;
    constexpr unsigned char continuation_mark = 0x80;
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](char letter) {
            auto const byte = static_cast<unsigned char>(letter);
            return (byte & continuation_mask) != continuation_mark;
        }));
}

} // namespace

std::string render_grid(text_grid const& grid)
{
    std::vector<std::size_t> widths;
    for (auto const& line : grid) {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], width_of(line[i]));
    }
    std::string text;
    for (auto const& line : grid) {
        std::string out;
        for (std::size_t i = 0; i < line.size(); ++i) {
            out += line[i];
            out.append(widths[i] - width_of(line[i]) + 2, ' ');
        }
        out.erase(out.find_last_not_of(' ') + 1);
        text += out + "\n";
    }
    return text;
}

} // namespace sycamorespar
