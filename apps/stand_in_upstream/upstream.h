#pragma once

#include "run_record.h"
#include "slot_queue.h"
#include "upstream_options.h"

#include "call_io/cancel_token.h"
#include "call_io/connection_pool.h"

#include <chrono>
#include <memory>
#include <optional>
#include <random>

/// Stand-in for a service's upstream: slots, service time, cold start, shedding, drain,
/// cancellation, deadlines, a load endpoint that can be told to lie, a crash on a marked request,
/// and requests that are never answered. Runs on one thread.
///
/// The body of a request is the id of the root request; a body that contains `crash` ends the
/// process. The answer's body is `service[child answer or root id]`, so that a caller can check
/// that the whole chain answered its own request.
class upstream {
public:
    upstream(trefoil::asio::io_context& context, upstream_options options);

    trefoil::asio::awaitable<trefoil::call_response>
    handle(trefoil::call_request request, std::shared_ptr<trefoil::cancel_token> cancel);

    /// Work in progress and waiting.
    std::size_t active() const noexcept { return active_; }
    void drain() noexcept { draining_ = true; }

private:
    using steady_clock = std::chrono::steady_clock;

    trefoil::call_response handle_control(const trefoil::call_request& request);
    trefoil::asio::awaitable<trefoil::call_response>
    work(const trefoil::call_request& request, std::shared_ptr<trefoil::cancel_token> cancel);
    trefoil::asio::awaitable<trefoil::call_response>
    call_onward(const trefoil::call_request& request, const std::string& service,
                steady_clock::time_point deadline, trefoil::cancel_token& cancel);
    trefoil::asio::awaitable<void> hang(trefoil::cancel_token& cancel);
    std::chrono::microseconds draw_service_time();

    trefoil::asio::io_context& context_;
    upstream_options options_;
    slot_queue slots_;
    trefoil::connection_pool pool_;
    run_record record_;
    std::mt19937_64 random_;
    steady_clock::time_point started_ = steady_clock::now();
    double slowdown_ = 1.0;
    std::optional<double> reported_load_;
    std::uint32_t silent_requests_ = 0;
    std::size_t active_ = 0;
    bool draining_ = false;
};
