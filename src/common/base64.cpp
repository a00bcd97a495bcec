/// Base64 with the standard alphabet, using Boost's iterators.
#include "common/base64.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace sycamorespar {

namespace {

namespace bits = boost::archive::iterators;

constexpr std::size_t group_characters = 4;
constexpr std::size_t group_bytes = 3;
constexpr std::string_view base64_characters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

std::string to_base64(std::string_view bytes)
{
    using encoder = bits::base64_from_binary<
        bits::transform_width<std::string_view::const_iterator, 6, 8>>;
    std::string text(encoder(bytes.begin()), encoder(bytes.end()));
    while (text.size() % group_characters != 0)
        text.push_back('=');
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    using decoder =
        bits::transform_width<bits::binary_from_base64<char const*>, 8, 6>;
    if (text.size() % group_characters != 0)
        return std::nullopt;
    auto const used = std::min(text.find('='), text.size());
    auto const padding = text.size() - used;
    if (padding >= group_bytes)
        return std::nullopt;
    if (text.substr(used).find_first_not_of('=') != std::string_view::npos)
        return std::nullopt;
    std::string digits(text.substr(0, used));
    if (digits.find_first_not_of(base64_characters) != std::string::npos)
        return std::nullopt;
    // Boost's decoder doesn't handle padding: decode it as zero bits.
    digits.append(padding, 'A');
    auto const size = digits.size() / group_characters * group_bytes - padding;
    std::string bytes;
    bytes.reserve(size);
    std::copy_n(decoder(digits.data()), size, std::back_inserter(bytes));
    return bytes;
}

} // namespace sycamorespar
