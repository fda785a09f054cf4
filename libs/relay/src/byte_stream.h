#pragma once

#include "connection_resources.h"
#include "shared_bytes.h"

#include "call_io/asio.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace trefoil {

/// One TCP connection that always waits for input and never blocks on writes, so that a close by
/// the peer is detected at once. Owns the buffer of its input: no read into it is ever pending, so
/// that handlers may consume from it at any time. What it holds counts toward the node's
/// memory_account. Must be used from the single thread of its io_context.
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    struct handlers {
        /// Called when the buffer has new bytes. Bytes that are not consumed stay in the buffer.
        std::function<void(boost::beast::flat_buffer&)> data;
        /// Called when the connection ended; the error is eof if the peer shut it down in order.
        /// Not called after `close`.
        std::function<void(boost::system::error_code)> closed;
        /// Called when the peer closed its sending side, if set. The connection stays open, since
        /// the peer may still read; its owner then calls `close_after_writes`.
        std::function<void()> input_ended;
        /// Called when all queued bytes were passed to the kernel, if set.
        std::function<void()> written;
    };

    /// Time after which the kernel closes the connection (TCP_USER_TIMEOUT) if the peer does not
    /// acknowledge written bytes or has no room for them. Longer than a few retransmissions on a
    /// lossy link.
    static constexpr std::chrono::milliseconds default_unacknowledged{4000};

    byte_stream(tcp::socket socket, std::shared_ptr<connection_resources> resources,
                std::chrono::milliseconds unacknowledged = default_unacknowledged);

    /// Sets the handlers and starts to read. The connection must be open.
    void start(handlers h);

    /// Replaces the handlers of a started connection. Bytes that are already in the buffer stay.
    void set_handlers(handlers h) { handlers_ = std::move(h); }

    /// Connects, then starts. `connected` runs once with the error, if any, unless the stream is
    /// closed first.
    void connect(const tcp::endpoint& peer, handlers h,
                 std::function<void(boost::system::error_code)> connected);

    /// Queues bytes. All bytes queued in one iteration of the event loop are written together.
    void write(std::string bytes);

    /// Queues bytes that are shared, without a copy unless they are few.
    void write_shared(const shared_bytes& bytes);

    /// Closes the connection now. No handler is called afterwards.
    void close();

    /// Resets the connection now; bytes that the peer has not received are discarded.
    void abort();

    /// Closes the connection after all queued bytes are written, so that the peer receives them
    /// even if it is still sending. The handler `closed` is then called without an error.
    void close_after_writes();

    /// Pauses or resumes reading, to limit the input that this process buffers for one peer. The
    /// end of the connection is noticed during a pause, too.
    void pause_reading(bool paused);

    /// Returns true if the peer closed or reset the connection, even if there is unread input
    /// before the end.
    bool peer_has_closed() const;

    /// Returns true if the peer closed the connection or sent bytes that are not consumed.
    bool has_unexpected_input() const;

    bool is_open() const noexcept { return open_; }
    std::size_t unwritten() const noexcept { return unwritten_; }

    /// Input that is buffered and not consumed, in bytes.
    std::size_t unconsumed() const noexcept { return buffer_.size(); }

    /// Drops the input that is buffered and not consumed.
    void drop_input();

    /// Returns true if there is input that was not read from the connection yet.
    bool has_unread_input() const;

    /// Total number of bytes passed to the kernel.
    std::uint64_t sent() const noexcept { return sent_; }

private:
    void await_input();
    void on_readable();
    /// Reads what has arrived, up to a limit; returns the error that ended the input, if any.
    boost::system::error_code read_available();
    /// Passes the buffered input on; an exception of the handler ends the connection.
    void deliver();
    /// Releases unused memory of the input buffer. Invalidates pointers to its bytes.
    void shrink_input();
    /// Records what the input buffer and the output hold.
    void count_bytes();
    /// Handles the end of the input, which leaves the connection open if `input_ended` is set.
    void end_input(boost::system::error_code error);
    /// Looks for the end of the connection from time to time while reading is paused.
    void watch_for_close();
    void queue_text();
    void schedule_flush();
    void flush();
    void await_room();
    void end_write();
    void end_in_order();
    /// Releases the output of a connection that has ended.
    void drop_bytes();
    void fail(boost::system::error_code error);

    std::shared_ptr<connection_resources> resources_;
    connection_count open_count_;
    tcp::socket socket_;
    std::chrono::milliseconds unacknowledged_;
    boost::beast::flat_buffer buffer_;
    /// Input, and output that is not shared.
    memory_lease held_;
    handlers handlers_;
    /// Output that is not in `output_` yet.
    std::string text_;
    std::deque<shared_bytes> output_;
    /// Bytes in `text_` and `output_`.
    std::size_t unwritten_ = 0;
    std::uint64_t sent_ = 0;
    /// Set while reading is paused.
    std::optional<asio::steady_timer> close_check_;
    bool open_ = true;
    bool awaits_input_ = false;
    bool paused_ = false;
    bool input_ended_ = false;
    bool awaits_room_ = false;
    bool flush_posted_ = false;
    bool close_when_written_ = false;
};

} // namespace trefoil
