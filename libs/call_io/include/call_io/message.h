#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace trefoil {

using call_request = boost::beast::http::request<boost::beast::http::string_body>;
using call_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Value of a header, or nothing if the message has no such header. The view is valid as long as
/// the message is not changed.
std::optional<std::string_view> header(const call_request& message, std::string_view name);
std::optional<std::string_view> header(const call_response& message, std::string_view name);

/// Value of a header as an unsigned number, or nothing if it is absent or does not begin with a
/// number.
std::optional<std::uint64_t> number_header(const call_response& message, std::string_view name);

/// Sets a header, replacing an existing one of the same name.
void set_header(call_request& message, std::string_view name, std::string_view value);
void set_header(call_response& message, std::string_view name, std::string_view value);

} // namespace trefoil
