#pragma once

#include "answer_limits.h"
#include "byte_stream.h"
#include "deadline_queue.h"
#include "relay_call.h"

#include "dispatch/byte_account.h"
#include "dispatch/call_outcome.h"
#include "relay/header_dialect.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// A request to the local target.
struct upstream_request {
    std::string id;
    std::string method;
    std::string target;
    std::string host;
    std::string headers;
    shared_bytes body;
    std::string target_id;
    std::string caller_service;
    bool idempotent = false;
    mono_time deadline;
    /// The target rejected the request before. A copy of that answer could arrive on the connection
    /// that it was sent on, so a new one is opened.
    bool was_rejected = false;
    /// Max answer size in bytes that the caller's node accepts; 0 for no limit of its own.
    std::size_t answer_limit = 0;
};

/// Result of one request to the local target.
struct upstream_result {
    call_outcome outcome = call_outcome::no_response;
    relay_answer answer;
    /// The target rejected the request with status 421 because it has another id.
    bool is_misdirected = false;
    /// The target closed the connection before its answer was complete.
    bool is_closed_early = false;
    /// The answer did not arrive by the deadline.
    bool is_timed_out = false;
};

/// Sends requests to the local target over persistent connections, one request at a time on each.
/// Each request is written once at most. It is reported as unreachable only if the target accepted
/// no connection.
class upstream_client {
public:
    using result_handler = std::function<void(upstream_result)>;

    upstream_client(asio::io_context& context, std::shared_ptr<connection_resources> resources,
                    deadline_queue& deadlines, tcp::endpoint target, const header_dialect& names,
                    answer_limits limits);

    /// Passes each exchange that has read part of its answer to the function, with its bytes.
    template<class Function>
    void for_each_partial(Function function) const
    {
        for (const auto& [number, exchange] : holders_) {
            function(*exchange, held_.bytes_of(number));
        }
    }

    /// Starts a request; `done` runs once unless it is cancelled. Returns a handle for `cancel`.
    std::shared_ptr<class upstream_exchange> start(const upstream_request& request,
                                                   result_handler done);

    /// Ends an exchange by closing its connection; `done` does not run.
    static void cancel(const std::shared_ptr<class upstream_exchange>& exchange);

private:
    friend class upstream_exchange;

    struct idle_connection {
        std::shared_ptr<byte_stream> stream;
        mono_time since;
        mono_time usable_until;

        ~idle_connection();
        idle_connection(std::shared_ptr<byte_stream> s, mono_time now, mono_time until)
            : stream(std::move(s)), since(now), usable_until(until)
        {
        }
        idle_connection(idle_connection&&) = default;
        idle_connection& operator=(idle_connection&&) = default;
        idle_connection(const idle_connection&) = delete;
        idle_connection& operator=(const idle_connection&) = delete;
    };

    std::shared_ptr<byte_stream> take_idle(bool idempotent);
    /// Stores how many bytes of its answer an exchange buffers. Aborts the largest ones while the
    /// total exceeds its limit.
    void record_buffered_bytes(class upstream_exchange& exchange, std::size_t bytes);
    /// Adds a connection to the idle ones; it may be reused for this long.
    void keep(std::shared_ptr<byte_stream> stream, std::chrono::milliseconds usable);

    asio::io_context& context_;
    std::shared_ptr<connection_resources> resources_;
    deadline_queue& deadlines_;
    tcp::endpoint target_;
    const header_dialect& names_;
    std::vector<idle_connection> idle_;
    answer_limits limits_;
    byte_account held_;
    /// Exchanges that buffer part of an answer, by their number in `held_`.
    std::unordered_map<byte_account::holder, class upstream_exchange*> holders_;
    byte_account::holder last_number_ = 0;
};

} // namespace trefoil
