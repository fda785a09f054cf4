#include "decision_log.h"

#include <algorithm>
#include <chrono>

namespace trefoil {

namespace {

/// Max lines per second; writing one takes about 10 us, so this is half a percent of a core.
constexpr double lines_per_second = 50.0;
constexpr double burst = 100.0;

} // namespace

bool decision_log::begin(mono_time now)
{
    const std::chrono::duration<double> elapsed = now - refilled_;
    refilled_ = now;
    tokens_ = std::min(burst, tokens_ + elapsed.count() * lines_per_second);
    if (tokens_ < 1.0) {
        ++dropped_;
        ++dropped_since_line_;
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

void decision_log::write(log_event line)
{
    if (dropped_since_line_ > 0) {
        line.add("lines_dropped", dropped_since_line_);
        dropped_since_line_ = 0;
    }
    line.info();
}

} // namespace trefoil
