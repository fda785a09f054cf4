#pragma once

#include "counted_body.h"
#include "request_stage.h"
#include "upstream_client.h"

#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>

namespace trefoil {

/// One request on one connection to the local target, until its answer is complete.
class upstream_exchange : public std::enable_shared_from_this<upstream_exchange> {
public:
    upstream_exchange(upstream_client& client, byte_account::holder number,
                      const upstream_request& request, upstream_client::result_handler done);

    /// Writes the request; opens a connection if there is none to reuse.
    void start(const upstream_request& request, std::shared_ptr<byte_stream> reused);

    /// Aborts the connection; the result handler does not run.
    void cancel();

    /// Whether any of the request was sent to the target.
    request_stage stage() const noexcept;

    /// Key of this exchange in the client's count of buffered answer bytes.
    byte_account::holder number() const noexcept { return number_; }

    /// Ends the exchange without a response because all buffered answers together exceed the memory
    /// limit.
    void abort_for_memory();

private:
    using response_parser = boost::beast::http::response_parser<counted_body>;

    byte_stream::handlers stream_handlers();
    /// Writes the request to the connection.
    void write(const upstream_request& request);
    void on_data(boost::beast::flat_buffer& buffer);
    void on_closed(boost::system::error_code error);
    void on_deadline();
    void new_parser();
    /// Which request an answer belongs to. Targets echo the request id except on some failures. A
    /// failure without an id belongs to this request if the connection carried no other; on a
    /// reused connection it may be a late copy of an earlier answer.
    enum class owner : std::uint8_t { this_request, other_request, unknown };
    owner owner_of(const boost::beast::http::response<counted_body>& message) const;
    /// Goes on to the next answer on the connection, unless too many were skipped.
    void skip_answer();
    void finish_invalid(const std::string& detail);
    void on_message(boost::beast::flat_buffer& buffer);
    void finish(upstream_result result);
    void finish_lost();
    upstream_result result_of(boost::beast::http::response<counted_body> message);

    upstream_client& client_;
    upstream_client::result_handler done_;
    std::shared_ptr<byte_stream> stream_;
    std::optional<response_parser> parser_;
    /// Ends the exchange after the request's deadline.
    deadline_queue::entry expiry_;
    std::string id_;
    byte_account::holder number_;
    std::size_t answer_limit_;
    std::size_t skipped_answers_ = 0;
    /// Bytes that the connection had sent before this request.
    std::uint64_t sent_before_ = 0;
    bool is_reused_ = false;
    bool is_head_ = false;
    bool is_clean_ = true;
};

} // namespace trefoil
