#pragma once

#include "byte_stream.h"
#include "relay_call.h"

#include "dispatch/traffic_config.h"
#include "relay/header_dialect.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

/// One connection of a caller: reads its requests one after another and writes their answers.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    struct handlers {
        /// A whole request arrived. It is answered by `answer`, once.
        std::function<void(const std::shared_ptr<caller_session>&, relay_request)> request;
        /// The bytes of this caller's requests that are held have changed.
        std::function<void(const std::shared_ptr<caller_session>&)> held;
        /// The caller closed the connection while its request was not answered.
        std::function<void(const std::shared_ptr<caller_session>&)> gone;
        /// The connection ended.
        std::function<void(const std::shared_ptr<caller_session>&)> ended;
    };

    caller_session(tcp::socket socket, const header_dialect& names, const caller_limits& limits);

    void start(handlers h);

    /// Answers the request in progress; ignored if the caller is gone. `keep` false ends the
    /// connection after the answer.
    void answer(const relay_answer& answer, bool keep);

    /// True while a request was read and not answered.
    bool is_busy() const noexcept { return busy_; }

    /// Closes the connection if it has been idle, or unfinished or unread, for too long.
    void check_timeouts(mono_time now);

    /// Refuses the request that is being read, which has not run, and ends the connection.
    void refuse_unread(const relay_answer& answer);

    void close();

    /// Bytes of answers held for this caller.
    std::size_t held_bytes() const { return stream_->unwritten(); }

    /// Bytes of requests held: of the one that is being read or answered, and of those behind it.
    std::size_t request_bytes() const;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void on_data(boost::beast::flat_buffer& buffer);
    void parse_all(boost::beast::flat_buffer& buffer);
    /// Parses until a whole request is dispatched; false if bytes are missing.
    bool parse_one(boost::beast::flat_buffer& buffer);
    void refuse(const boost::system::error_code& error);
    void dispatch();

    std::shared_ptr<byte_stream> stream_;
    const header_dialect& names_;
    caller_limits limits_;
    handlers handlers_;
    std::optional<request_parser> parser_;
    boost::beast::flat_buffer* buffer_ = nullptr;
    mono_time last_progress_;
    /// Bytes of answers that were not taken at the last look.
    std::size_t last_unread_ = 0;
    /// Of the request that is being answered.
    std::size_t taken_bytes_ = 0;
    bool busy_ = false;
    bool parsing_ = false;
    bool keep_ = true;
    bool closing_ = false;
    bool continue_sent_ = false;
    bool is_head_ = false;
};

} // namespace trefoil
