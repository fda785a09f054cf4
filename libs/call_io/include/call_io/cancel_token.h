#pragma once

#include <functional>
#include <utility>

namespace trefoil {

/// Forwards the cancellation of a request to the operation in progress. Not thread-safe: all calls
/// must be made on the same thread.
class cancel_token {
public:
    bool cancelled() const noexcept { return cancelled_; }

    /// Runs the current action, if there is one. Actions set later run immediately.
    void cancel()
    {
        cancelled_ = true;
        if (auto action = std::exchange(action_, nullptr)) {
            action();
        }
    }

    /// Sets the action that cancels the operation in progress; an empty function clears it.
    void on_cancel(std::function<void()> action)
    {
        action_ = std::move(action);
        if (cancelled_ && action_) {
            cancel();
        }
    }

private:
    bool cancelled_ = false;
    std::function<void()> action_;
};

} // namespace trefoil
