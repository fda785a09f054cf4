#pragma once

#include <functional>
#include <utility>

namespace trefoil {

/// Carries a caller's cancellation to the operation in progress. Used on one thread only.
class cancel_token {
public:
    bool cancelled() const noexcept { return cancelled_; }

    /// Runs the current action, if any; later actions run as soon as they are set.
    void cancel()
    {
        cancelled_ = true;
        if (auto action = std::exchange(action_, nullptr)) {
            action();
        }
    }

    /// Sets what cancels the operation in progress; an empty function clears it.
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
