#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// Tells when this node should ask a peer for published state, because the peer knows newer.
///
/// Failure pattern: the store answers again after an outage, but the watch of this node stays
/// without an answer, or the store turns this node away and serves the others, or the push of a
/// change missed this node.
class state_lag {
public:
    /// A peer knows `theirs`, this node `own`. True if the peer is to be asked now. `patience` is
    /// the time that a change gets to arrive by itself, and the time between two questions.
    bool observe(std::uint64_t theirs, std::uint64_t own, std::chrono::milliseconds patience,
                 mono_time now)
    {
        // Peers that are behind as well say nothing about those that are ahead.
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
        if (now - *behind_since_ < patience) {
            return false;
        }
        behind_since_ = now;
        return true;
    }

private:
    std::uint64_t newest_ = 0;
    std::optional<mono_time> behind_since_;
};

} // namespace trefoil
