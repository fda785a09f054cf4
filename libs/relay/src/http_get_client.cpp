#include "relay/http_get_client.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace trefoil {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds connect_timeout{1500};

/// Maximum size of a response body. The platform's values are up to 1 MB each, encoded in base64.
constexpr std::uint64_t max_response_size = 8U << 20U;

void enable_keep_alive(tcp::socket& socket)
{
    // First probe after one second without traffic, then at intervals of one second; the connection
    // fails after two unanswered probes.
    const int on = 1;
    const int seconds = 1;
    const int probes = 2;
    const auto handle = socket.native_handle();
    setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

} // namespace

http_get_client::http_get_client(asio::io_context& context, tcp::endpoint server)
    : context_(context), server_(std::move(server))
{
}

void http_get_client::get(std::string target, std::chrono::milliseconds timeout, handler done)
{
    jobs_.push_back({std::move(target), timeout, std::move(done)});
    if (!busy_) {
        start_next();
    }
}

void http_get_client::start_next()
{
    if (jobs_.empty()) {
        return;
    }
    busy_ = true;
    const auto& target = jobs_.front().target;
    request_ = {http::verb::get, boost::beast::string_view(target.data(), target.size()), 11};
    request_.set(http::field::host, server_.address().to_string());
    stream_ ? write() : connect();
}

void http_get_client::connect()
{
    stream_ = std::make_unique<boost::beast::tcp_stream>(context_);
    buffer_.clear();
    stream_->expires_after(connect_timeout);
    stream_->async_connect(server_, [self = shared_from_this()](auto error) {
        if (error) {
            self->finish({0, {}, "connect: " + error.message()}, false);
            return;
        }
        enable_keep_alive(self->stream_->socket());
        self->write();
    });
}

void http_get_client::write()
{
    stream_->expires_after(jobs_.front().timeout);
    http::async_write(*stream_, request_, [self = shared_from_this()](auto error, std::size_t) {
        if (error) {
            self->finish({0, {}, "write: " + error.message()}, false);
            return;
        }
        self->read();
    });
}

void http_get_client::read()
{
    parser_.emplace();
    parser_->body_limit(max_response_size);
    http::async_read(
        *stream_, buffer_, *parser_, [self = shared_from_this()](auto error, std::size_t) {
            if (error) {
                self->finish({0, {}, "read: " + error.message()}, false);
                return;
            }
            auto message = self->parser_->release();
            const bool keep = message.keep_alive();
            self->finish(
                {message.result_int(), std::move(message.body()), {}, std::move(message.base())},
                keep);
        });
}

void http_get_client::finish(http_get_result result, bool keep)
{
    if (!keep) {
        stream_.reset();
    }
    const auto done = std::move(jobs_.front().done);
    jobs_.pop_front();
    busy_ = false;
    done(std::move(result));
    if (!busy_) {
        start_next();
    }
}

} // namespace trefoil
