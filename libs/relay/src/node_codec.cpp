#include "node_codec.h"

#include <boost/endian/conversion.hpp>

namespace trefoil {

namespace {

/// No message is longer; the largest bodies are far below.
constexpr std::uint32_t max_message = 96U << 20U;

} // namespace

std::optional<raw_node_message> peek_message(const boost::beast::flat_buffer& buffer)
{
    if (buffer.size() < node_message_header) {
        return std::nullopt;
    }
    const auto* bytes = static_cast<const unsigned char*>(buffer.data().data());
    const auto length = boost::endian::load_big_u32(bytes);
    if (length > max_message) {
        throw invalid_node_message("length " + std::to_string(length));
    }
    if (buffer.size() < node_message_header + length) {
        return std::nullopt;
    }
    const auto* fields = static_cast<const char*>(buffer.data().data()) + node_message_header;
    return raw_node_message{static_cast<node_message_kind>(bytes[4]), {fields, length}};
}

std::size_t size_of(const raw_node_message& message)
{
    return node_message_header + message.fields.size();
}

std::string encode_message(node_message_kind kind, std::string_view fields)
{
    std::string bytes(node_message_header, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                                 static_cast<std::uint32_t>(fields.size()));
    bytes[4] = static_cast<char>(kind);
    bytes.append(fields);
    return bytes;
}

} // namespace trefoil
