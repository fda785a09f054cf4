#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// Estimates how long messages of one connection were delayed in transit, without synchronized
/// clocks.
///
/// Failure pattern: a link or a process stalls for seconds, and the messages sent in this time
/// arrive in one burst after their callers have disconnected. The message with the smallest
/// difference between receive and send time gives the offset of the two clocks. The excess over
/// this difference is the delay of a message, by which the remaining wait time of its caller is
/// shorter.
class transit_delay {
public:
    /// Records a message and returns its delay. Both times are in milliseconds, each by the clock
    /// of its side. The first message is assumed not to be delayed.
    std::chrono::milliseconds observe(std::uint64_t sent_ms, std::uint64_t received_ms)
    {
        const auto difference = static_cast<std::int64_t>(received_ms - sent_ms);
        if (!min_difference_ || difference < *min_difference_) {
            min_difference_ = difference;
        }
        return std::chrono::milliseconds(difference - *min_difference_);
    }

private:
    std::optional<std::int64_t> min_difference_;
};

} // namespace trefoil
