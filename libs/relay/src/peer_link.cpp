#include "peer_link.h"

#include "node_codec.h"

#include "base/log_event.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace trefoil {

namespace {

/// Time limit for opening a connection. Network latency is a few milliseconds, and a lost SYN
/// packet is retransmitted after one second.
constexpr std::chrono::milliseconds connect_timeout{1300};

/// Interval between checks of a connection that is in use.
constexpr std::chrono::milliseconds check_interval{500};

/// A connection on which nothing arrives for this long, pongs included, counts as unresponsive.
/// Leaves time for three retransmissions on a lossy network.
constexpr std::chrono::milliseconds receive_timeout{1600};

/// A link that was used within this time is checked with pings, so that it is known to be alive
/// when the next request is sent.
constexpr std::chrono::seconds ping_period{3};

/// Limit in bytes for messages that wait for a connection to open; enough for a few changes of the
/// published state.
constexpr std::size_t max_unsent_control = 64U << 10U;

/// Calls wait at this node, where they can still be cancelled, while the connection has more than
/// this many bytes to write: the peer reads slowly or is paused.
constexpr std::size_t max_unwritten = 16U << 10U;

answer_message failure(call_outcome outcome)
{
    answer_message message;
    message.outcome = static_cast<std::uint8_t>(outcome);
    return message;
}

} // namespace

peer_link::peer_link(asio::io_context& context, std::shared_ptr<connection_resources> resources,
                     deadline_queue& deadlines, tcp::endpoint peer, hello_message hello, handlers h)
    : context_(context), deadlines_(deadlines), peer_(std::move(peer)), hello_(std::move(hello)),
      handlers_(std::move(h)), resources_(std::move(resources)), reader_(resources_->memory)
{
}

void peer_link::open()
{
    stream_ = std::make_shared<byte_stream>(tcp::socket(context_), resources_);
    reader_ = message_reader(resources_->memory);
    opened_ = boot_clock::now();
    last_received_ = opened_;
    const std::weak_ptr<peer_link> weak = weak_from_this();
    const auto stream = stream_;
    stream_->connect(peer_,
                     {[weak](auto& buffer) {
                          if (const auto self = weak.lock()) {
                              self->on_data(buffer);
                          }
                      },
                      [weak, stream = std::weak_ptr(stream)](auto) {
                          const auto self = weak.lock();
                          if (self && self->stream_ == stream.lock()) {
                              self->on_lost();
                          }
                      },
                      {},
                      [weak] {
                          if (const auto self = weak.lock()) {
                              self->write_unsent();
                          }
                      }},
                     [weak, stream](auto error) {
                         const auto self = weak.lock();
                         if (!self || self->stream_ != stream) {
                             return;
                         }
                         if (error) {
                             self->on_lost();
                             return;
                         }
                         self->on_connected();
                     });
}

void peer_link::on_connected()
{
    connected_ = true;
    last_received_ = boot_clock::now();
    hello_.sent_ms = mono_stamp();
    stream_->write(encode_message(node_message_kind::hello, hello_));
    stream_->write(std::exchange(unsent_control_, {}));
    write_unsent();
}

void peer_link::write_unsent()
{
    while (connected_ && !unsent_.empty() && stream_->unwritten() <= max_unwritten) {
        write(unsent_.begin()->second);
        unsent_.erase(unsent_.begin());
    }
}

call_outcome peer_link::outcome_of_failed(std::uint32_t stream) const
{
    return connected_ && !unsent_.contains(stream) ? call_outcome::no_response
                                                   : call_outcome::unreachable;
}

void peer_link::write(call_message& call)
{
    const auto now = mono_stamp();
    const auto waited = static_cast<std::uint32_t>(now - call.sent_ms);
    call.time_left_ms -= std::min(call.time_left_ms, waited);
    call.sent_ms = now;
    call.version = wire_state_version(handlers_.state.own_version());
    auto message = encode_with_body(node_message_kind::call, call);
    stream_->write(std::move(message.head));
    stream_->write_shared(message.body);
    stream_->write(std::move(message.tail));
}

std::uint32_t peer_link::send(call_message call, peer_answer_handler done)
{
    if (!stream_) {
        open();
    }
    last_used_ = boot_clock::now();
    const auto stream = ++last_stream_;
    call.stream = stream;
    waiting_.emplace(stream, waiting_call{std::move(done), call.idempotent});
    call.sent_ms = mono_stamp();
    // A request that waits for the connection can be cancelled without notifying the peer.
    unsent_.emplace(stream, std::move(call));
    write_unsent();
    schedule_check();
    return stream;
}

request_stage peer_link::cancel(std::uint32_t stream)
{
    const bool was_unsent = unsent_.erase(stream) != 0;
    if (waiting_.erase(stream) != 0 && !was_unsent && stream_) {
        stream_->write(encode_message(node_message_kind::cancel, cancel_message{stream}));
    }
    return was_unsent ? request_stage::unsent : request_stage::at_peer;
}

void peer_link::request_state()
{
    send_control(handlers_.state.request_text());
}

void peer_link::push_state(const state_message& state)
{
    send_control(encode_message(node_message_kind::state, state));
}

void peer_link::send_control(std::string bytes)
{
    if (connected_) {
        stream_->write(std::move(bytes));
        return;
    }
    if (unsent_control_.size() > max_unsent_control) {
        return; // The peer requests missing state once it is reachable.
    }
    if (!stream_) {
        open();
    }
    last_used_ = boot_clock::now();
    unsent_control_ += bytes;
    schedule_check();
}

void peer_link::on_data(boost::beast::flat_buffer& buffer)
{
    last_received_ = boot_clock::now();
    // A handler may release the last other reference to this link.
    const auto self = shared_from_this();
    try {
        reader_.take(
            buffer, [] { return max_message_size; },
            [this](const raw_node_message& message) { handle(message); });
        handlers_.buffered_bytes_changed(buffer.size() + reader_.partial_bytes());
    }
    catch (const invalid_node_message& e) {
        log_event("peer_message_invalid").add("peer", peer_).add("detail", e.what()).warning();
        on_lost();
    }
}

void peer_link::drop_partial()
{
    const auto dropped = reader_.drop_partial();
    if (!dropped || dropped->kind != node_message_kind::answer) {
        on_lost();
        return;
    }
    fail(dropped->stream, call_outcome::no_response);
}

void peer_link::fail(std::uint32_t stream, call_outcome outcome)
{
    const auto it = waiting_.find(stream);
    if (it != waiting_.end()) {
        const auto done = std::move(it->second.done);
        waiting_.erase(it);
        done(failure(outcome));
    }
}

answer_message peer_link::checked(answer_message answer) const
{
    try {
        check_range(answer);
        return answer;
    }
    catch (const invalid_node_message& e) {
        log_event("peer_answer_invalid")
            .add("peer", peer_)
            .add("stream", answer.stream)
            .add("detail", e.what())
            .warning();
        auto replacement = failure(call_outcome::no_response);
        replacement.stream = answer.stream;
        replacement.version = answer.version;
        return replacement;
    }
}

void peer_link::handle(const raw_node_message& message)
{
    switch (message.kind) {
    case node_message_kind::answer: {
        auto answer = checked(decode_fields<answer_message>(message));
        if (handlers_.state.peer_version(answer.version.version())) {
            request_state();
        }
        const auto it = waiting_.find(answer.stream);
        if (it != waiting_.end()) {
            const auto done = std::move(it->second.done);
            waiting_.erase(it);
            done(std::move(answer));
        }
        break;
    }
    case node_message_kind::leaving:
        handlers_.leaving();
        break;
    case node_message_kind::state:
    case node_message_kind::state_request:
        if (auto reply = handlers_.state.reply_to(message)) {
            send_control(std::move(*reply));
        }
        break;
    case node_message_kind::crash:
    case node_message_kind::content_question:
    case node_message_kind::content_served:
    case node_message_kind::records_request:
    case node_message_kind::records:
        if (auto reply = handlers_.contents(message)) {
            send_control(std::move(*reply));
        }
        break;
    default:
        break;
    }
}

void peer_link::on_lost()
{
    std::vector<std::pair<peer_answer_handler, call_outcome>> failed;
    for (auto& [stream, call] : std::exchange(waiting_, {})) {
        failed.emplace_back(std::move(call.done), outcome_of_failed(stream));
    }
    const bool was_connected = std::exchange(connected_, false);
    if (stream_) {
        // Abort, so that data in flight is not delivered later.
        std::exchange(stream_, nullptr)->abort();
    }
    unsent_.clear();
    unsent_control_.clear();
    handlers_.buffered_bytes_changed(0);
    if (closed_) {
        return;
    }
    if (!failed.empty()) {
        log_event("peer_lost")
            .add("peer", peer_)
            .add("connected", was_connected)
            .add("in_flight", failed.size())
            .warning();
    }
    for (const auto& [done, outcome] : failed) {
        done(failure(outcome));
    }
}

void peer_link::on_unresponsive()
{
    std::vector<std::pair<peer_answer_handler, call_outcome>> failed;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const auto outcome = outcome_of_failed(it->first);
        if (outcome == call_outcome::no_response) {
            if (!it->second.idempotent) {
                ++it;
                continue;
            }
            // Lets the peer stop the work if it resumes.
            stream_->write(encode_message(node_message_kind::cancel, cancel_message{it->first}));
        }
        failed.emplace_back(std::move(it->second.done), outcome);
        it = waiting_.erase(it);
    }
    unsent_.clear();
    log_event("peer_silent")
        .add("peer", peer_)
        .add("lost", failed.size())
        .add("awaited", waiting_.size())
        .warning();
    awaiting_only_ = true;
    handlers_.unresponsive();
    for (const auto& [done, outcome] : failed) {
        done(failure(outcome));
    }
}

void peer_link::schedule_check()
{
    if (check_scheduled_) {
        return;
    }
    check_scheduled_ = true;
    deadlines_.at(boot_clock::now() + check_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check();
        }
    });
}

void peer_link::check()
{
    check_scheduled_ = false;
    if (!stream_) {
        return;
    }
    const auto now = boot_clock::now();
    const bool is_unresponsive = now - last_received_ > receive_timeout;
    const bool must_wait =
        std::ranges::any_of(waiting_, [](const auto& entry) { return !entry.second.idempotent; });
    if (connected_ && is_unresponsive && must_wait && !awaiting_only_) {
        on_unresponsive();
    }
    else if ((connected_ && is_unresponsive && !must_wait) ||
             (!connected_ && now - opened_ > connect_timeout)) {
        on_lost();
        return;
    }
    if (connected_ && now - last_received_ > check_interval) {
        stream_->write(encode_message(node_message_kind::ping));
    }
    if (!waiting_.empty() || !connected_ || now - last_used_ < ping_period) {
        schedule_check();
    }
    else {
        // An idle connection is not checked and could fail unnoticed, so it is closed; the next
        // request opens a new one.
        std::exchange(stream_, nullptr)->close();
        connected_ = false;
    }
}

void peer_link::close()
{
    closed_ = true;
    on_lost();
    waiting_.clear();
}

} // namespace trefoil
