#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

namespace trefoil {

/// Number of retries that one inbound request may still cause at this node and at nodes further
/// down its call graph. The amount is moved between requests and calls, never copied. Thread-safe.
class retry_allowance {
public:
    explicit retry_allowance(std::uint32_t left) noexcept : left_(left) {}

    /// Remaining retries.
    std::uint32_t left() const noexcept { return left_.load(); }

    /// Removes and returns all remaining retries. A concurrent call gets none.
    std::uint32_t take_all() noexcept { return left_.exchange(0); }

    /// Adds the retries that a call did not use.
    void return_unused(std::uint32_t unused) noexcept { left_.fetch_add(unused); }

private:
    std::atomic<std::uint32_t> left_;
};

/// The retries of an inbound request that one outbound call holds over all its attempts. The
/// destructor returns the remaining retries to the inbound request, unless an attempt has no
/// response yet: the target may have used the retries sent with it. Not thread-safe; owned by the
/// call.
class call_allowance {
public:
    /// Takes all remaining retries of `inbound`. If `inbound` is null, the call has no retries.
    explicit call_allowance(std::shared_ptr<retry_allowance> inbound) noexcept;
    ~call_allowance();
    call_allowance(call_allowance&& other) noexcept;
    call_allowance& operator=(call_allowance&& other) noexcept;
    call_allowance(const call_allowance&) = delete;
    call_allowance& operator=(const call_allowance&) = delete;

    /// Remaining retries.
    std::uint32_t left() const noexcept { return left_; }

    /// Records that an attempt is being sent, and returns the value of its request header
    /// `trefoil-retries-left`.
    std::uint32_t record_send() noexcept;

    /// Records that the attempt was not written to a connection, so that no retries were used.
    void record_not_sent() noexcept;

    /// Records a response. `returned` is the value of its header `trefoil-retries-left`, or 0
    /// without the header. A value above the amount sent is reduced to that amount.
    void record_response(std::uint32_t returned) noexcept;

    /// Records that no response will be received. All retries sent with the attempt count as used.
    void record_no_response() noexcept;

    /// Deducts one retry. Returns false without effect if none is left.
    bool consume_retry() noexcept;

private:
    void release() noexcept;

    std::shared_ptr<retry_allowance> inbound_;
    std::uint32_t left_ = 0;
    bool awaiting_answer_ = false;
};

} // namespace trefoil
