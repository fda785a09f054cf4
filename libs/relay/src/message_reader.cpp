#include "message_reader.h"

namespace trefoil {

namespace {

/// Reads the first field of a message if it is a number, and stops there.
class first_number : public msgpack::null_visitor {
public:
    bool start_array(std::uint32_t /*count*/) { return !std::exchange(is_in_array_, true); }
    bool visit_positive_integer(std::uint64_t value)
    {
        if (is_in_array_) {
            value_ = static_cast<std::uint32_t>(value);
        }
        return false;
    }
    bool visit_str(const char* /*bytes*/, std::uint32_t /*size*/) { return false; }
    bool start_map(std::uint32_t /*count*/) { return false; }

    std::optional<std::uint32_t> value() const noexcept { return value_; }

private:
    bool is_in_array_ = false;
    std::optional<std::uint32_t> value_;
};

} // namespace

std::optional<message_reader::dropped_message> message_reader::drop_partial()
{
    const bool has_stream = kind_ == node_message_kind::call || kind_ == node_message_kind::answer;
    if (missing_ == 0 || large_.empty() || !has_stream) {
        return std::nullopt;
    }
    first_number stream;
    msgpack::parse(large_.view().data(), large_.size(), stream);
    if (!stream.value()) {
        return std::nullopt;
    }
    to_drop_ = std::exchange(missing_, 0);
    large_ = growing_bytes(memory_);
    return dropped_message{kind_, *stream.value()};
}

bool message_reader::drop_rest(boost::beast::flat_buffer& buffer)
{
    const auto count = std::min(buffer.size(), to_drop_);
    buffer.consume(count);
    to_drop_ -= count;
    return to_drop_ == 0;
}

bool message_reader::collect(boost::beast::flat_buffer& buffer)
{
    const auto count = std::min(buffer.size(), missing_);
    large_.append({static_cast<const char*>(buffer.data().data()), count});
    buffer.consume(count);
    missing_ -= count;
    return missing_ == 0;
}

} // namespace trefoil
