#pragma once

#include "upstream_client.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace trefoil {

/// One request on one connection to the own target, until its answer is whole.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange> {
public:
    upstream_exchange(upstream_client& client, const upstream_request& request,
                      upstream_client::result_handler done);

    /// Writes the request; opens a connection if there is none to reuse.
    void start(const upstream_request& request, std::shared_ptr<byte_stream> reused);

    void cancel();

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    byte_stream::handlers stream_handlers();
    std::string request_text(const upstream_request& request) const;
    void on_data(boost::beast::flat_buffer& buffer);
    void on_closed(boost::system::error_code error);
    void on_deadline();
    void new_parser();
    /// Whether the answer names this request. Targets echo the id on all but some failures.
    bool is_own(const boost::beast::http::response<boost::beast::http::string_body>& message) const;
    void on_message(boost::beast::flat_buffer& buffer);
    void finish(upstream_result result);
    void finish_lost();
    upstream_result
    result_of(boost::beast::http::response<boost::beast::http::string_body> message);

    upstream_client& client_;
    upstream_client::result_handler done_;
    std::shared_ptr<byte_stream> stream_;
    std::optional<response_parser> parser_;
    std::string id_;
    bool is_head_ = false;
    bool is_clean_ = true;
};

} // namespace trefoil
