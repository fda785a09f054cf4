#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <string>

namespace trefoil {

/// Passes buffered input to a parser until its message is complete or the parser needs more bytes.
///
/// The parser consumes a body as it arrives, but a chunk header or a trailer section only once it
/// is complete, and has no limit for either. The error is `buffer_overflow` if more than
/// `max_unparsed` bytes wait for the end of one.
template<class Parser>
boost::system::error_code parse_input(Parser& parser, boost::beast::flat_buffer& buffer,
                                      std::size_t max_unparsed)
{
    namespace http = boost::beast::http;
    boost::system::error_code error;
    while (buffer.size() > 0 && !parser.is_done()) {
        const auto used = parser.put(buffer.data(), error);
        buffer.consume(used);
        if (error || used == 0) {
            break;
        }
    }
    const bool needs_more = !parser.is_done() && (!error || error == http::error::need_more);
    return needs_more && buffer.size() > max_unparsed ? http::error::buffer_overflow : error;
}

/// Describes an error of `parse_input`.
inline std::string parse_error_text(const boost::system::error_code& error)
{
    return error == boost::beast::http::error::buffer_overflow
               ? "chunk header or trailer section exceeds the limit"
               : error.message();
}

} // namespace trefoil
