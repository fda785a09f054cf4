#include "control/control_server.h"

#include "base/log_event.h"
#include "control/control_threads.h"
#include "control/free_port.h"

#include <cpprest/http_listener.h>

#include <atomic>
#include <charconv>
#include <condition_variable>
#include <exception>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace trefoil {

namespace {

using web::http::http_request;
using web::http::methods;
using web::http::status_codes;
using web::http::experimental::listener::http_listener;

constexpr const char* json_type = "application/json";
constexpr const char* text_type = "text/plain; version=0.0.4";

/// Tries at finding a free port; another process may take it between the search and the use.
constexpr int port_attempts = 20;

std::string base_uri(const std::string& address, std::uint16_t port)
{
    const bool is_v6 = address.find(':') != std::string::npos;
    const auto host = is_v6 ? "[" + address + "]" : address;
    return "http://" + host + ":" + std::to_string(port) + "/";
}

std::optional<std::uint64_t> after_parameter(const web::uri& uri)
{
    const auto query = web::uri::split_query(uri.query());
    const auto it = query.find("after");
    if (it == query.end()) {
        return 0;
    }
    std::uint64_t number = 0;
    const auto* const end = it->second.data() + it->second.size();
    const auto parsed = std::from_chars(it->second.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Counts requests from their arrival to the end of their handler.
class running_requests {
public:
    /// Held while a request runs.
    using ticket = std::shared_ptr<void>;

    ticket enter()
    {
        const std::lock_guard lock(mutex_);
        ++count_;
        return {nullptr, [this](void*) { leave(); }};
    }

    void wait_for_none()
    {
        std::unique_lock lock(mutex_);
        none_.wait(lock, [&] { return count_ == 0; });
    }

private:
    void leave()
    {
        const std::lock_guard lock(mutex_);
        --count_;
        if (count_ == 0) {
            none_.notify_all();
        }
    }

    std::mutex mutex_;
    std::condition_variable none_;
    std::size_t count_ = 0;
};

} // namespace

control_port_unavailable::control_port_unavailable(const std::string& address, std::uint16_t port,
                                                   const std::string& detail)
    : error("cannot listen on " + address + ":" + std::to_string(port) + ": " + detail)
{
}

class control_server::impl {
public:
    impl(control_server_options options, control_handlers handlers)
        : options_(std::move(options)), handlers_(std::move(handlers))
    {
        start_control_threads();
        if (options_.port != 0) {
            open(options_.port);
            return;
        }
        for (int i = 1;; ++i) {
            const auto free = find_free_port(options_.address);
            try {
                open(free);
                return;
            }
            catch (const control_port_unavailable&) {
                if (free == 0 || i == port_attempts) {
                    throw;
                }
            }
        }
    }

    ~impl()
    {
        try {
            listener_.close().wait();
        }
        catch (const std::exception& e) {
            log_event("control_port_close_failed").add("why", e.what()).warning();
        }
        running_.wait_for_none();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::uint16_t port() const noexcept { return port_; }
    std::uint64_t refused() const noexcept { return refused_; }

private:
    void open(std::uint16_t port)
    {
        try {
            listener_ = http_listener(web::uri(base_uri(options_.address, port)));
            listener_.support([this](const http_request& request) { serve(request); });
            listener_.open().wait();
            port_ = port;
        }
        catch (const std::exception& e) {
            throw control_port_unavailable(options_.address, port, e.what());
        }
    }

    void serve(const http_request& request)
    {
        const auto path = request.relative_uri().path();
        const bool is_get = request.method() == methods::GET;
        if (path == "/rpc" && request.method() == methods::POST) {
            serve_rpc(request);
        }
        else if (path == "/metrics" && is_get) {
            answer(request, text_type, handlers_.metrics);
        }
        else if (path == "/status" && is_get) {
            answer(request, json_type, handlers_.status);
        }
        else if (path == "/audit" && is_get) {
            const auto after = after_parameter(request.relative_uri());
            if (!after) {
                refuse(request, status_codes::BadRequest);
                return;
            }
            answer(request, json_type, [&] { return handlers_.audit(*after); });
        }
        else {
            refuse(request, status_codes::NotFound);
        }
    }

    void serve_rpc(const http_request& request)
    {
        const auto& headers = request.headers();
        // Without a stated length the body could grow without bound.
        if (!headers.has("Content-Length")) {
            refuse(request, status_codes::LengthRequired);
            return;
        }
        if (headers.content_length() > options_.largest_request) {
            refuse(request, status_codes::RequestEntityTooLarge);
            return;
        }
        const auto running = running_.enter();
        request.extract_vector().then(
            [this, request, running](const pplx::task<std::vector<unsigned char>>& received) {
                try {
                    const auto bytes = received.get();
                    const std::string body(bytes.begin(), bytes.end());
                    answer(request, json_type, [&] { return handlers_.rpc(body); });
                }
                catch (const std::exception&) {
                    // The sender closed the connection before the body was complete.
                    ++refused_;
                }
            });
    }

    template<class Handler>
    void answer(const http_request& request, const char* type, const Handler& handler)
    {
        const auto running = running_.enter();
        try {
            reply(request, status_codes::OK, handler(), type);
        }
        catch (const std::exception& e) {
            log_event("control_handler_failed")
                .add("path", request.relative_uri().path())
                .add("why", e.what())
                .error();
            reply(request, status_codes::InternalError, "", text_type);
        }
    }

    void refuse(const http_request& request, web::http::status_code status)
    {
        ++refused_;
        reply(request, status, "", text_type);
    }

    static void reply(const http_request& request, web::http::status_code status,
                      const std::string& body, const char* type)
    {
        request.reply(status, body, type).then([](const pplx::task<void>& sent) {
            try {
                sent.get();
            }
            catch (const std::exception&) {
                // The peer is gone; it learns nothing more from this answer.
                return;
            }
        });
    }

    control_server_options options_;
    control_handlers handlers_;
    http_listener listener_;
    running_requests running_;
    std::uint16_t port_ = 0;
    std::atomic<std::uint64_t> refused_ = 0;
};

control_server::control_server(control_server_options options, control_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handlers)))
{
}

control_server::~control_server() = default;

std::uint16_t control_server::port() const noexcept
{
    return impl_->port();
}

std::uint64_t control_server::refused() const noexcept
{
    return impl_->refused();
}

} // namespace trefoil
