#pragma once

#include "byte_stream.h"
#include "counted_body.h"
#include "relay_call.h"

#include "dispatch/traffic_config.h"
#include "relay/header_dialect.h"

#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

/// One connection of a caller: reads its requests one after another and writes their answers.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    struct handlers {
        /// A complete request arrived. It must be answered once with `answer`.
        std::function<void(const std::shared_ptr<caller_session>&, relay_request)> request;
        /// The number of buffered request bytes of this caller changed.
        std::function<void(const std::shared_ptr<caller_session>&)> buffered_bytes_changed;
        /// The caller closed the connection before its request was answered.
        std::function<void(const std::shared_ptr<caller_session>&)> disconnected;
        /// The connection ended.
        std::function<void(const std::shared_ptr<caller_session>&)> ended;
    };

    caller_session(tcp::socket socket, std::shared_ptr<connection_resources> resources,
                   const header_dialect& names, const caller_limits& limits);

    void start(handlers h);

    /// Answers the request in progress; does nothing if there is none. The connection is closed
    /// after the answer if `keep` is false.
    void answer(const relay_answer& answer, bool keep);

    /// True if the caller closed the connection, also if that was not read yet.
    bool has_left() const { return stream_->peer_has_closed(); }

    /// Ends the connection of a caller that has left. Its request in progress is cancelled; answers
    /// to earlier ones are still written, since it may have closed only its sending side.
    void end_departed();

    /// True while a request is being answered.
    bool is_busy() const noexcept { return busy_; }

    /// Closes the connection if it was idle, a header was incomplete, or an answer was unread for
    /// longer than the timeout.
    void check_timeouts(mono_time now);

    /// Rejects the request that is being read, which has not run, and closes the connection.
    void refuse_unread(const relay_answer& answer);

    /// Closes the connection now and cancels the request in progress.
    void close();

    /// Bytes of answers that this caller has not received yet.
    std::size_t unwritten_bytes() const { return stream_->unwritten(); }

    /// Drops the requests that were read behind the one in progress. They have not run; the
    /// connection is closed after the answer in progress, so that the caller knows.
    void drop_read_ahead();

    /// Bytes of requests that were read behind the one in progress.
    std::size_t read_ahead_bytes() const noexcept { return busy_ ? stream_->unconsumed() : 0; }

    /// True if the caller has sent more behind a request in progress than is read ahead.
    bool sends_ahead() const noexcept { return sends_ahead_; }

    /// True if the caller has sent something that was not read yet.
    bool has_unread_input() const { return stream_->has_unread_input(); }

    /// Time of the last progress in either direction.
    mono_time last_progress() const noexcept { return last_progress_; }

    /// True if no request is being read or answered, and all answers were taken.
    bool is_idle() const { return !busy_ && !parser_ && request_bytes() + unwritten_bytes() == 0; }

    /// Buffered request bytes: of the request being read or answered, and of the pipelined ones
    /// after it.
    std::size_t request_bytes() const;

private:
    using request_parser = boost::beast::http::request_parser<counted_body>;

    void on_data(boost::beast::flat_buffer& buffer);
    void parse_all(boost::beast::flat_buffer& buffer);
    /// Parses until a complete request is dispatched or rejected; returns false if more bytes are
    /// needed.
    bool parse_one(boost::beast::flat_buffer& buffer);
    /// Whether the next request has to wait: for the answer to the one before it, or until the
    /// caller has read enough of the answers to earlier ones.
    bool must_wait() const;
    /// Parses the requests that had to wait, and pauses reading while too many bytes do.
    void resume();
    /// Drops what was read of a request.
    void drop_parser();
    void refuse(const boost::system::error_code& error);
    void dispatch();
    /// Cancels the request in progress, if there is one.
    void cancel_current();

    std::shared_ptr<connection_resources> resources_;
    std::shared_ptr<byte_stream> stream_;
    const header_dialect& names_;
    caller_limits limits_;
    handlers handlers_;
    std::optional<request_parser> parser_;
    boost::beast::flat_buffer* buffer_ = nullptr;
    mono_time last_progress_;
    /// Unwritten answer bytes at the last call of `check_timeouts`.
    std::size_t last_unread_ = 0;
    /// Header and body bytes of the request that is being answered.
    std::size_t current_request_bytes_ = 0;
    /// Head of the request that is being read, once it is complete.
    memory_lease head_;
    bool busy_ = false;
    bool parsing_ = false;
    bool keep_ = true;
    bool closing_ = false;
    bool continue_sent_ = false;
    bool is_head_ = false;
    bool sends_ahead_ = false;
};

} // namespace trefoil
