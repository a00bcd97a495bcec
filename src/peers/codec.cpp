/// Encodes messages as MessagePack. Sizes and nesting depth are limited when
/// decoding, as a peer's bytes are untrusted input: a malformed message is
/// dropped without other effects.
#include "peers/codec.hpp"

#include "peers/fields.hpp"

#include <concepts>
#include <msgpack.hpp>
#include <type_traits>
#include <xxhash.h>

namespace sycamorespar::peers::detail {

template<class T>
concept has_fields = requires(T& of)
{
    fields(of);
};

template<class T>
concept has_last_value = std::is_enum_v<T> && requires(T of)
{
    last_value(of);
};

} // namespace sycamorespar::peers::detail

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template<class T>
    struct convert<
        T, std::enable_if_t<sycamorespar::peers::detail::has_fields<T>>>
    {
        msgpack::object const&
        operator()(msgpack::object const& from, T& to) const
        {
            auto members = fields(to);
            constexpr std::size_t count = std::tuple_size_v<decltype(members)>;
            if (from.type != msgpack::type::ARRAY ||
                from.via.array.size != count)
                throw msgpack::type_error();
            msgpack::object const* next = from.via.array.ptr;
            std::apply(
                [&next](auto&... each) { (next++->convert(each), ...); },
                members);
            return from;
        }
    };

    template<class T>
    struct pack<T, std::enable_if_t<sycamorespar::peers::detail::has_fields<T>>>
    {
        template<class Stream>
        msgpack::packer<Stream>&
        operator()(msgpack::packer<Stream>& to, T const& from) const
        {
            auto members = fields(from);
            to.pack_array(std::tuple_size_v<decltype(members)>);
            std::apply(
                [&to](auto const&... each) { (to.pack(each), ...); }, members);
            return to;
        }
    };

    template<class T>
    struct convert<
        T, std::enable_if_t<sycamorespar::peers::detail::has_last_value<T>>>
    {
        msgpack::object const&
        operator()(msgpack::object const& from, T& to) const
        {
            auto const number = from.as<std::uint8_t>();
            if (number > static_cast<std::uint8_t>(last_value(T{})))
                throw msgpack::type_error();
            to = static_cast<T>(number);
            return from;
        }
    };

    template<class T>
    struct pack<
        T, std::enable_if_t<sycamorespar::peers::detail::has_last_value<T>>>
    {
        template<class Stream>
        msgpack::packer<Stream>&
        operator()(msgpack::packer<Stream>& to, T const& from) const
        {
            return to.pack(static_cast<std::uint8_t>(from));
        }
    };

    template<class Number, class Period>
    struct convert<std::chrono::duration<Number, Period>>
    {
        msgpack::object const& operator()(
            msgpack::object const& from,
            std::chrono::duration<Number, Period>& to) const
        {
            to = std::chrono::duration<Number, Period>(from.as<std::int64_t>());
            return from;
        }
    };

    template<class Number, class Period>
    struct pack<std::chrono::duration<Number, Period>>
    {
        template<class Stream>
        msgpack::packer<Stream>& operator()(
            msgpack::packer<Stream>& to,
            std::chrono::duration<Number, Period> const& from) const
        {
            return to.pack(static_cast<std::int64_t>(from.count()));
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace sycamorespar::peers {

namespace {

constexpr std::size_t max_items = 100'000;
constexpr std::size_t max_depth = 12;

template<class T>
void write(msgpack::packer<msgpack::sbuffer>& to, T const& what)
{
    to.pack(what);
}

/// Reads a message of the alternative with the index `kind`.
template<std::size_t Index = 0>
message read_body(std::size_t kind, msgpack::object const& from)
{
    if constexpr (Index < std::variant_size_v<message>) {
        if (kind == Index)
            return from.as<std::variant_alternative_t<Index, message>>();
        return read_body<Index + 1>(kind, from);
    } else {
        throw msgpack::type_error();
    }
}

msgpack::object_handle unpack(std::string_view bytes)
{
    std::size_t offset = 0;
    msgpack::unpack_limit const limits(
        max_items, max_items, max_message_bytes, max_message_bytes,
        max_message_bytes, max_depth);
    auto handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
    if (offset != bytes.size())
        throw msgpack::type_error();
    return handle;
}

std::string to_string(msgpack::sbuffer const& buffer)
{
    return {buffer.data(), buffer.size()};
}

} // namespace

std::string encode(envelope const& sent)
{
    constexpr std::uint32_t envelope_fields = 5;
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(envelope_fields);
    packer.pack(sent.from);
    packer.pack(sent.sender_incarnation.value);
    packer.pack(sent.address);
    packer.pack(static_cast<std::uint32_t>(sent.body.index()));
    std::visit([&packer](auto const& body) { write(packer, body); }, sent.body);
    return to_string(buffer);
}

result<envelope> decode(std::string_view bytes)
{
    constexpr std::uint32_t envelope_fields = 5;
    if (bytes.size() > max_message_bytes)
        return error{"peer.decode", "", "message larger than the limit"};
    try {
        auto const handle = unpack(bytes);
        msgpack::object const& whole = handle.get();
        if (whole.type != msgpack::type::ARRAY ||
            whole.via.array.size != envelope_fields)
            return error{"peer.decode", "", "not an envelope"};
        msgpack::object const* field = whole.via.array.ptr;
        envelope received;
        field[0].convert(received.from);
        field[1].convert(received.sender_incarnation.value);
        field[2].convert(received.address);
        received.body = read_body(field[3].as<std::uint32_t>(), field[4]);
        return received;
    } catch (msgpack::unpack_error const& fault) {
        return error{"peer.decode", "", fault.what()};
    } catch (std::bad_cast const&) {
        return error{"peer.decode", "", "a field of the wrong type"};
    }
}

std::string encode_shard(shard_snapshot const& snapshot)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    write(packer, snapshot);
    return to_string(buffer);
}

result<shard_snapshot> decode_shard(std::string_view bytes)
{
    try {
        return unpack(bytes).get().as<shard_snapshot>();
    } catch (msgpack::unpack_error const& fault) {
        return error{"ledger.decode", "", fault.what()};
    } catch (std::bad_cast const&) {
        return error{"ledger.decode", "", "a field of the wrong type"};
    }
}

std::uint64_t checksum(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace sycamorespar::peers
