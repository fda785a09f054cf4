#include "control/control_server.h"

#include "base/log_event.h"
#include "call_io/call_listener.h"
#include "call_io/io_threads.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <exception>
#include <optional>
#include <string_view>
#include <thread>
#include <utility>

namespace trefoil {

namespace {

namespace http = boost::beast::http;

constexpr const char* json_content_type = "application/json";
constexpr const char* metrics_content_type = "text/plain; version=0.0.4";

/// Number of threads that run handlers. Two are sufficient: most requests come from operators or
/// are messages of peers, of which a few arrive per second.
constexpr std::size_t handler_threads = 2;

/// Sufficient for the headers that operators' HTTP clients and peers send.
constexpr std::size_t max_header_bytes = std::size_t{8} * 1024;

/// Time limit for sending the remaining responses during shutdown.
constexpr std::chrono::seconds shutdown_timeout{1};
constexpr std::chrono::milliseconds shutdown_poll_interval{1};

std::string_view to_string_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the number from the query parameter `after=N`, 0 if the parameter is absent, or nullopt
/// if it is malformed.
std::optional<std::uint64_t> parse_after_parameter(std::string_view query)
{
    constexpr std::string_view key = "after=";
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto field = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (!field.starts_with(key)) {
            continue;
        }
        const auto text = field.substr(key.size());
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            return std::nullopt;
        }
        return number;
    }
    return 0;
}

} // namespace

control_port_unavailable::control_port_unavailable(const std::string& address, std::uint16_t port,
                                                   const std::string& detail)
    : error("cannot listen on " + address + ":" + std::to_string(port) + ": " + detail)
{
}

class control_server::impl {
public:
    impl(const control_server_options& options, control_handlers handlers)
        : handlers_(std::move(handlers)), threads_(handler_threads)
    {
        try {
            const tcp::endpoint local(asio::ip::make_address(options.address), options.port);
            listener_.emplace(
                threads_.contexts(), local,
                [this](call_request request, std::size_t /*shard*/,
                       const std::shared_ptr<cancel_token>& /*cancel*/) {
                    return serve(std::move(request));
                },
                call_listener_limits{max_header_bytes, options.max_request_bytes});
        }
        catch (const boost::system::system_error& e) {
            throw control_port_unavailable(options.address, options.port, e.what());
        }
        listener_->start();
        threads_.start();
    }

    ~impl()
    {
        listener_->close();
        const auto end = std::chrono::steady_clock::now() + shutdown_timeout;
        while (listener_->in_flight() > 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(shutdown_poll_interval);
        }
        threads_.stop();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::uint16_t port() const { return listener_->port(); }
    std::uint64_t rejected() const { return rejected_ + listener_->refused(); }

private:
    asio::awaitable<call_response> serve(call_request request)
    {
        const auto target = to_string_view(request.target());
        const auto path = target.substr(0, target.find('?'));
        const auto query = target.substr(std::min(path.size() + 1, target.size()));
        const bool is_get = request.method() == http::verb::get;
        if (path == "/rpc" && request.method() == http::verb::post) {
            co_return respond(path, json_content_type,
                              [&] { return handlers_.rpc(request.body()); });
        }
        if (path == "/metrics" && is_get) {
            co_return respond(path, metrics_content_type, handlers_.metrics);
        }
        if (path == "/status" && is_get) {
            co_return respond(path, json_content_type, handlers_.status);
        }
        if (path == "/audit" && is_get) {
            const auto after = parse_after_parameter(query);
            co_return after
                ? respond(path, json_content_type, [&] { return handlers_.audit(*after); })
                : reject(http::status::bad_request);
        }
        co_return reject(http::status::not_found);
    }

    template<class Handler>
    static call_response respond(std::string_view path, const char* type, const Handler& handler)
    {
        try {
            return make_response(http::status::ok, type, handler());
        }
        catch (const std::exception& e) {
            log_event("control_handler_failed")
                .add("path", std::string(path))
                .add("why", e.what())
                .error();
            return make_response(http::status::internal_server_error, metrics_content_type, "");
        }
    }

    call_response reject(http::status status)
    {
        ++rejected_;
        return make_response(status, metrics_content_type, "");
    }

    static call_response make_response(http::status status, const char* type, std::string body)
    {
        call_response result(status, 11);
        result.set(http::field::content_type, type);
        result.body() = std::move(body);
        result.prepare_payload();
        return result;
    }

    control_handlers handlers_;
    std::atomic<std::uint64_t> rejected_ = 0;
    io_threads threads_;
    std::optional<call_listener> listener_;
};

control_server::control_server(const control_server_options& options, control_handlers handlers)
    : impl_(std::make_unique<impl>(options, std::move(handlers)))
{
}

control_server::~control_server() = default;

std::uint16_t control_server::port() const noexcept
{
    return impl_->port();
}

std::uint64_t control_server::rejected() const noexcept
{
    return impl_->rejected();
}

} // namespace trefoil
