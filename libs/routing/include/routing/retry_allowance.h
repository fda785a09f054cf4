#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

namespace trefoil {

/// Retries that one inbound request may still cause at this node and below it. The amount is moved
/// between requests and calls, never copied. Thread-safe.
class retry_allowance {
public:
    explicit retry_allowance(std::uint32_t left) noexcept : left_(left) {}

    std::uint32_t left() const noexcept { return left_.load(); }

    /// Takes all that is left; a concurrent call gets none.
    std::uint32_t take_all() noexcept { return left_.exchange(0); }

    /// Hands back what a call did not use.
    void hand_back(std::uint32_t unused) noexcept { left_.fetch_add(unused); }

private:
    std::atomic<std::uint32_t> left_;
};

/// The part of an inbound request's allowance that one outbound call holds, over all its attempts.
/// Destruction hands back the rest, but nothing while an attempt is unanswered: what the target was
/// given may have been used. Not thread-safe; it belongs to the call.
class call_allowance {
public:
    /// Takes all that `inbound` has left. `inbound` may be null, then the call has no retries.
    explicit call_allowance(std::shared_ptr<retry_allowance> inbound) noexcept;
    ~call_allowance();
    call_allowance(call_allowance&& other) noexcept;
    call_allowance& operator=(call_allowance&& other) noexcept;
    call_allowance(const call_allowance&) = delete;
    call_allowance& operator=(const call_allowance&) = delete;

    std::uint32_t left() const noexcept { return left_; }

    /// Marks an attempt as sent and gives the value for its header `trefoil-retries-left`.
    std::uint32_t send() noexcept;

    /// The attempt was never written to a connection, so that nothing of it was spent.
    void not_sent() noexcept;

    /// The attempt was answered; `handed_back` is the answer's `trefoil-retries-left`. More than
    /// was sent counts as what was sent, and an answer without the header hands back nothing.
    void answered(std::uint32_t handed_back) noexcept;

    /// No answer will come: all that was sent counts as spent.
    void lost() noexcept;

    /// Pays for one retry. False, without effect, if nothing is left.
    bool spend_retry() noexcept;

private:
    void release() noexcept;

    std::shared_ptr<retry_allowance> inbound_;
    std::uint32_t left_ = 0;
    bool awaiting_answer_ = false;
};

} // namespace trefoil
