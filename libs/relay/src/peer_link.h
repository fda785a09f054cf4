#pragma once

#include "byte_stream.h"
#include "deadline_queue.h"
#include "node_message.h"
#include "state_handlers.h"

#include "dispatch/call_outcome.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace trefoil {

/// What the receiver of a request reported, or what became of the connection to it.
using peer_answer_handler = std::function<void(answer_message)>;

/// One connection to the node on another VM, over which all requests to its target go. Reconnects
/// on demand. Found silent when nothing arrives for a while although something is due: repeatable
/// requests then count as lost, so that they can go elsewhere. The others may be running on a
/// machine that only stands still, and are awaited until their deadline or the end of the
/// connection.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    struct handlers {
        /// The peer is shutting down and takes no new requests.
        std::function<void()> leaving;
        state_handlers state;
        /// Messages about contents that crash targets; returns the bytes to send back, if any.
        std::function<std::optional<std::string>(const raw_node_message&)> contents;
        /// Bytes of an unfinished message of the peer that are held.
        std::function<void(std::size_t bytes)> held;
        /// The connection is silent and still has requests that must not be repeated; new ones are
        /// to use another link.
        std::function<void()> silent;
    };

    peer_link(asio::io_context& context, deadline_queue& deadlines, tcp::endpoint peer,
              hello_message hello, handlers h);

    /// Sends a request; `done` runs once unless the request is cancelled first. Returns the number
    /// by which to cancel it.
    std::uint32_t send(call_message call, peer_answer_handler done);

    /// Tells the peer that the answer is no longer wanted.
    void cancel(std::uint32_t stream);

    /// Asks for the peer's published state.
    void request_state();

    /// Passes published changes on.
    void push_state(const state_message& state);

    /// Sends a message that needs no answer, once the connection is open.
    void send_control(std::string bytes);

    bool is_connected() const noexcept { return connected_; }
    std::size_t in_flight() const noexcept { return waiting_.size(); }

    /// Time of the last use, for closing links that are no longer needed.
    mono_time last_used() const noexcept { return last_used_; }

    void close();

    /// Ends the connection; the requests on it are lost.
    void cut() { on_lost(); }

private:
    void open();
    void on_connected();
    void write(call_message& call);
    void on_data(boost::beast::flat_buffer& buffer);
    void handle(const struct raw_node_message& message);
    void on_lost();
    void on_silent();
    void check();
    void schedule_check();

    asio::io_context& context_;
    deadline_queue& deadlines_;
    tcp::endpoint peer_;
    hello_message hello_;
    handlers handlers_;
    std::shared_ptr<byte_stream> stream_;
    struct waiting_call {
        peer_answer_handler done;
        bool repeatable = false;
    };
    std::unordered_map<std::uint32_t, waiting_call> waiting_;
    /// Requests that wait for the connection, in order.
    std::map<std::uint32_t, call_message> unsent_;
    /// Other messages that wait for it.
    std::string unsent_control_;
    std::uint32_t last_stream_ = 0;
    mono_time last_received_;
    mono_time last_used_;
    mono_time opened_;
    bool connected_ = false;
    bool check_scheduled_ = false;
    bool closed_ = false;
    /// Silent, and only kept for the requests that wait.
    bool parked_ = false;
};

} // namespace trefoil
