#include "peer_session.h"

#include "node_codec.h"

#include "base/log_event.h"
#include "dispatch/call_outcome.h"

#include <algorithm>
#include <utility>

namespace trefoil {

peer_session::peer_session(tcp::socket socket,
                           const std::shared_ptr<connection_resources>& resources)
    : stream_(std::make_shared<byte_stream>(std::move(socket), resources)),
      reader_(resources->memory)
{
}

void peer_session::start(handlers h)
{
    handlers_ = std::move(h);
    // The handlers of the stream keep this object alive until the stream ends.
    stream_->start({[self = shared_from_this()](auto& buffer) { self->on_data(buffer); },
                    [self = shared_from_this()](auto) { self->on_ended(); }});
}

void peer_session::on_data(boost::beast::flat_buffer& buffer)
{
    try {
        // Requests may follow the hello message in the same read, so the limit is looked up per
        // message.
        const auto max_length = [this] {
            return hello_received_ ? max_message_size : max_hello_size;
        };
        reader_.take(buffer, max_length,
                     [this](const raw_node_message& message) { handle(message); });
        if (std::exchange(has_new_calls_, false) && stream_->peer_has_closed()) {
            close(); // Nobody receives the answers.
            return;
        }
        handlers_.buffered_bytes_changed(shared_from_this(),
                                         buffer.size() + reader_.partial_bytes());
    }
    catch (const invalid_node_message& e) {
        log_event("peer_message_invalid").add("detail", e.what()).warning();
        close();
    }
}

void peer_session::handle(const raw_node_message& message)
{
    if (!hello_received_ && message.kind != node_message_kind::hello) {
        throw invalid_node_message("first message is not hello");
    }
    switch (message.kind) {
    case node_message_kind::hello: {
        hello_received_ = true;
        const auto hello = decode_fields<hello_message>(message);
        caller_service_ = hello.service;
        delay_.observe(hello.sent_ms, mono_stamp());
        handlers_.greeted(shared_from_this());
        break;
    }
    case node_message_kind::call: {
        auto call = decode_fields<call_message>(message);
        const auto stream = call.stream;
        if (handlers_.state.peer_version(call.version.version())) {
            request_state();
        }
        const auto delay = delay_.observe(call.sent_ms, mono_stamp()).count();
        call.time_left_ms -= std::min(call.time_left_ms, static_cast<std::uint32_t>(delay));
        has_new_calls_ = true;
        tickets_[stream] = 0;
        const auto ticket = handlers_.call(shared_from_this(), caller_service_, std::move(call));
        const auto it = tickets_.find(stream);
        if (it != tickets_.end()) {
            it->second = ticket; // Not answered synchronously.
        }
        break;
    }
    case node_message_kind::cancel: {
        const auto it = tickets_.find(decode_fields<cancel_message>(message).stream);
        if (it != tickets_.end()) {
            const auto ticket = it->second;
            tickets_.erase(it);
            handlers_.cancel(ticket);
        }
        break;
    }
    case node_message_kind::ping:
        stream_->write(encode_message(node_message_kind::pong));
        break;
    case node_message_kind::state:
    case node_message_kind::state_request:
        if (auto reply = handlers_.state.reply_to(message)) {
            stream_->write(std::move(*reply));
        }
        break;
    case node_message_kind::crash:
    case node_message_kind::content_question:
    case node_message_kind::content_served:
    case node_message_kind::records_request:
    case node_message_kind::records:
        if (auto reply = handlers_.contents(message)) {
            stream_->write(std::move(*reply));
        }
        break;
    default:
        break;
    }
}

void peer_session::answer(answer_message answer)
{
    if (tickets_.erase(answer.stream) != 0) {
        write(std::move(answer));
    }
}

void peer_session::write(answer_message answer)
{
    answer.version = wire_state_version(handlers_.state.own_version());
    auto message = encode_with_body(node_message_kind::answer, answer);
    stream_->write(std::move(message.head));
    stream_->write_shared(message.body);
    stream_->write(std::move(message.tail));
}

void peer_session::drop_partial()
{
    const auto dropped = reader_.drop_partial();
    if (!dropped || dropped->kind != node_message_kind::call) {
        close();
        return;
    }
    answer_message rejected;
    rejected.stream = dropped->stream;
    rejected.outcome = static_cast<std::uint8_t>(call_outcome::rejected);
    write(std::move(rejected));
}

void peer_session::send_leaving()
{
    if (!std::exchange(leaving_sent_, true)) {
        stream_->write(encode_message(node_message_kind::leaving));
    }
}

void peer_session::request_state()
{
    stream_->write(handlers_.state.request_text());
}

void peer_session::on_ended()
{
    for (const auto& [stream, ticket] : std::exchange(tickets_, {})) {
        handlers_.cancel(ticket);
    }
    handlers_.ended(shared_from_this());
}

void peer_session::close()
{
    stream_->close();
    on_ended();
}

} // namespace trefoil
