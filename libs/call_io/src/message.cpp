#include "call_io/message.h"

#include <charconv>

namespace trefoil {

namespace {

boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

template<class Message>
std::optional<std::string_view> find_header(const Message& message, std::string_view name)
{
    const auto it = message.find(beast_view(name));
    if (it == message.end()) {
        return std::nullopt;
    }
    return std::string_view(it->value().data(), it->value().size());
}

} // namespace

std::optional<std::string_view> header(const call_request& message, std::string_view name)
{
    return find_header(message, name);
}

std::optional<std::string_view> header(const call_response& message, std::string_view name)
{
    return find_header(message, name);
}

std::optional<std::uint64_t> number_header(const call_response& message, std::string_view name)
{
    const auto text = header(message, name);
    std::uint64_t value = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc()) {
        return std::nullopt;
    }
    return value;
}

void set_header(call_request& message, std::string_view name, std::string_view value)
{
    message.set(beast_view(name), beast_view(value));
}

void set_header(call_response& message, std::string_view name, std::string_view value)
{
    message.set(beast_view(name), beast_view(value));
}

} // namespace trefoil
