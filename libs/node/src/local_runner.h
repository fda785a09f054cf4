#pragma once

#include "admission_gate.h"
#include "call.h"
#include "change_log.h"

#include "call_io/connection_pool.h"
#include "node/settings.h"
#include "once/once_guard.h"
#include "quarantine/crash_suspects.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace trefoil {

/// Runs calls on this node's upstream: once-only checks, quarantine, admission and hand-off.
class local_runner {
public:
    local_runner(const settings& s, const std::vector<asio::io_context*>& contexts,
                 admission_gate& gate, once_guard& once, crash_suspects& suspects, change_log& log);

    /// Serves a call; returns the upstream's answer or a refusal.
    asio::awaitable<call_response> run(call& c);

    /// Sets the function that is called after a crash of the upstream, so that peers are notified
    /// of the suspect requests immediately.
    void on_crash(std::function<void()> notify) { notify_crash_ = std::move(notify); }

    /// Makes the runner refuse all further calls.
    void start_draining() noexcept { draining_ = true; }
    bool draining() const noexcept { return draining_; }
    /// False after a refused connection or a crash of the upstream, until it answers again.
    bool upstream_is_up() const noexcept { return upstream_up_; }

private:
    asio::awaitable<call_response> run_admitted(call& c, admission_ticket ticket);
    asio::awaitable<call_response> hand_off(call& c, admission_ticket ticket, wall_time expires_at);
    /// Runs the call without any control, for `control = false`.
    asio::awaitable<call_response> pass_through(call& c);
    asio::awaitable<exchange_result> exchange(call& c, wall_time expires_at);

    /// Refusal of a call that was not handed off.
    call_response refuse(const call& c, refusal_reason reason,
                         std::chrono::milliseconds retry_after);
    call_response answer_not_started(call& c, refusal_reason reason,
                                     std::chrono::milliseconds retry_after);
    call_response answer_unknown(call& c, refusal_reason reason);
    call_response answer_complete(call& c, call_response response);
    call_response answer_result(call& c, exchange_result result);
    void record_upstream_state(bool up);
    content_fingerprint fingerprint(const call& c) const;

    const settings& settings_;
    tcp::endpoint upstream_;
    admission_gate& gate_;
    once_guard& once_;
    crash_suspects& suspects_;
    change_log& log_;
    std::vector<std::unique_ptr<connection_pool>> pools_;
    std::function<void()> notify_crash_;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> upstream_up_ = true;
};

} // namespace trefoil
