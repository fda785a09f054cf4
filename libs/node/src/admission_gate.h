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

/// A slot of the upstream, or the reason why there is none.
struct admission_outcome {
    bool admitted = false;
    admission_ticket ticket;
    refusal_reason reason = refusal_reason::none;
    std::chrono::milliseconds retry_after{0};
};

/// Lets coroutines of several threads wait for the one admission controller of the node.
class admission_gate {
public:
    /// `contexts` are the call threads' contexts; the first also runs the wake-ups.
    explicit admission_gate(std::vector<asio::io_context*> contexts);

    /// Puts a policy in force. Work that it no longer knows is refused.
    void set_policy(const admission_policy& policy, mono_time now);

    /// Waits for a slot. Ends at once when the controller refuses or the caller cancels. The names
    /// are looked up in the policy in force, which may be newer than that of the call.
    asio::awaitable<admission_outcome> enter(work_item item, kind_name kind, group_name group,
                                             std::size_t shard,
                                             std::shared_ptr<cancel_token> cancel);

    /// Gives the slot back.
    void leave(admission_ticket ticket, const completion& c);

    /// Gives back a slot whose work was never handed off.
    void abandon(admission_ticket ticket);

    /// The upstream just started; its limit ramps up.
    void set_cold();

    /// Share of the flow that is admitted now; 1 if the policy does not know it.
    double admit_fraction(const kind_name& kind, const group_name& group) const;
    admission_snapshot snapshot() const;

private:
    struct waiter {
        waiter(asio::io_context& context) : decided(context), home(context) {}

        asio::steady_timer decided;
        asio::io_context& home;
        bool is_decided = false;
        admission_outcome result;
    };

    /// Caller holds mutex_.
    void apply(const admission_changes& changes);
    void decide(const admission_outcome& result);
    void arm_wakeup();
    void wake_up();

    std::vector<asio::io_context*> contexts_;
    asio::steady_timer wakeup_;
    mutable std::mutex mutex_;
    std::unique_ptr<admission_controller<default_limit>> controller_;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
    mono_time armed_for_ = mono_time::max();
};

} // namespace trefoil
