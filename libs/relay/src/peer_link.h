#pragma once

#include "byte_stream.h"
#include "deadline_queue.h"
#include "message_reader.h"
#include "node_message.h"
#include "request_stage.h"
#include "state_handlers.h"

#include "dispatch/call_outcome.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace trefoil {

/// Receives the answer of the peer, or an answer with the outcome of a failed connection.
using peer_answer_handler = std::function<void(answer_message)>;

/// One outbound connection to the node on another VM, which carries all requests to its target.
/// Reconnects on demand. The connection counts as unresponsive if nothing arrives for a while
/// although an answer or a pong is due. Idempotent requests on it are then reported as no_response,
/// so that they can be sent elsewhere. Other requests that were written may still be running on a
/// machine that is only paused; they are awaited until their deadline or the end of the connection.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    struct handlers {
        /// The peer is shutting down and accepts no new requests.
        std::function<void()> leaving;
        state_handlers state;
        /// Handles a message about request content that crashes targets. Returns the encoded reply,
        /// if there is one.
        std::function<std::optional<std::string>(const raw_node_message&)> contents;
        /// Reports the number of buffered bytes of a partially read message.
        std::function<void(std::size_t bytes)> buffered_bytes_changed;
        /// The connection is unresponsive and still has requests that must not be retried. New
        /// requests must use another link.
        std::function<void()> unresponsive;
    };

    peer_link(asio::io_context& context, std::shared_ptr<connection_resources> resources,
              deadline_queue& deadlines, tcp::endpoint peer, hello_message hello, handlers h);

    /// Sends a request. `done` runs once unless the request is cancelled first. Returns the number
    /// with which to cancel it.
    std::uint32_t send(call_message call, peer_answer_handler done);

    /// Cancels a request and notifies the peer if the request was already sent. Returns how far
    /// the request had got.
    request_stage cancel(std::uint32_t stream);

    /// Requests the peer's published state.
    void request_state();

    /// Pushes published changes to the peer.
    void push_state(const state_message& state);

    /// Sends an encoded message that is not a request, once the connection is open. Dropped if too
    /// many bytes already wait for the connection.
    void send_control(std::string bytes);

    bool is_connected() const noexcept { return connected_; }
    std::size_t in_flight() const noexcept { return waiting_.size(); }

    /// Time of the last use, by which unused links are closed.
    mono_time last_used() const noexcept { return last_used_; }

    void close();

    /// Bytes of the large message that is being read.
    std::size_t partial_bytes() const noexcept { return reader_.partial_bytes(); }

    /// Drops the answer that is being read; its request is reported as no_response. Aborts the
    /// connection if what is being read is no answer.
    void drop_partial();

    /// Aborts the connection; its requests are reported as no_response or unreachable.
    void abort() { on_lost(); }

private:
    void open();
    void on_connected();
    void write(call_message& call);
    /// Writes requests that wait for the connection while it takes them.
    void write_unsent();
    /// Outcome of a request whose connection failed.
    call_outcome outcome_of_failed(std::uint32_t stream) const;
    void on_data(boost::beast::flat_buffer& buffer);
    void handle(const struct raw_node_message& message);
    /// Returns the answer, or a failure in its place if its values are out of range: an invalid
    /// answer must not end the other requests on the connection.
    answer_message checked(answer_message answer) const;
    /// Ends a request with an outcome that stands for its answer.
    void fail(std::uint32_t stream, call_outcome outcome);
    void on_lost();
    void on_unresponsive();
    void check();
    void schedule_check();

    asio::io_context& context_;
    deadline_queue& deadlines_;
    tcp::endpoint peer_;
    hello_message hello_;
    handlers handlers_;
    std::shared_ptr<connection_resources> resources_;
    std::shared_ptr<byte_stream> stream_;
    message_reader reader_;
    struct waiting_call {
        peer_answer_handler done;
        bool idempotent = false;
    };
    std::unordered_map<std::uint32_t, waiting_call> waiting_;
    /// Requests waiting until the connection is open and takes them, in order.
    std::map<std::uint32_t, call_message> unsent_;
    /// Encoded other messages waiting for the connection to open.
    std::string unsent_control_;
    std::uint32_t last_stream_ = 0;
    mono_time last_received_;
    mono_time last_used_;
    mono_time opened_;
    bool connected_ = false;
    bool check_scheduled_ = false;
    bool closed_ = false;
    /// The connection is unresponsive and kept only for the requests still awaited on it.
    bool awaiting_only_ = false;
};

} // namespace trefoil
