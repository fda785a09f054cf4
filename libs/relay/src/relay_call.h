#pragma once

#include "shared_bytes.h"

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace trefoil {

/// A parsed request of a caller, ready to be forwarded.
struct relay_request {
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    /// End-to-end headers as lines, without host, id and those that nodes set.
    std::string headers;
    shared_bytes body;
    mono_time arrived;
    /// Time that the caller waits for the answer, from its header; 0 if it named none.
    std::chrono::milliseconds caller_timeout{0};
};

/// Answers with a status from here on are failures.
inline constexpr unsigned first_failure_status = 400;

/// An answer to a caller.
struct relay_answer {
    unsigned status = 503;
    /// End-to-end headers as lines.
    std::string headers;
    shared_bytes body;
    /// Content-Length of the answer to a HEAD request, which has no body.
    std::string omitted_length;
};

/// Retry delay sent for a request that does not fit into the memory limit. The bodies that use the
/// memory are read completely or abandoned within their callers' timeouts, which are seconds.
inline constexpr std::chrono::milliseconds memory_retry_delay{1000};

/// Builds the 503 answer with Retry-After to a request that has not run and will not run.
relay_answer not_run_answer(std::chrono::milliseconds retry_after);

} // namespace trefoil
