#include "byte_stream.h"

#include "lingering_close.h"

#include "base/log_event.h"
#include "call_io/peer_has_closed.h"

#include <boost/asio/post.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <exception>
#include <typeinfo>
#include <utility>

namespace trefoil {

namespace {

/// Bytes of the first read; most messages are smaller.
constexpr std::size_t read_size = 4096;

/// Bytes of further reads while there is more.
constexpr std::size_t large_read_size = std::size_t{32} * 1024;

/// Limit in bytes for the input that is read before it is passed on.
constexpr std::size_t max_turn_bytes = std::size_t{256} * 1024;

/// Shared bytes up to this size are copied, which costs less than a part of their own in a write.
constexpr std::size_t max_copied_bytes = std::size_t{16} * 1024;

/// Max parts of one write.
constexpr std::size_t max_parts = 16;

/// Size in bytes of this object and of what else the process keeps for a connection.
constexpr std::size_t connection_bytes = 2048;

/// Interval between checks of a connection whose reading is paused.
constexpr std::chrono::milliseconds close_check_interval{100};

} // namespace

byte_stream::byte_stream(tcp::socket socket, std::shared_ptr<connection_resources> resources,
                         std::chrono::milliseconds unacknowledged)
    : resources_(std::move(resources)), open_count_(resources_, &connection_resources::open),
      socket_(std::move(socket)), unacknowledged_(unacknowledged),
      held_(resources_->memory, connection_bytes)
{
}

void byte_stream::start(handlers h)
{
    handlers_ = std::move(h);
    boost::system::error_code ignored; // The options only improve latency and detection.
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    const auto timeout = static_cast<unsigned>(unacknowledged_.count());
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    await_input();
}

void byte_stream::connect(const tcp::endpoint& peer, handlers h,
                          std::function<void(boost::system::error_code)> connected)
{
    socket_.async_connect(peer, [self = shared_from_this(), h = std::move(h),
                                 connected = std::move(connected)](auto error) mutable {
        if (!self->open_) {
            return;
        }
        if (error) {
            self->close();
        }
        else {
            self->start(std::move(h));
        }
        connected(error);
    });
}

void byte_stream::await_input()
{
    if (awaits_input_ || paused_ || !open_ || input_ended_) {
        return;
    }
    awaits_input_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](auto error) {
        self->awaits_input_ = false;
        if (!self->open_ || self->paused_) {
            return;
        }
        if (error) {
            self->end_input(error);
            return;
        }
        self->on_readable();
    });
}

void byte_stream::on_readable()
{
    const auto before = buffer_.size();
    const auto end = read_available();
    if (buffer_.size() > before) {
        deliver();
    }
    if (end && open_) {
        end_input(end);
    }
    shrink_input();
    if (const auto& resources = *resources_; resources.enforce) {
        resources.enforce();
    }
    await_input();
}

boost::system::error_code byte_stream::read_available()
{
    boost::system::error_code error;
    std::size_t wanted = read_size;
    // A filled buffer suggests that there is more, such as the cancellation of a call.
    for (std::size_t total = 0; total < max_turn_bytes; wanted = large_read_size) {
        const auto count = socket_.read_some(buffer_.prepare(wanted), error);
        buffer_.commit(count);
        total += count;
        if (count < wanted) {
            break;
        }
    }
    const bool is_empty = error == asio::error::would_block || error == asio::error::try_again;
    return is_empty ? boost::system::error_code() : error;
}

void byte_stream::deliver()
{
    const auto on_data = handlers_.data; // The handler may replace itself.
    try {
        on_data(buffer_);
    }
    catch (const std::exception& e) {
        // Input of one peer must not end the process, only that peer's connection.
        log_event("connection_failed")
            .add("error", typeid(e).name())
            .add("detail", e.what())
            .error();
        fail(asio::error::invalid_argument);
    }
}

void byte_stream::shrink_input()
{
    if (buffer_.size() < read_size && buffer_.capacity() > buffer_.size()) {
        buffer_.shrink_to_fit();
    }
    count_bytes();
}

void byte_stream::count_bytes()
{
    held_.resize(connection_bytes + buffer_.capacity() + text_.capacity());
}

void byte_stream::end_input(boost::system::error_code error)
{
    if (error != asio::error::eof || !handlers_.input_ended) {
        fail(error);
        return;
    }
    if (!std::exchange(input_ended_, true)) {
        const auto on_end = handlers_.input_ended;
        on_end();
    }
}

void byte_stream::write(std::string bytes)
{
    if (!open_) {
        return;
    }
    unwritten_ += bytes.size();
    if (text_.empty()) {
        text_ = std::move(bytes);
    }
    else {
        text_ += bytes;
    }
    count_bytes();
    schedule_flush();
}

void byte_stream::write_shared(const shared_bytes& bytes)
{
    if (bytes.size() <= max_copied_bytes) {
        write(std::string(bytes.view()));
        return;
    }
    if (!open_) {
        return;
    }
    queue_text();
    unwritten_ += bytes.size();
    output_.push_back(bytes);
    schedule_flush();
}

void byte_stream::queue_text()
{
    if (text_.empty()) {
        return;
    }
    memory_lease lease(resources_->memory, text_.capacity());
    output_.emplace_back(std::exchange(text_, {}), std::move(lease));
    count_bytes();
}

void byte_stream::schedule_flush()
{
    if (!flush_posted_ && !awaits_room_) {
        flush_posted_ = true;
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->flush(); });
    }
}

void byte_stream::flush()
{
    flush_posted_ = false;
    if (!open_ || awaits_room_) {
        return;
    }
    queue_text();
    while (!output_.empty()) {
        std::array<asio::const_buffer, max_parts> parts;
        const auto count = std::min(parts.size(), output_.size());
        for (std::size_t i = 0; i < count; ++i) {
            parts[i] = asio::buffer(output_[i].view());
        }
        boost::system::error_code error;
        auto written = socket_.write_some(parts, error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            await_room();
            return;
        }
        if (error) {
            fail(error);
            return;
        }
        sent_ += written;
        unwritten_ -= written;
        while (written > 0 && written >= output_.front().size()) {
            written -= output_.front().size();
            output_.pop_front();
        }
        if (written > 0) {
            output_.front() = output_.front().from(written);
        }
    }
    end_write();
}

void byte_stream::await_room()
{
    awaits_room_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](auto error) {
        self->awaits_room_ = false;
        if (!self->open_) {
            return;
        }
        if (error) {
            self->fail(error);
            return;
        }
        self->flush();
    });
}

void byte_stream::end_write()
{
    if (close_when_written_) {
        end_in_order();
    }
    else if (handlers_.written) {
        handlers_.written();
    }
}

void byte_stream::fail(boost::system::error_code error)
{
    if (!open_) {
        return;
    }
    const auto closed = std::move(handlers_.closed);
    close();
    if (closed) {
        closed(error);
    }
}

void byte_stream::close()
{
    if (!open_) {
        return;
    }
    open_ = false;
    drop_bytes();
    boost::system::error_code ignored; // The peer may have closed it already.
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    // The handlers may be running and own what called this, so they are released later.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
}

void byte_stream::drop_bytes()
{
    text_ = {};
    output_.clear();
    unwritten_ = 0;
    held_.resize(connection_bytes);
}

void byte_stream::close_after_writes()
{
    if (unwritten() == 0) {
        end_in_order();
        return;
    }
    close_when_written_ = true;
}

void byte_stream::end_in_order()
{
    if (!open_) {
        return;
    }
    open_ = false;
    const auto closed = std::move(handlers_.closed);
    // The handlers may be running and own what called this, so they are released later.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
    boost::system::error_code ignored; // Cancelling ends the read in progress.
    socket_.cancel(ignored);
    close_lingering(std::move(socket_), resources_);
    if (closed) {
        closed({});
    }
}

void byte_stream::abort()
{
    boost::system::error_code ignored; // The connection may not be open yet.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    if (open_) {
        open_ = false;
        drop_bytes();
        socket_.close(ignored);
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
    }
}

void byte_stream::pause_reading(bool paused)
{
    paused_ = paused;
    if (!paused) {
        close_check_.reset();
    }
    else if (!close_check_) {
        close_check_.emplace(socket_.get_executor());
        watch_for_close();
    }
    await_input();
}

void byte_stream::drop_input()
{
    buffer_.consume(buffer_.size());
    shrink_input();
}

void byte_stream::watch_for_close()
{
    close_check_->expires_after(close_check_interval);
    close_check_->async_wait([weak = weak_from_this()](auto error) {
        const auto self = weak.lock();
        if (error || !self || !self->open_ || !self->paused_) {
            return;
        }
        if (self->peer_has_closed()) {
            self->end_input(asio::error::eof);
            return;
        }
        self->watch_for_close();
    });
}

bool byte_stream::peer_has_closed() const
{
    return !open_ || input_ended_ || trefoil::peer_has_closed(const_cast<tcp::socket&>(socket_));
}

bool byte_stream::has_unread_input() const
{
    char byte = 0;
    return recv(const_cast<tcp::socket&>(socket_).native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool byte_stream::has_unexpected_input() const
{
    char byte = 0;
    const auto count =
        recv(const_cast<tcp::socket&>(socket_).native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return buffer_.size() > 0 || count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace trefoil
