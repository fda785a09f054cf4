#pragma once

#include "node_codec.h"
#include "relay_fixture.h"

#include "base/time.h"
#include "dispatch/call_outcome.h"

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace trefoil {

/// How a caller ends its connection.
enum class departure : std::uint8_t { close, reset };

/// An entry node and a node beside a target. The nodes run only while the context runs, so whatever
/// the test does in between happens to them as during a pause of their processes.
struct departed_callers_fixture : relay_fixture {
    using reply = stand_in_target::reply;
    using end = stand_in_target::reply::end;

    static constexpr int caller_count = 30;
    /// Time after which no work may be going on for a caller that has left.
    static constexpr std::chrono::milliseconds rule_time{500};
    /// Longer than a request needs to reach its target.
    static constexpr std::chrono::milliseconds settle_time{300};

    std::function<reply(const stand_in_target::request&)> respond = [](const auto& r) {
        return reply{stand_in_target::answer(r, "done"), end::keep};
    };
    vm& front = add_vm("front", "front", [](const auto&) { return reply{}; });
    vm& back = add_vm("back", "orders", [this](const auto& r) { return respond(r); });

    using relay_fixture::relay_fixture;

    void serve(bool idempotent, std::uint32_t slots = caller_count)
    {
        const auto config = config_for("orders", idempotent);
        auto entry = entry_of(back, "back");
        entry.slots = slots;
        for (const auto& v : vms) {
            v->node->set_config(config);
            v->node->put_target(entry);
        }
    }

    void run_for(std::chrono::milliseconds time)
    {
        context.run_for(time);
        context.restart();
    }

    /// Runs the nodes until the condition holds; unlike run_until it does not wait for an event in
    /// between.
    template<class Condition>
    void poll_until(Condition condition)
    {
        while (!condition()) {
            context.poll();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    static void leave(tcp::socket& caller, departure how)
    {
        if (how == departure::reset) {
            caller.set_option(asio::socket_base::linger(true, 0));
        }
        caller.close();
    }

    static std::string post_text(const std::string& id, std::size_t body)
    {
        return request_text(id, "Content-Length: " + std::to_string(body) + "\r\n",
                            "POST /work/1 HTTP/1.1") +
               std::string(body, 'b');
    }

    /// Connects with a small receive buffer, so that answers stay in the node.
    tcp::socket slow_reader(const tcp::endpoint& peer)
    {
        tcp::socket socket(context, tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        socket.connect(peer);
        return socket;
    }

    /// Reads what the node has sent; false if the connection ended.
    static bool caller_is_open(tcp::socket& socket)
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        socket.non_blocking(true);
        while (!error) {
            socket.read_some(asio::buffer(bytes), error);
        }
        return error == asio::error::would_block;
    }

    void wait_for_bytes(tcp::socket& socket)
    {
        run_until([&] { return socket.available() > 0; });
    }

    /// Writes bytes that may exceed the buffers of the kernel; the nodes stay paused until the
    /// kernel takes no more.
    void write_all(tcp::socket& socket, std::string_view bytes)
    {
        socket.non_blocking(true);
        while (!bytes.empty()) {
            boost::system::error_code error;
            bytes.remove_prefix(socket.write_some(asio::buffer(bytes), error));
            if (error == asio::error::would_block) {
                context.poll_one();
            }
        }
    }

    static std::string hello()
    {
        hello_message message;
        message.vm = "vm-test";
        message.service = "front";
        return encode_message(node_message_kind::hello, message);
    }

    static std::string call(std::uint32_t stream, bool idempotent, std::size_t body)
    {
        call_message message;
        message.stream = stream;
        message.time_left_ms = 20000;
        message.idempotent = idempotent;
        message.target_id = "back";
        message.id = "id-" + std::to_string(stream);
        message.method = "POST";
        message.target = "/work/1";
        message.host = "shop.example";
        message.body = std::string(body, 'b');
        message.service = "orders";
        return encode_message(node_message_kind::call, message);
    }

    /// Target whose connections the test reads and writes itself, also while the nodes are paused.
    /// Takes the place of the stand-in target.
    class manual_target {
    public:
        explicit manual_target(departed_callers_fixture& fixture)
            : fixture_(fixture), acceptor_(fixture.context)
        {
            fixture.back.target->crash();
            fixture.run_for(std::chrono::milliseconds(10));
            acceptor_ = tcp::acceptor(fixture.context, fixture.back.settings.upstream);
            acceptor_.non_blocking(true);
        }

        tcp::socket accept()
        {
            tcp::socket socket(fixture_.context);
            fixture_.poll_until([&] {
                boost::system::error_code error;
                acceptor_.accept(socket, error);
                return !error;
            });
            socket.non_blocking(true);
            return socket;
        }

        /// What was written on a further connection; empty if none was opened.
        std::string input_of_next_connection()
        {
            tcp::socket socket(fixture_.context);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (error) {
                return {};
            }
            socket.non_blocking(true);
            return unread(socket);
        }

        std::string read_request(tcp::socket& socket)
        {
            std::string text;
            fixture_.poll_until([&] {
                text += unread(socket);
                return text.find("\r\n\r\n") != std::string::npos;
            });
            return text;
        }

        static void answer(tcp::socket& socket, const std::string& id)
        {
            stand_in_target::request r;
            r.set("trefoil-request-id", id);
            asio::write(socket, asio::buffer(stand_in_target::answer(r, "done")));
        }

        /// Bytes that arrived and were not read yet.
        static std::string unread(tcp::socket& socket)
        {
            std::array<char, 4096> bytes{};
            boost::system::error_code error;
            const auto count = socket.read_some(asio::buffer(bytes), error);
            return {bytes.data(), error ? 0 : count};
        }

    private:
        departed_callers_fixture& fixture_;
        tcp::acceptor acceptor_;
    };

    /// Node beside a target whose messages the test reads and writes itself.
    class manual_node {
    public:
        explicit manual_node(departed_callers_fixture& fixture)
            : fixture_(fixture),
              acceptor_(fixture.context, {asio::ip::make_address("127.0.0.9"),
                                          fixture.front.settings.inbound.port()}),
              socket_(fixture.context)
        {
            acceptor_.non_blocking(true);
        }

        target_entry entry() const
        {
            auto entry = entry_of(fixture_.back, "first");
            entry.address = acceptor_.local_endpoint().address().to_string();
            return entry;
        }

        void accept()
        {
            fixture_.poll_until([&] {
                boost::system::error_code error;
                acceptor_.accept(socket_, error);
                return !error;
            });
            socket_.non_blocking(true);
        }

        call_message read_call()
        {
            std::optional<call_message> call;
            fixture_.poll_until([&] {
                boost::system::error_code error;
                const auto count = socket_.read_some(buffer_.prepare(4096), error);
                buffer_.commit(error ? 0 : count);
                take_messages(
                    buffer_, [] { return max_message_size; },
                    [&](const raw_node_message& message) {
                        if (message.kind == node_message_kind::call) {
                            call = decode_fields<call_message>(message);
                        }
                    });
                return call.has_value();
            });
            return *call;
        }

        /// Number of calls that arrive until the time has passed.
        int count_calls(std::chrono::milliseconds time)
        {
            int calls = 0;
            for (const auto end = boot_clock::now() + time; boot_clock::now() < end;) {
                fixture_.run_for(std::chrono::milliseconds(1));
                boost::system::error_code error;
                while (!error) {
                    buffer_.commit(
                        socket_.read_some(buffer_.prepare(std::size_t{64} * 1024), error));
                }
                take_messages(
                    buffer_, [] { return max_message_size; },
                    [&](const raw_node_message& message) {
                        calls += message.kind == node_message_kind::call ? 1 : 0;
                    });
            }
            return calls;
        }

        void reject(const call_message& call)
        {
            answer_message answer;
            answer.stream = call.stream;
            answer.outcome = static_cast<std::uint8_t>(call_outcome::rejected);
            asio::write(socket_, asio::buffer(encode_message(node_message_kind::answer, answer)));
        }

    private:
        departed_callers_fixture& fixture_;
        tcp::acceptor acceptor_;
        tcp::socket socket_;
        boost::beast::flat_buffer buffer_;
    };
};

} // namespace trefoil
