#include "loopback_cost.h"

#include "base/time.h"
#include "control/control_server.h"
#include "control/peer_client.h"
#include "control/rpc_server.h"

#include <sys/resource.h>

// Before Boost.Asio 1.74, which uses std::exchange without this header.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

namespace trefoil {

namespace {

using boost::asio::ip::tcp;

/// A control port that answers each exchange with its own content.
class echo_peer {
public:
    std::uint16_t port() const noexcept { return server_.port(); }

private:
    rpc_server rpc_{{.admit = [](const message_header&, std::size_t) { return std::nullopt; },
                     .exchange = [](const exchange_message& request) { return request; }}};
    control_server server_{{},
                           {.rpc = [this](const std::string& body) { return rpc_.handle(body); }}};
};

/// Reads one HTTP message with a Content-Length.
std::string read_http_message(tcp::socket& socket)
{
    std::string received;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
    const std::string field = "Content-Length:";
    const auto body_at = received.find("\r\n\r\n") + 4;
    const auto length = std::stoul(received.substr(received.find(field) + field.size()));
    if (received.size() < body_at + length) {
        boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                          boost::asio::transfer_exactly(body_at + length - received.size()));
    }
    return received;
}

/// The bytes that peer_client sends for this message.
std::string capture_request(const exchange_message& message)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    std::string captured;
    const std::jthread listener([&] {
        auto socket = acceptor.accept();
        captured = read_http_message(socket);
    });
    try {
        peer_client client;
        client.exchange({"127.0.0.1", acceptor.local_endpoint().port()}, message);
    }
    catch (const peer_call_failed&) {
        // The listener closes the connection without an answer.
    }
    return captured;
}

double cpu_us()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto us = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
    };
    return us(usage.ru_utime) + us(usage.ru_stime);
}

} // namespace

exchange_bytes measure_exchange_bytes(const exchange_message& message)
{
    const auto request = capture_request(message);
    const echo_peer peer;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), peer.port()});
    boost::asio::write(socket, boost::asio::buffer(request));
    return {request.size(), read_http_message(socket).size()};
}

exchange_cost measure_exchange_cost(const exchange_message& message, std::size_t count)
{
    const echo_peer peer;
    peer_client client;
    const peer_endpoint endpoint{"127.0.0.1", peer.port()};
    // The first calls start threads and allocate buffers.
    for (int i = 0; i < 20; ++i) {
        client.exchange(endpoint, message);
    }
    const auto cpu = cpu_us();
    const auto start = boot_clock::now();
    for (std::size_t i = 0; i < count; ++i) {
        client.exchange(endpoint, message);
    }
    const std::chrono::duration<double, std::micro> wall = boot_clock::now() - start;
    const auto calls = static_cast<double>(count);
    return {(cpu_us() - cpu) / calls, wall.count() / calls};
}

} // namespace trefoil
