#include "http_text.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <charconv>

namespace trefoil {

namespace http = boost::beast::http;

namespace {

boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(beast_view(a), beast_view(b));
}

bool is_connection_header(const http::fields& fields, boost::beast::string_view name)
{
    static constexpr std::array own = {"connection",        "keep-alive",     "proxy-connection",
                                       "transfer-encoding", "content-length", "te",
                                       "trailer",           "upgrade",        "expect"};
    for (const auto* candidate : own) {
        if (boost::beast::iequals(name, candidate)) {
            return true;
        }
    }
    const auto connection = fields.find(http::field::connection);
    return connection != fields.end() && http::token_list{connection->value()}.exists(name);
}

std::optional<std::string_view> find_header(const http::fields& fields, std::string_view name)
{
    const auto it = fields.find(beast_view(name));
    if (it == fields.end()) {
        return std::nullopt;
    }
    return std::string_view(it->value().data(), it->value().size());
}

std::optional<std::chrono::milliseconds> parse_milliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

std::string header_line(std::string_view name, std::string_view value)
{
    std::string line;
    line.reserve(name.size() + value.size() + 4);
    line.append(name).append(": ").append(value).append("\r\n");
    return line;
}

} // namespace trefoil
