#pragma once

#include "byte_stream.h"
#include "message_reader.h"
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

/// One inbound connection from the node on another VM, which sends requests for the local target.
class peer_session : public std::enable_shared_from_this<peer_session> {
public:
    struct handlers {
        /// Starts a request for the local target. Returns the ticket with which it can be
        /// cancelled. The answer is sent with peer_session::answer.
        std::function<std::uint64_t(const std::shared_ptr<peer_session>&,
                                    const std::string& caller_service, call_message)>
            call;
        std::function<void(std::uint64_t ticket)> cancel;
        /// The hello message of the peer was received.
        std::function<void(const std::shared_ptr<peer_session>&)> greeted;
        state_handlers state;
        /// Handles a message about request content that crashes targets. Returns the encoded reply,
        /// if there is one.
        std::function<std::optional<std::string>(const raw_node_message&)> contents;
        /// Reports the number of buffered bytes of a partially read message.
        std::function<void(const std::shared_ptr<peer_session>&, std::size_t bytes)>
            buffered_bytes_changed;
        std::function<void(const std::shared_ptr<peer_session>&)> ended;
    };

    peer_session(tcp::socket socket, const std::shared_ptr<connection_resources>& resources);

    void start(handlers h);

    /// Sends the answer to a request; ignored if the request was cancelled or the connection ended.
    void answer(answer_message answer);

    /// Notifies the peer that this node accepts no new requests. Sent once per connection.
    void send_leaving();

    /// Requests the peer's published state.
    void request_state();

    /// Closes the connection and cancels the requests on it.
    void close();

    /// Rejects the request that is being read, which has not run, and drops the rest of it. Closes
    /// the connection if what is being read is no request.
    void drop_partial();

    /// Bytes of the large message that is being read.
    std::size_t partial_bytes() const noexcept { return reader_.partial_bytes(); }

    /// Number of bytes buffered for the peer that are not yet written.
    std::size_t unwritten_bytes() const { return stream_->unwritten(); }

private:
    void on_data(boost::beast::flat_buffer& buffer);
    void handle(const struct raw_node_message& message);
    void write(answer_message answer);
    void on_ended();

    std::shared_ptr<byte_stream> stream_;
    message_reader reader_;
    handlers handlers_;
    std::string caller_service_;
    transit_delay delay_;
    /// Tickets by the peer's request numbers.
    std::unordered_map<std::uint32_t, std::uint64_t> tickets_;
    bool leaving_sent_ = false;
    bool hello_received_ = false;
    /// The input that is being handled has requests.
    bool has_new_calls_ = false;
};

} // namespace trefoil
