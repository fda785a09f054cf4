#pragma once

#include "call_io/asio.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace trefoil {

/// One TCP connection that always reads and never blocks on writes, so that a close by the peer is
/// seen at once. Belongs to one io_context with one thread.
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    struct handlers {
        /// New bytes are in the buffer; what is not consumed stays.
        std::function<void(boost::beast::flat_buffer&)> data;
        /// The connection ended; eof if the peer closed it in order. Not called after `close`.
        std::function<void(boost::system::error_code)> closed;
    };

    /// Time after which the kernel gives up on written bytes that the peer does not acknowledge, or
    /// has no room for. Longer than a few retransmissions on a lossy link.
    static constexpr std::chrono::milliseconds default_unacknowledged{4000};

    explicit byte_stream(tcp::socket socket,
                         std::chrono::milliseconds unacknowledged = default_unacknowledged);

    /// Sets the handlers and starts to read. The connection must be open.
    void start(handlers h);

    /// Replaces the handlers of a started connection. Bytes that are already in the buffer stay.
    void set_handlers(handlers h) { handlers_ = std::move(h); }

    /// Connects, then starts; `connected` runs once, with the error if there was one.
    void connect(const tcp::endpoint& peer, handlers h,
                 std::function<void(boost::system::error_code)> connected);

    /// Queues bytes. All bytes queued in one turn of the loop are written together.
    void write(std::string bytes);

    /// Ends the connection now. No handler is called afterwards.
    void close();

    /// Ends the connection now and drops what is on its way to the peer.
    void abort();

    /// Ends the connection once everything queued is written, so that the peer gets it even if it
    /// is still sending. The handler `closed` is called then, without an error.
    void close_after_writes();

    /// Stops or resumes reading, to bound what an eager peer makes this process hold.
    void pause_reading(bool paused);

    /// True if the peer closed the connection or sent bytes that nobody has asked for.
    bool has_unexpected_input() const;

    bool is_open() const noexcept { return open_; }
    std::size_t unwritten() const noexcept { return pending_.size() + in_write_.size() - written_; }

private:
    void read();
    void flush();
    void write_rest();
    void end_write();
    void end_in_order();
    void fail(boost::system::error_code error);

    tcp::socket socket_;
    std::chrono::milliseconds unacknowledged_;
    boost::beast::flat_buffer buffer_;
    handlers handlers_;
    std::string pending_;
    std::string in_write_;
    std::size_t written_ = 0;
    bool open_ = true;
    bool reading_ = false;
    bool paused_ = false;
    bool writing_ = false;
    bool flush_posted_ = false;
    bool close_when_written_ = false;
};

} // namespace trefoil
