#pragma once

#include "growing_bytes.h"
#include "node_codec.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace trefoil {

/// Splits the input of a connection between nodes into messages. A large message is collected in a
/// buffer of its own, which then belongs to the message, so that its body is never copied.
class message_reader {
public:
    explicit message_reader(std::shared_ptr<memory_account> memory)
        : memory_(std::move(memory)), large_(memory_)
    {
    }

    /// Passes each complete message in the buffer to the handler. `max_length` is called before
    /// each message and returns its maximum length. Throws invalid_node_message if the bytes are
    /// not a valid message.
    template<class Limit, class Handler>
    void take(boost::beast::flat_buffer& buffer, Limit max_length, Handler handler)
    {
        while (take_next(buffer, max_length, handler)) {
        }
    }

    /// Bytes of a large message that is not complete.
    std::size_t partial_bytes() const noexcept { return large_.size(); }

    /// A message whose remaining bytes are dropped as they arrive.
    struct dropped_message {
        node_message_kind kind;
        /// Number of the request, the first field of requests and answers.
        std::uint32_t stream;
    };

    /// Drops the large message that is not complete. Returns nothing, and drops nothing, if there
    /// is none or it does not begin like a request or an answer.
    std::optional<dropped_message> drop_partial();

private:
    /// Messages above this size, in bytes, are collected in a buffer of their own.
    static constexpr std::size_t max_small_message = std::size_t{64} * 1024;

    template<class Limit, class Handler>
    bool take_next(boost::beast::flat_buffer& buffer, Limit& max_length, Handler& handler);

    /// Returns true once nothing is left to drop.
    bool drop_rest(boost::beast::flat_buffer& buffer);
    /// Returns true once the large message is complete.
    bool collect(boost::beast::flat_buffer& buffer);

    std::shared_ptr<memory_account> memory_;
    growing_bytes large_;
    node_message_kind kind_ = node_message_kind::ping;
    /// Bytes of the large message that have not arrived.
    std::size_t missing_ = 0;
    /// Bytes that are still to be dropped.
    std::size_t to_drop_ = 0;
};

template<class Limit, class Handler>
bool message_reader::take_next(boost::beast::flat_buffer& buffer, Limit& max_length,
                               Handler& handler)
{
    if (to_drop_ > 0 && !drop_rest(buffer)) {
        return false;
    }
    if (missing_ > 0) {
        if (!collect(buffer)) {
            return false;
        }
        const auto whole = large_.release();
        large_ = growing_bytes(memory_);
        handler(raw_node_message{kind_, whole.view(), whole});
        return true;
    }
    const auto header = peek_header(buffer, max_length());
    if (!header) {
        return false;
    }
    if (header->length > max_small_message) {
        buffer.consume(node_message_header);
        kind_ = header->kind;
        missing_ = header->length;
        return true;
    }
    const auto message = peek_message(buffer, max_length());
    if (!message) {
        return false;
    }
    const auto size = size_of(*message);
    handler(*message);
    buffer.consume(size);
    return true;
}

} // namespace trefoil
