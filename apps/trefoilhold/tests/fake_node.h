#pragma once

#include <boost/asio.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace trefoil_test {

/// HTTP server in place of a node's control port: answers one path with a fixed body, and every
/// other path with status 404.
class fake_node {
public:
    fake_node(std::string path, std::string body)
        : path_(std::move(path)), body_(std::move(body)),
          acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this] { serve(); })
    {
    }

    ~fake_node()
    {
        stopping_ = true;
        // The thread blocks in accept; a connection unblocks it.
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket wake(context);
        boost::system::error_code ignored;
        wake.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    fake_node(const fake_node&) = delete;
    fake_node& operator=(const fake_node&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void serve()
    {
        while (true) {
            auto socket = acceptor_.accept();
            if (stopping_) {
                return;
            }
            boost::system::error_code failure;
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                    failure);
            if (!failure) {
                boost::asio::write(socket, boost::asio::buffer(answer(request)), failure);
            }
        }
    }

    std::string answer(const std::string& request) const
    {
        const auto begin = request.find(' ') + 1;
        const bool found = request.substr(begin, request.find(' ', begin) - begin) == path_;
        const std::string body = found ? body_ : "";
        return std::string("HTTP/1.1 ") + (found ? "200 OK" : "404 Not Found") +
               "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    const std::string path_;
    const std::string body_;
    std::atomic<bool> stopping_ = false;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace trefoil_test
