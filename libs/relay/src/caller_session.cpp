#include "caller_session.h"

#include "http_text.h"
#include "parse_input.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <gsl/gsl>

#include <algorithm>
#include <utility>

namespace trefoil {

namespace http = boost::beast::http;

namespace {

/// Max bytes of later requests that are buffered while one is being answered.
constexpr std::size_t max_read_ahead = std::size_t{64} * 1024;

/// Max bytes of answers that a caller has not read while its next request is begun.
constexpr std::size_t max_unread_ahead = std::size_t{64} * 1024;

/// Timeout for a caller that reads nothing of its answer. Longer than any pause that packet loss on
/// the link explains.
constexpr std::chrono::seconds unread_timeout{20};

unsigned status_of(const boost::system::error_code& error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return 431;
    }
    return error == http::error::body_limit ? 413 : 400;
}

bool is_interim_wanted(const http::fields& fields)
{
    const auto expect = find_header(fields, "expect");
    return expect && same_name(*expect, "100-continue");
}

} // namespace

caller_session::caller_session(tcp::socket socket, std::shared_ptr<connection_resources> resources,
                               const header_dialect& names, const caller_limits& limits)
    : resources_(std::move(resources)),
      stream_(std::make_shared<byte_stream>(std::move(socket), resources_, unread_timeout)),
      names_(names), limits_(limits), head_(resources_->memory)
{
}

void caller_session::start(handlers h)
{
    handlers_ = std::move(h);
    last_progress_ = boot_clock::now();
    // The handlers of the stream keep this object alive until the stream ends.
    stream_->start({[self = shared_from_this()](auto& buffer) { self->on_data(buffer); },
                    [self = shared_from_this()](auto) {
                        self->cancel_current();
                        self->buffer_ = nullptr;
                        self->handlers_.ended(self);
                    },
                    [self = shared_from_this()] { self->end_departed(); },
                    [self = shared_from_this()] { self->resume(); }});
}

void caller_session::cancel_current()
{
    if (std::exchange(busy_, false)) {
        current_request_bytes_ = 0;
        handlers_.disconnected(shared_from_this());
    }
}

void caller_session::end_departed()
{
    if (!stream_->is_open()) {
        return;
    }
    closing_ = true;
    if (buffer_ != nullptr) {
        buffer_->consume(buffer_->size());
    }
    drop_parser();
    cancel_current();
    handlers_.buffered_bytes_changed(shared_from_this());
    stream_->close_after_writes();
}

void caller_session::on_data(boost::beast::flat_buffer& buffer)
{
    if (closing_) {
        buffer.consume(buffer.size());
        return;
    }
    buffer_ = &buffer;
    last_progress_ = boot_clock::now();
    parse_all(buffer);
    if (must_wait() && buffer.size() > max_read_ahead) {
        sends_ahead_ = true;
        stream_->pause_reading(true);
    }
    handlers_.buffered_bytes_changed(shared_from_this());
}

bool caller_session::must_wait() const
{
    return busy_ || stream_->unwritten() > max_unread_ahead;
}

void caller_session::resume()
{
    if (closing_) {
        return;
    }
    if (!must_wait()) {
        if (buffer_ != nullptr) {
            parse_all(*buffer_);
        }
        stream_->pause_reading(must_wait() && stream_->unconsumed() > max_read_ahead);
    }
    handlers_.buffered_bytes_changed(shared_from_this());
}

void caller_session::drop_read_ahead()
{
    if (busy_ && !closing_) {
        keep_ = false;
        sends_ahead_ = true;
        stream_->drop_input();
        stream_->pause_reading(true);
    }
}

void caller_session::parse_all(boost::beast::flat_buffer& buffer)
{
    // A request that is answered synchronously must not parse the next one inside its own dispatch:
    // the stack depth would grow with the number of pipelined requests.
    if (std::exchange(parsing_, true)) {
        return;
    }
    const auto done = gsl::finally([this] { parsing_ = false; });
    while (!must_wait() && !closing_ && buffer.size() > 0 && parse_one(buffer)) {
    }
}

bool caller_session::parse_one(boost::beast::flat_buffer& buffer)
{
    if (!parser_) {
        parser_.emplace();
        parser_->get().body() = growing_bytes(resources_->memory);
        parser_->eager(true);
        parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
        parser_->body_limit(limits_.max_body_bytes);
        continue_sent_ = false;
    }
    const auto before = buffer.size();
    const auto error = parse_input(*parser_, buffer, limits_.max_header_bytes);
    if (head_.bytes() == 0 && parser_->is_header_done()) {
        head_.resize(std::min(before - buffer.size(), limits_.max_header_bytes));
    }
    if (error && error != http::error::need_more) {
        refuse(error);
        return true;
    }
    if (parser_->is_done()) {
        dispatch();
        return true;
    }
    if (parser_->is_header_done() && !continue_sent_ && is_interim_wanted(parser_->get())) {
        continue_sent_ = true;
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return false;
}

void caller_session::drop_parser()
{
    parser_.reset();
    head_.resize(0);
}

void caller_session::refuse(const boost::system::error_code& error)
{
    drop_parser();
    busy_ = true;
    is_head_ = false;
    answer({status_of(error), {}, parse_error_text(error), {}}, false);
}

void caller_session::refuse_unread(const relay_answer& refusal)
{
    if (busy_ || closing_) {
        return;
    }
    drop_parser();
    busy_ = true;
    is_head_ = false;
    answer(refusal, false);
}

std::size_t caller_session::request_bytes() const
{
    if (closing_) {
        return 0;
    }
    const auto unparsed = buffer_ != nullptr ? buffer_->size() : 0;
    const auto parsed = parser_ ? head_.bytes() + parser_->get().body().size() : 0;
    return current_request_bytes_ + parsed + unparsed;
}

void caller_session::dispatch()
{
    auto message = parser_->release();
    drop_parser();
    busy_ = true;
    keep_ = message.keep_alive();
    is_head_ = message.method() == http::verb::head;
    relay_request request;
    request.arrived = last_progress_;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    request.id = std::string(find_header(message, names_.request_id).value_or(""));
    const auto caller_timeout = find_header(message, names_.time_left);
    request.caller_timeout =
        caller_timeout ? parse_milliseconds(*caller_timeout).value_or(std::chrono::milliseconds(0))
                       : std::chrono::milliseconds(0);
    request.headers = end_to_end_headers(message, "host", names_.request_id, names_.time_left,
                                         names_.expected_target, names_.caller_service);
    request.body = message.body().release();
    current_request_bytes_ = request.headers.size() + request.body.size();
    handlers_.request(shared_from_this(), std::move(request));
}

void caller_session::answer(const relay_answer& answer, bool keep)
{
    if (!busy_) {
        return;
    }
    busy_ = false;
    current_request_bytes_ = 0;
    last_progress_ = boot_clock::now();
    const bool stays = keep && keep_ && !closing_;
    const auto reason = http::obsolete_reason(static_cast<http::status>(answer.status));
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + ' ' +
                       std::string(reason.data(), reason.size()) + "\r\n";
    text.reserve(text.size() + answer.headers.size() + 64);
    text += answer.headers;
    if (is_head_ && !answer.omitted_length.empty()) {
        text += header_line("Content-Length", answer.omitted_length);
    }
    else if (answer.status != 204 && answer.status != 304) {
        text += header_line("Content-Length", std::to_string(answer.body.size()));
    }
    if (!stays) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    stream_->write(std::move(text));
    if (!is_head_) {
        stream_->write_shared(answer.body);
    }
    if (!stays) {
        closing_ = true;
        if (buffer_ != nullptr) {
            buffer_->consume(buffer_->size());
        }
        handlers_.buffered_bytes_changed(shared_from_this());
        stream_->close_after_writes();
        return;
    }
    resume();
}

void caller_session::check_timeouts(mono_time now)
{
    if (!stream_->is_open()) {
        return;
    }
    const auto unread = stream_->unwritten();
    if (unread != std::exchange(last_unread_, unread)) {
        last_progress_ = now;
    }
    const auto quiet = now - last_progress_;
    const bool is_unread = unread > 0;
    const bool is_in_headers = parser_ && !parser_->is_header_done();
    if ((is_unread && quiet > unread_timeout) ||
        (!busy_ && is_in_headers && quiet > limits_.header_timeout) ||
        (!busy_ && !is_unread && quiet > limits_.idle_timeout)) {
        close();
        handlers_.ended(shared_from_this());
    }
}

void caller_session::close()
{
    stream_->close();
    cancel_current();
}

} // namespace trefoil
