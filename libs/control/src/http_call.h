#pragma once

#include "base/error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace trefoil {

/// No connection, connection lost, or no whole answer in time.
class http_call_failed : public error {
public:
    explicit http_call_failed(const std::string& detail) : error(detail) {}
};

/// The answer exceeds its largest size or does not state its length.
class http_answer_too_large : public error {
public:
    http_answer_too_large() : error("answer exceeds its largest size or states no length") {}
};

struct http_call {
    std::string address;
    std::uint16_t port = 0;
    /// Path with query.
    std::string path;
    /// Empty: GET. Otherwise POST of this JSON text.
    std::string body;
    /// For connecting, sending and receiving together.
    std::chrono::milliseconds timeout{1000};
    std::size_t largest_answer = 0;
};

struct http_answer {
    std::uint16_t status = 0;
    /// Header `version`; empty if absent.
    std::string version;
    /// Empty unless the status is 200.
    std::string body;
};

/// Makes one call over its own connection, so that cpprestsdk never sends a POST again on account
/// of a reused connection. Throws http_call_failed or http_answer_too_large.
http_answer make_http_call(const http_call& call);

} // namespace trefoil
