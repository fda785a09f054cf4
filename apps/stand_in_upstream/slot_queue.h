#pragma once

#include "call_io/asio.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

/// Work slots of the upstream with a first-in, first-out queue. Used on one thread.
class slot_queue {
public:
    slot_queue(trefoil::asio::io_context& context, std::uint32_t slots);

    /// Waits for a slot.
    trefoil::asio::awaitable<void> acquire();
    void release();

    std::uint32_t in_use() const noexcept { return in_use_; }
    std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    trefoil::asio::io_context& context_;
    std::uint32_t slots_;
    std::uint32_t in_use_ = 0;
    std::deque<std::shared_ptr<trefoil::asio::steady_timer>> waiting_;
};

/// Holds one slot and gives it back.
class slot_guard {
public:
    explicit slot_guard(slot_queue& queue) : queue_(queue) {}
    ~slot_guard() { queue_.release(); }
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;

private:
    slot_queue& queue_;
};
