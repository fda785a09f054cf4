#include "upstream_exchange.h"

#include "http_text.h"
#include "parse_input.h"

#include "base/log_event.h"
#include "call_io/final_status.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace trefoil {

namespace http = boost::beast::http;

namespace {

/// Max answers before the one of this request: interim ones (status 1xx), of which HTTP defines
/// three kinds, and copies of earlier answers. A target has no reason to repeat either often.
constexpr std::size_t max_skipped_answers = 16;

/// Max bytes of the head of an answer, of a chunk header and of the trailer section.
constexpr std::uint32_t max_framing_bytes = 8192;

/// Extra wait after the deadline, since the target itself answers requests when they expire.
constexpr std::chrono::milliseconds late_answer_allowance{150};

/// Idle time assumed for targets that send no Keep-Alive timeout; they keep idle connections open
/// for several seconds.
constexpr std::chrono::milliseconds default_idle_time{4000};

/// Safety margin at the end of the idle time that the target announced. A connection is not reused
/// within it, since the target may close it just as a request is written.
constexpr std::chrono::milliseconds idle_margin{1000};

/// Returns how long the connection may stay idle and still be reused after an answer with these
/// headers.
std::chrono::milliseconds idle_time(const http::fields& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const auto keep_alive = find_header(fields, "keep-alive");
    const auto at = keep_alive ? keep_alive->find(parameter) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return default_idle_time;
    }
    const auto text = keep_alive->substr(at + parameter.size());
    int seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc()) {
        return default_idle_time;
    }
    return std::min<std::chrono::milliseconds>(std::chrono::seconds(seconds) - idle_margin,
                                               default_idle_time);
}

} // namespace

upstream_exchange::upstream_exchange(upstream_client& client, byte_account::holder number,
                                     const upstream_request& request,
                                     upstream_client::result_handler done)
    : client_(client), done_(std::move(done)), id_(request.id), number_(number),
      answer_limit_(client.limits_.max_answer_bytes), is_head_(request.method == "HEAD")
{
    if (request.answer_limit > 0) {
        answer_limit_ = std::min(answer_limit_, request.answer_limit);
    }
}

void upstream_exchange::new_parser()
{
    parser_.emplace();
    parser_->get().body() = growing_bytes(client_.resources_->memory);
    parser_->eager(true);
    parser_->header_limit(max_framing_bytes);
    parser_->body_limit(answer_limit_);
    if (is_head_) {
        parser_->skip(true);
    }
}

byte_stream::handlers upstream_exchange::stream_handlers()
{
    return {[self = shared_from_this()](auto& buffer) { self->on_data(buffer); },
            [self = shared_from_this()](auto error) { self->on_closed(error); }};
}

void upstream_exchange::write(const upstream_request& request)
{
    const auto& names = client_.names_;
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - boot_clock::now());
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    text.reserve(text.size() + request.headers.size() + 256);
    text += header_line("Host", request.host);
    text += header_line(names.request_id, request.id);
    text += header_line(names.time_left, std::to_string(std::max<std::int64_t>(1, left.count())));
    text += header_line(names.expected_target, request.target_id);
    text += header_line(names.caller_service, request.caller_service);
    text += request.headers;
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body) {
        text += header_line("Content-Length", std::to_string(request.body.size()));
    }
    text += "\r\n";
    stream_->write(std::move(text));
    stream_->write_shared(request.body);
}

void upstream_exchange::start(const upstream_request& request, std::shared_ptr<byte_stream> reused)
{
    new_parser();
    expiry_ =
        client_.deadlines_.at(request.deadline + late_answer_allowance, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->on_deadline();
            }
        });
    if (reused) {
        is_reused_ = true;
        stream_ = std::move(reused);
        stream_->set_handlers(stream_handlers());
        sent_before_ = stream_->sent();
        write(request);
        return;
    }
    stream_ = std::make_shared<byte_stream>(tcp::socket(client_.context_), client_.resources_);
    stream_->connect(client_.target_, stream_handlers(),
                     [self = shared_from_this(), request](auto error) {
                         if (!self->done_) {
                             return;
                         }
                         if (error) {
                             upstream_result result;
                             result.outcome = call_outcome::unreachable;
                             self->finish(std::move(result));
                             return;
                         }
                         self->write(request);
                     });
}

request_stage upstream_exchange::stage() const noexcept
{
    const bool is_unsent = stream_ && stream_->sent() == sent_before_;
    return is_unsent ? request_stage::connecting : request_stage::running;
}

void upstream_exchange::on_data(boost::beast::flat_buffer& buffer)
{
    while (done_ && buffer.size() > 0) {
        const auto error = parse_input(*parser_, buffer, max_framing_bytes);
        if (error && error != http::error::need_more) {
            finish_invalid(parse_error_text(error));
            return;
        }
        if (!parser_->is_done()) {
            client_.record_buffered_bytes(*this, parser_->get().body().size());
            return;
        }
        on_message(buffer);
    }
}

upstream_exchange::owner
upstream_exchange::owner_of(const http::response<counted_body>& message) const
{
    const auto answered = find_header(message, client_.names_.request_id);
    if (answered) {
        return *answered == id_ ? owner::this_request : owner::other_request;
    }
    if (message.result_int() / 100 == 2) {
        return owner::other_request;
    }
    return is_reused_ ? owner::unknown : owner::this_request;
}

void upstream_exchange::skip_answer()
{
    ++skipped_answers_;
    if (skipped_answers_ > max_skipped_answers) {
        finish_invalid("more than " + std::to_string(max_skipped_answers) +
                       " answers that are interim or belong to other requests");
        return;
    }
    new_parser();
}

void upstream_exchange::finish_invalid(const std::string& detail)
{
    log_event("answer_invalid").add("id", id_).add("detail", detail).warning();
    finish_lost();
}

void upstream_exchange::abort_for_memory()
{
    finish_invalid("total size of buffered answers exceeds the memory limit");
}

void upstream_exchange::on_message(boost::beast::flat_buffer& buffer)
{
    auto message = parser_->release();
    if (message.result_int() / 100 == 1) {
        skip_answer();
        return;
    }
    const auto whose = owner_of(message);
    if (whose == owner::unknown) {
        finish_invalid("error answer without a request id on a reused connection");
        return;
    }
    if (whose == owner::other_request) {
        // A duplicate answer to an earlier request; the answer to this request follows it.
        log_event("answer_of_other_request").add("id", id_).warning();
        is_clean_ = false;
        skip_answer();
        return;
    }
    const bool keep =
        message.keep_alive() && is_clean_ && buffer.size() == 0 && stream_->unwritten() == 0;
    const auto usable = idle_time(message);
    auto result = result_of(std::move(message));
    if (keep && result.outcome != call_outcome::no_response) {
        client_.keep(std::exchange(stream_, nullptr), usable);
    }
    finish(std::move(result));
}

upstream_result upstream_exchange::result_of(http::response<counted_body> message)
{
    const auto& names = client_.names_;
    upstream_result result;
    const bool has_proof = find_header(message, names.answer_proof).has_value();
    const bool has_not_run = find_header(message, names.not_run).has_value();
    const bool is_encoded = find_header(message, "content-encoding").has_value();
    result.answer.status = message.result_int();
    if (!is_final_status(result.answer.status)) {
        log_event("answer_invalid")
            .add("id", id_)
            .add("detail", "status code out of range: " + std::to_string(result.answer.status))
            .warning();
        return result;
    }
    if (has_not_run || result.answer.status == 421) {
        result.outcome = call_outcome::not_run;
        result.is_misdirected = result.answer.status == 421;
        return result;
    }
    if (result.answer.status / 100 == 2 && (!has_proof || is_encoded)) {
        log_event("answer_without_proof").add("id", id_).add("encoded", is_encoded).warning();
        return result;
    }
    result.outcome = call_outcome::answered;
    // Ids of nested calls are long, so they are left out here and added again by the entry node.
    result.answer.headers = end_to_end_headers(message, names.target_load, names.request_id);
    if (is_head_) {
        result.answer.omitted_length = std::string(message[http::field::content_length]);
    }
    result.answer.body = message.body().release();
    return result;
}

void upstream_exchange::on_closed(boost::system::error_code error)
{
    if (!done_) {
        return;
    }
    if (error == asio::error::eof && parser_->is_header_done()) {
        boost::system::error_code end;
        parser_->put_eof(end);
        if (!end && parser_->is_done()) {
            if (owner_of(parser_->get()) == owner::this_request) {
                finish(result_of(parser_->release()));
                return;
            }
        }
    }
    upstream_result no_response;
    no_response.is_closed_early = true;
    finish(std::move(no_response));
}

void upstream_exchange::on_deadline()
{
    if (done_) {
        upstream_result late;
        late.is_timed_out = true;
        finish(std::move(late));
    }
}

void upstream_exchange::finish_lost()
{
    finish({}); // The default outcome is no_response.
}

void upstream_exchange::finish(upstream_result result)
{
    client_.record_buffered_bytes(*this, 0);
    client_.deadlines_.cancel(expiry_);
    const auto done = std::exchange(done_, nullptr);
    if (stream_) {
        std::exchange(stream_, nullptr)->close();
    }
    if (done) {
        done(std::move(result));
    }
}

void upstream_exchange::cancel()
{
    client_.record_buffered_bytes(*this, 0);
    client_.deadlines_.cancel(expiry_);
    done_ = nullptr;
    if (stream_) {
        std::exchange(stream_, nullptr)->abort();
    }
}

} // namespace trefoil
