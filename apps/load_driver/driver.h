#pragma once

#include "tally.h"
#include "workload.h"

#include "call_io/connection_pool.h"

#include <chrono>
#include <random>
#include <string>

/// Sends the requests of a workload at its rates, whatever the answers are (open loop), and counts
/// how each ended. Runs on one thread.
class driver {
public:
    driver(trefoil::asio::io_context& context, workload load);

    /// Starts the run; the context runs out of work when all requests have ended.
    void start();

    /// Afterwards, with the context run again: reads what the upstreams ran and counts once-only
    /// work that ran more than once.
    void check_records();

    /// Instead of start: sends every flow through every entry until each was served once.
    void start_readiness_check();
    bool ready() const noexcept { return waiting_ == 0; }

    const tally& results() const noexcept { return tally_; }

private:
    using steady_clock = std::chrono::steady_clock;

    trefoil::asio::awaitable<void> generate(flow f);
    trefoil::asio::awaitable<void> run_hooks();
    trefoil::asio::awaitable<std::string> get(trefoil::tcp::endpoint peer, std::string path);
    trefoil::asio::awaitable<void> compare_records();
    trefoil::asio::awaitable<void> send_request(flow f, std::string phase);
    trefoil::asio::awaitable<trefoil::exchange_result>
    send_once(const flow& f, const std::string& id, std::uint32_t attempt,
              steady_clock::time_point deadline, trefoil::tcp::endpoint entry);
    trefoil::asio::awaitable<void> wait_until_served(flow f, trefoil::tcp::endpoint entry);
    verdict judge(const flow& f, const std::string& id, const trefoil::exchange_result& result,
                  std::string& reason) const;
    const phase* phase_at(steady_clock::time_point when) const;

    trefoil::asio::io_context& context_;
    workload load_;
    trefoil::connection_pool pool_;
    std::mt19937_64 random_;
    steady_clock::time_point start_;
    tally tally_;
    std::size_t waiting_ = 0;
};
