#pragma once

#include "node_message.h"

#include "base/error.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when the bytes of a peer are no message.
class invalid_node_message : public error {
public:
    explicit invalid_node_message(const std::string& detail) : error("node message: " + detail) {}
};

/// A message whose fields are not decoded.
struct raw_node_message {
    node_message_kind kind = node_message_kind::ping;
    std::string_view fields;
};

/// Header of a message: length and kind.
inline constexpr std::size_t node_message_header = 5;

/// No message is longer. An answer is bounded by the memory of the node that asked for it, of which
/// it is a small part.
inline constexpr std::size_t largest_message = 96U << 20U;

/// The first message of a connection is no longer.
inline constexpr std::size_t largest_greeting = 4096;

/// Takes the first whole message of the buffer; none if more bytes are needed. The view is valid
/// until the buffer is consumed by `size_of`. Throws invalid_node_message for a length above
/// `most`.
std::optional<raw_node_message> peek_message(const boost::beast::flat_buffer& buffer,
                                             std::size_t most);

/// Throws invalid_node_message unless the bytes are one MessagePack value whose arrays, counted
/// before memory is taken for them, are as few and as flat as those of messages.
void check_shape(std::string_view fields);

/// Bytes that the message takes in the buffer.
std::size_t size_of(const raw_node_message& message);

/// Hands each whole message in the buffer over and removes it. `most` tells the largest message
/// that may come next. Throws `invalid_node_message` for bytes that are none.
template<class Limit, class Handler>
void take_messages(boost::beast::flat_buffer& buffer, Limit most, Handler handler)
{
    while (const auto message = peek_message(buffer, most())) {
        const auto size = size_of(*message);
        handler(*message);
        buffer.consume(size);
    }
}

/// Throws invalid_node_message if a field has a value that no answer has.
void check_range(const answer_message& answer);

/// Message without fields.
std::string encode_message(node_message_kind kind, std::string_view fields = {});

template<class Fields>
std::string encode_message(node_message_kind kind, const Fields& fields)
{
    msgpack::sbuffer packed;
    msgpack::pack(packed, fields);
    return encode_message(kind, std::string_view(packed.data(), packed.size()));
}

/// Throws invalid_node_message if the fields do not fit.
template<class Fields>
Fields decode_fields(const raw_node_message& message)
{
    check_shape(message.fields);
    try {
        return msgpack::unpack(message.fields.data(), message.fields.size())
            .get()
            .template as<Fields>();
    }
    catch (const msgpack::unpack_error& e) {
        throw invalid_node_message(e.what());
    }
    catch (const msgpack::type_error& e) {
        throw invalid_node_message(e.what());
    }
}

} // namespace trefoil
