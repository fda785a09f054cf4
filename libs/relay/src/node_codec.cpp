#include "node_codec.h"

#include "call_io/final_status.h"
#include "dispatch/call_outcome.h"

#include <boost/endian/conversion.hpp>

namespace trefoil {

namespace {

/// Maximum number of elements of all arrays in one message; enough for a state message with about
/// ten thousand items.
constexpr std::size_t max_values = 64U << 10U;

/// Maximum nesting depth of arrays. A message is an array that contains arrays of items, which are
/// arrays themselves; one more level is allowed.
constexpr std::size_t max_depth = 4;

/// Counts the array elements that a message announces, without allocating memory for them.
class shape_visitor : public msgpack::null_visitor {
public:
    bool start_array(std::uint32_t count)
    {
        values_ += count;
        ++depth_;
        return values_ <= max_values && depth_ <= max_depth;
    }
    bool end_array()
    {
        --depth_;
        return true;
    }
    // Messages contain neither maps nor extension types.
    bool start_map(std::uint32_t /*count*/) { return false; }
    bool visit_ext(const char* /*bytes*/, std::uint32_t /*size*/) { return false; }
    void parse_error(std::size_t /*parsed*/, std::size_t /*at*/) { is_valid_ = false; }
    void insufficient_bytes(std::size_t /*parsed*/, std::size_t /*at*/) { is_valid_ = false; }

    bool is_valid() const noexcept { return is_valid_; }

private:
    std::size_t values_ = 0;
    std::size_t depth_ = 0;
    bool is_valid_ = true;
};

} // namespace

void check_shape(std::string_view fields)
{
    shape_visitor visitor;
    if (!msgpack::parse(fields.data(), fields.size(), visitor) || !visitor.is_valid()) {
        throw invalid_node_message("fields are not a valid MessagePack value or exceed the limits");
    }
}

void check_range(const answer_message& answer)
{
    const bool is_answered = answer.outcome == static_cast<std::uint8_t>(call_outcome::answered);
    if (answer.outcome > static_cast<std::uint8_t>(call_outcome::no_response)) {
        throw invalid_node_message("outcome out of range: " + std::to_string(answer.outcome));
    }
    if (is_answered && !is_final_status(answer.status)) {
        throw invalid_node_message("status out of range: " + std::to_string(answer.status));
    }
    if (answer.level > to_wire_level(1.0)) {
        throw invalid_node_message("admit level out of range: " + std::to_string(answer.level));
    }
}

std::optional<message_head> peek_header(const boost::beast::flat_buffer& buffer,
                                        std::size_t max_length)
{
    if (buffer.size() < node_message_header) {
        return std::nullopt;
    }
    const auto* bytes = static_cast<const unsigned char*>(buffer.data().data());
    const auto length = boost::endian::load_big_u32(bytes);
    if (length > max_length) {
        throw invalid_node_message("length exceeds the limit: " + std::to_string(length));
    }
    return message_head{length, static_cast<node_message_kind>(bytes[4])};
}

std::optional<raw_node_message> peek_message(const boost::beast::flat_buffer& buffer,
                                             std::size_t max_length)
{
    const auto head = peek_header(buffer, max_length);
    if (!head || buffer.size() < node_message_header + head->length) {
        return std::nullopt;
    }
    const auto* fields = static_cast<const char*>(buffer.data().data()) + node_message_header;
    return raw_node_message{head->kind, {fields, head->length}, {}};
}

std::size_t size_of(const raw_node_message& message)
{
    return node_message_header + message.fields.size();
}

std::string encode_header(node_message_kind kind, std::size_t length)
{
    std::string bytes(node_message_header, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                                 static_cast<std::uint32_t>(length));
    bytes[4] = static_cast<char>(kind);
    return bytes;
}

std::string encode_message(node_message_kind kind, std::string_view fields)
{
    return encode_header(kind, fields.size()).append(fields);
}

} // namespace trefoil
