#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace trefoil {

/// How long messages of one connection were held up on the way, without a common clock.
///
/// Failure pattern: a link or a process stands still for seconds, and what was sent meanwhile
/// arrives in one burst after its callers have left. The quickest message so far shows the
/// difference of the two clocks; what later ones take longer is delay, and no longer time that the
/// caller waits.
class transit_delay {
public:
    /// Delay of a message with the sender's time stamp. The first message counts as not delayed.
    std::chrono::milliseconds observe(std::uint64_t sent_ms, std::uint64_t received_ms)
    {
        const auto difference = static_cast<std::int64_t>(received_ms - sent_ms);
        if (!least_ || difference < *least_) {
            least_ = difference;
        }
        return std::chrono::milliseconds(difference - *least_);
    }

private:
    std::optional<std::int64_t> least_;
};

} // namespace trefoil
