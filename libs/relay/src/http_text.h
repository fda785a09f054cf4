#pragma once

#include "relay/header_dialect.h"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

/// Headers of a message as `Name: value` lines, without those that concern one connection or the
/// framing of the body, and without those in `omitted`.
template<class... Omitted>
std::string end_to_end_headers(const boost::beast::http::fields& fields, const Omitted&... omitted);

/// Returns the value of a header, or nothing if the message has no header of that name.
std::optional<std::string_view> find_header(const boost::beast::http::fields& fields,
                                            std::string_view name);

/// Parses a number of milliseconds; returns nothing if the text is not a number or is negative.
std::optional<std::chrono::milliseconds> parse_milliseconds(std::string_view text);

/// Builds a header line `Name: value` with CRLF.
std::string header_line(std::string_view name, std::string_view value);

/// Whether the header concerns one connection only, or the framing of the body.
bool is_connection_header(const boost::beast::http::fields& fields, boost::beast::string_view name);

/// Compares two header names without regard to case.
bool same_name(std::string_view a, std::string_view b);

template<class... Omitted>
std::string end_to_end_headers(const boost::beast::http::fields& fields, const Omitted&... omitted)
{
    std::string lines;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const std::string_view text(name.data(), name.size());
        if (is_connection_header(fields, name) || (same_name(text, omitted) || ...)) {
            continue;
        }
        lines.append(text).append(": ");
        lines.append(field.value().data(), field.value().size()).append("\r\n");
    }
    return lines;
}

} // namespace trefoil
