#pragma once

#include "node_message.h"
#include "shared_bytes.h"
#include "split_buffer.h"

#include "base/error.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

/// Thrown when bytes from a peer are not a valid message.
class invalid_node_message : public error {
public:
    explicit invalid_node_message(const std::string& detail) : error("node message: " + detail) {}
};

/// A message whose fields have not been decoded.
struct raw_node_message {
    node_message_kind kind = node_message_kind::ping;
    std::string_view fields;
    /// Owns `fields` if the message is large, so that parts of it need no copy.
    shared_bytes owner{};
};

/// Size of a message header in bytes: four for the length, one for the kind.
inline constexpr std::size_t node_message_header = 5;

/// Maximum size of the fields of a message in bytes. The size of an answer is limited further to a
/// small fraction of the memory of the node that requested it.
inline constexpr std::size_t max_message_size = 96U << 20U;

/// Maximum size of the first message of a connection in bytes.
inline constexpr std::size_t max_hello_size = 4096;

/// Length and kind of a message.
struct message_head {
    std::size_t length;
    node_message_kind kind;
};

/// Returns the head of the first message in the buffer, or nothing if it is not complete. Throws
/// invalid_node_message if the announced length exceeds `max_length`.
std::optional<message_head> peek_header(const boost::beast::flat_buffer& buffer,
                                        std::size_t max_length);

/// Returns the first message in the buffer without consuming it; nullopt if it is incomplete. The
/// view is valid until the caller consumes `size_of` bytes of the buffer. Throws
/// invalid_node_message if the announced length exceeds `max_length`.
std::optional<raw_node_message> peek_message(const boost::beast::flat_buffer& buffer,
                                             std::size_t max_length);

/// Throws invalid_node_message unless the bytes are one MessagePack value within the limits on
/// array elements and nesting depth. Checked without allocating memory for the announced sizes.
void check_shape(std::string_view fields);

/// Size of the message in the buffer in bytes, header included.
std::size_t size_of(const raw_node_message& message);

/// Passes each complete message in the buffer to the handler and then consumes it. `max_length` is
/// called before each message and returns its maximum length. Throws invalid_node_message if the
/// bytes are not a valid message.
template<class Limit, class Handler>
void take_messages(boost::beast::flat_buffer& buffer, Limit max_length, Handler handler)
{
    while (const auto message = peek_message(buffer, max_length())) {
        const auto size = size_of(*message);
        handler(*message);
        buffer.consume(size);
    }
}

/// Throws invalid_node_message if the outcome, status or admit level is out of range.
void check_range(const answer_message& answer);

/// Encodes the header of a message whose fields have `length` bytes.
std::string encode_header(node_message_kind kind, std::size_t length);

/// Encodes a message from its packed fields; without fields by default.
std::string encode_message(node_message_kind kind, std::string_view fields = {});

template<class Fields>
std::string encode_message(node_message_kind kind, const Fields& fields)
{
    msgpack::sbuffer packed;
    msgpack::pack(packed, fields);
    return encode_message(kind, std::string_view(packed.data(), packed.size()));
}

/// A message whose body is not copied; its parts follow each other.
struct encoded_message {
    std::string head;
    shared_bytes body;
    std::string tail;
};

/// Encodes a message that has a body.
template<class Fields>
encoded_message encode_with_body(node_message_kind kind, const Fields& fields)
{
    split_buffer packed(fields.body.view());
    msgpack::pack(packed, fields);
    encoded_message message{encode_header(kind, packed.size()), fields.body, packed.tail()};
    message.head += packed.head();
    return message;
}

/// Decodes the fields of a message. Throws invalid_node_message if they do not match the type.
template<class Fields>
Fields decode_fields(const raw_node_message& message)
{
    check_shape(message.fields);
    try {
        // Strings refer to the message and are copied once, or not at all.
        const auto refer = [](msgpack::type::object_type, std::size_t, void*) { return true; };
        auto fields = msgpack::unpack(message.fields.data(), message.fields.size(), refer)
                          .get()
                          .template as<Fields>();
        if constexpr (requires { fields.body; }) {
            const auto body = fields.body.view();
            fields.body = message.owner.is_owner() ? message.owner.part(body)
                                                   : shared_bytes(std::string(body));
        }
        return fields;
    }
    catch (const msgpack::unpack_error& e) {
        throw invalid_node_message(e.what());
    }
    catch (const msgpack::type_error& e) {
        throw invalid_node_message(e.what());
    }
}

} // namespace trefoil
