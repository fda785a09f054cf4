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

/// Handlers for the paths of the control port. They run on the two threads of the control server,
/// so up to two run concurrently. An exception from a handler results in status 500.
struct control_handlers {
    /// `POST /rpc`: takes the body of the request and returns the body of the response (see
    /// rpc_server::handle).
    std::function<std::string(const std::string& body)> rpc = {};
    /// `GET /metrics`: returns the metrics in the Prometheus text format.
    std::function<std::string()> metrics = {};
    /// `GET /status`: returns JSON.
    std::function<std::string()> status = {};
    /// `GET /audit?after=N`: returns, as JSON, the audit entries with a number above N. N defaults
    /// to 0.
    std::function<std::string(std::uint64_t after)> audit = {};
};

struct control_server_options {
    std::string address = "127.0.0.1";
    /// 0 selects a free port.
    std::uint16_t port = 0;
    /// Maximum size of a request body in bytes. Larger requests get status 413.
    std::size_t max_request_bytes = std::size_t{256} * 1024;
};

/// HTTP server on the node's control port. Listens from construction to destruction. The destructor
/// waits for running handlers to return, and up to 1 s for their responses to be sent.
class control_server {
public:
    /// Throws control_port_unavailable if the port cannot be opened.
    control_server(const control_server_options& options, control_handlers handlers);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    std::uint16_t port() const noexcept;
    /// Number of requests rejected before they reached a handler, because of their path, method,
    /// size or syntax.
    std::uint64_t rejected() const noexcept;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
