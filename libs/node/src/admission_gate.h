#pragma once

#include "admission/admission_controller.h"
#include "admission/default_limit.h"
#include "call_io/asio.h"
#include "call_io/cancel_token.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Result of a request for a slot of the upstream: the ticket of the slot, or why it was refused.
struct admission_outcome {
    bool admitted = false;
    admission_ticket ticket;
    refusal_reason reason = refusal_reason::none;
    std::chrono::milliseconds retry_after{0};
};

/// Connects coroutines of several threads to the node's admission controller, which is not
/// thread-safe. Thread-safe.
class admission_gate {
public:
    /// `contexts` are those of the call threads; the first also runs the controller's timer.
    explicit admission_gate(std::vector<asio::io_context*> contexts);

    /// Replaces the admission policy. Queued work that the new policy does not define is refused.
    void set_policy(const admission_policy& policy, mono_time now);

    /// Waits for a slot. Returns as soon as the controller refuses the work or the caller cancels.
    /// The names are looked up in the current policy, which may be newer than that of the call.
    asio::awaitable<admission_outcome> enter(work_item item, kind_name kind, group_name group,
                                             std::size_t shard,
                                             std::shared_ptr<cancel_token> cancel);

    /// Releases the slot and reports how the work ended.
    void leave(admission_ticket ticket, const completion& c);

    /// Releases a slot whose work was never handed off.
    void abandon(admission_ticket ticket);

    /// Records that the upstream has just started, so that its limit ramps up.
    void set_cold();

    /// Fraction of the flow that is currently admitted; 1 if the policy does not define it.
    double admit_fraction(const kind_name& kind, const group_name& group) const;
    admission_snapshot snapshot() const;

private:
    struct waiter {
        waiter(asio::io_context& context) : decided(context), resume_context(context) {}

        asio::steady_timer decided;
        asio::io_context& resume_context;
        bool is_decided = false;
        admission_outcome result;
    };

    /// Resumes the waiters that `changes` concern. The caller holds mutex_.
    void apply(const admission_changes& changes);
    void decide(const admission_outcome& result);
    void schedule_wakeup();
    void on_wakeup();

    std::vector<asio::io_context*> contexts_;
    asio::steady_timer wakeup_;
    mutable std::mutex mutex_;
    std::unique_ptr<admission_controller<default_limit>> controller_;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    mono_time wakeup_at_ = mono_time::max();
};

} // namespace trefoil
