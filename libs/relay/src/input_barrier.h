#pragma once

#include "call_io/asio.h"

#include <cstdint>
#include <functional>

namespace trefoil {

/// Runs an action after the event loop has processed the input that was there when it was
/// requested, and one turn without further requests. Work that starts in the action is thus not
/// started if its cancellation has already arrived, for example while the process was paused.
class input_barrier {
public:
    input_barrier(asio::io_context& context, std::function<void()> action);

    /// Requests a run of the action. It is postponed while further requests come in, for a limited
    /// number of turns of the event loop.
    void request();

private:
    void run_after(std::uint64_t known_requests, unsigned turns);

    asio::io_context& context_;
    std::function<void()> action_;
    std::uint64_t requests_ = 0;
    bool is_pending_ = false;
};

} // namespace trefoil
