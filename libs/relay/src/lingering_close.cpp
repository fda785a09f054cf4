#include "lingering_close.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <utility>

namespace trefoil {

namespace {

/// Time that the peer has to close the connection; several round trips on a lossy link.
constexpr std::chrono::seconds max_linger_time{2};

/// Max bytes that are read and discarded; several times the largest permitted body, since oversized
/// bodies mostly exceed the limit by a small factor.
constexpr std::size_t max_discarded_bytes = std::size_t{8} << 20U;

class lingering_socket : public std::enable_shared_from_this<lingering_socket> {
public:
    lingering_socket(tcp::socket socket, const std::shared_ptr<connection_resources>& resources)
        : open_count_(resources, &connection_resources::open),
          lingering_count_(resources, &connection_resources::lingering),
          held_(resources->memory, sizeof *this), socket_(std::move(socket)),
          timer_(socket_.get_executor())
    {
    }

    void start()
    {
        boost::system::error_code ignored; // The peer may have closed it already.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        timer_.expires_after(max_linger_time);
        timer_.async_wait([self = shared_from_this()](auto) { self->close(); });
        discard();
    }

private:
    void discard()
    {
        socket_.async_read_some(asio::buffer(bytes_),
                                [self = shared_from_this()](auto error, std::size_t count) {
                                    self->discarded_bytes_ += count;
                                    if (error || self->discarded_bytes_ > max_discarded_bytes) {
                                        self->timer_.cancel();
                                        self->close();
                                        return;
                                    }
                                    self->discard();
                                });
    }

    void close()
    {
        boost::system::error_code ignored; // Closing cannot be refused.
        socket_.close(ignored);
    }

    connection_count open_count_;
    connection_count lingering_count_;
    memory_lease held_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, 4096> bytes_{};
    std::size_t discarded_bytes_ = 0;
};

} // namespace

void close_lingering(tcp::socket socket, const std::shared_ptr<connection_resources>& resources)
{
    if (resources->lingering < resources->max_lingering) {
        std::make_shared<lingering_socket>(std::move(socket), resources)->start();
        return;
    }
    boost::system::error_code ignored; // The peer may have closed it already.
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    socket.close(ignored);
}

} // namespace trefoil
