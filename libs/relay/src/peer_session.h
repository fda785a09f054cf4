#pragma once

#include "byte_stream.h"
#include "node_message.h"
#include "state_handlers.h"

#include "base/time.h"
#include "dispatch/transit_delay.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace trefoil {

/// One connection from the node on another VM, which sends requests for the own target.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
    struct handlers {
        /// A request for the own target. Returns the ticket by which it can be cancelled; answered
        /// by `answer`.
        std::function<std::uint64_t(const std::shared_ptr<peer_session>&,
                                    const std::string& caller_service, call_message)>
            call;
        std::function<void(std::uint64_t ticket)> cancel;
        /// A peer connected.
        std::function<void(const std::shared_ptr<peer_session>&)> greeted;
        state_handlers state;
        /// Messages about contents that crash targets; returns the bytes to send back, if any.
        std::function<std::optional<std::string>(const raw_node_message&)> contents;
        /// Bytes of an unfinished message that are held.
        std::function<void(const std::shared_ptr<peer_session>&, std::size_t bytes)> held;
        std::function<void(const std::shared_ptr<peer_session>&)> ended;
    };

    explicit peer_session(tcp::socket socket);

    void start(handlers h);

    /// Sends the answer to a request; ignored if the connection has ended.
    void answer(answer_message answer);

    /// Tells the peer that this node takes no new requests.
    void tell_leaving();

    /// Asks for the peer's published state.
    void request_state();

    void close();

    /// Ends the connection; the requests on it are cancelled.
    void end();

    /// Bytes held for this peer.
    std::size_t held_bytes() const { return stream_->unwritten(); }

private:
    void on_data(boost::beast::flat_buffer& buffer);
    void handle(const struct raw_node_message& message);
    void on_ended();

    std::shared_ptr<byte_stream> stream_;
    handlers handlers_;
    std::string caller_service_;
    transit_delay delay_;
    /// Tickets by the peer's numbers.
    std::unordered_map<std::uint32_t, std::uint64_t> tickets_;
    bool leaving_told_ = false;
    bool greeted_ = false;
};

} // namespace trefoil
