#pragma once

#include "base/time.h"
#include "spread/published_version.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace trefoil {

/// Decides when this node should request published state from a peer that has a newer version.
///
/// Failure pattern: the store answers again after an outage, but the open watch of this node gets
/// no answer; or the store rejects calls of this node and serves others; or the push of a change
/// did not reach this node.
class state_lag {
public:
    /// Compares the version `theirs` of a peer with `own` of this node. Returns true if the peer
    /// is to be asked now. `wait_limit` is the time within which a change may still arrive without
    /// a request, and the minimum time between two requests.
    bool observe(const published_version& theirs, const published_version& own,
                 std::chrono::milliseconds wait_limit, mono_time now)
    {
        // Keep the newest version: a peer that is also behind does not mean that this node has
        // caught up.
        newest_ = std::max(newest_, theirs);
        if (newest_ <= own) {
            behind_since_.reset();
            return false;
        }
        if (theirs <= own) {
            return false;
        }
        if (!behind_since_) {
            behind_since_ = now;
        }
        if (now - *behind_since_ < wait_limit) {
            return false;
        }
        behind_since_ = now;
        return true;
    }

private:
    published_version newest_;
    std::optional<mono_time> behind_since_;
};

} // namespace trefoil
