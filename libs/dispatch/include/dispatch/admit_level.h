#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// Tuning of an admit_level.
struct admit_level_options {
    /// The level changes once per interval; it takes about as long until a change at the first hop
    /// shows at the deepest service.
    std::chrono::milliseconds interval{100};
    /// Part by which the level falls in an interval with too long a wait.
    double decrease = 0.08;
    /// Added in an interval without.
    double increase = 0.02;
    /// Keeps some requests coming, without which recovery would go unnoticed.
    double floor = 0.05;
    /// Part of the usual run time that a request may wait before the level falls.
    double wait_part = 0.5;
    std::chrono::milliseconds least_wait{10};
    std::chrono::milliseconds most_wait{50};
};

/// The share of new requests that a target can take, in [floor, 1].
///
/// Load pattern: demand stays above the capacity of the deepest service for seconds. Waiting there
/// is the first sign, long before requests fail. A short burst makes some requests wait too, and
/// refusing for it would leave slots idle; so, as in CoDel, the shortest wait of an interval
/// counts, which is long only while there is a standing queue. Nodes compare the level at the first
/// hop, where refusing wastes no work.
class admit_level {
public:
    explicit admit_level(admit_level_options options = {}) : options_(options) {}

    /// Takes in how long the oldest request in the queue has waited, and how long requests usually
    /// run.
    void observe(std::chrono::nanoseconds wait, std::chrono::nanoseconds hold, mono_time now);

    double value() const noexcept { return level_; }

    /// The admitted share of a rank: more urgent ranks keep more of their requests, without any
    /// rank being shut out.
    static double share_of_rank(double level, std::uint32_t rank);

private:
    admit_level_options options_;
    double level_ = 1.0;
    std::optional<std::chrono::nanoseconds> shortest_wait_;
    mono_time interval_start_;
};

} // namespace trefoil
