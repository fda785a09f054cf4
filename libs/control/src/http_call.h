#pragma once

#include "base/error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoil {

/// The connection failed or was lost, or the complete response did not arrive in time.
class http_call_failed : public error {
public:
    explicit http_call_failed(const std::string& detail) : error(detail) {}
};

/// The response exceeds the maximum size or has no Content-Length.
class http_response_too_large : public error {
public:
    http_response_too_large() : error("response exceeds the maximum size or has no Content-Length")
    {
    }
};

/// An HTTP call with its limits.
struct http_call {
    std::string address;
    std::uint16_t port = 0;
    /// Path and query.
    std::string path;
    /// JSON text to send as a POST. If empty, the call is a GET.
    std::string body;
    /// Time limit for the whole call: connecting, sending and receiving.
    std::chrono::milliseconds timeout{1000};
    /// Maximum size of the response body in bytes.
    std::size_t max_response_bytes = 0;
};

/// The parts of a response that the clients use.
struct http_response {
    std::uint16_t status = 0;
    /// Value of the header `version`; empty if absent.
    std::string version;
    /// Empty unless the status is 200.
    std::string body;
};

/// Makes one call on a new connection and blocks until it has ended. A connection is never reused,
/// because cpprestsdk repeats a POST when a reused connection turns out to be closed. Throws
/// http_call_failed or http_response_too_large.
http_response make_http_call(const http_call& call);

} // namespace trefoil
