#pragma once

#include "call_io/asio.h"
#include "call_io/input_limit.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoil {

/// Result of a GET request.
struct http_get_result {
    /// HTTP status; 0 if no complete response was received.
    unsigned status = 0;
    std::string body;
    /// Error text if no complete response was received.
    std::string detail;
    boost::beast::http::fields headers{};
};

/// Sends GET requests to one server, one at a time, over one persistent connection. TCP keep-alive
/// probes detect a dead connection within about three seconds.
class http_get_client : public std::enable_shared_from_this<http_get_client> {
public:
    using handler = std::function<void(http_get_result)>;

    http_get_client(asio::io_context& context, tcp::endpoint server);

    /// Fetches `target`, a path with an optional query, and passes the result to `done`. Fails if
    /// no complete response arrives within `timeout`.
    void get(std::string target, std::chrono::milliseconds timeout, handler done);

private:
    struct job {
        std::string target;
        std::chrono::milliseconds timeout;
        handler done;
    };

    void start_next();
    void connect();
    void write();
    void read();
    void finish(http_get_result result, bool keep);

    asio::io_context& context_;
    tcp::endpoint server_;
    std::deque<job> jobs_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_{max_input_buffer_bytes};
    boost::beast::http::request<boost::beast::http::empty_body> request_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    bool busy_ = false;
};

} // namespace trefoil
