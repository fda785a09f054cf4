#pragma once

#include "base/error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace trefoil {

/// Thrown when the control port cannot be opened.
class control_port_unavailable : public error {
public:
    control_port_unavailable(const std::string& address, std::uint16_t port,
                             const std::string& detail);
};

/// What the control port answers with. Handlers run on the port's threads, two at once. An
/// exception from a handler becomes status 500.
struct control_handlers {
    /// `POST /rpc`: body of the request, returns the body of the answer (see rpc_server::handle).
    std::function<std::string(const std::string& body)> rpc = {};
    /// `GET /metrics`: text form.
    std::function<std::string()> metrics = {};
    /// `GET /status`: JSON.
    std::function<std::string()> status = {};
    /// `GET /audit?after=N`: JSON of the entries with a higher number than N (default 0).
    std::function<std::string(std::uint64_t after)> audit = {};
};

struct control_server_options {
    std::string address = "127.0.0.1";
    /// 0: a free port is chosen.
    std::uint16_t port = 0;
    /// Largest body of a request in bytes; larger ones get status 413.
    std::size_t largest_request = std::size_t{256} * 1024;
};

/// The node's control port, open from construction to destruction. The destructor waits for the
/// handlers that are running, and up to a second for their answers to be written.
class control_server {
public:
    /// Throws control_port_unavailable.
    control_server(const control_server_options& options, control_handlers handlers);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    std::uint16_t port() const noexcept;
    /// Requests refused before they reached a handler (path, method, size or form).
    std::uint64_t refused() const noexcept;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
