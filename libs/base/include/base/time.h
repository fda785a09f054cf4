#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Monotonic clock that also advances while the VM is suspended (CLOCK_BOOTTIME). All deadlines and
/// leases use it. Its time points are meaningless to other nodes and are never sent to them.
struct boot_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Current time. Does not fail on Linux.
    static time_point now() noexcept;
};

/// Point in time on the monotonic clock.
using mono_time = boot_clock::time_point;

/// Current time of boot_clock in milliseconds, used as the timestamp of messages. Only timestamps
/// of the same process can be compared.
std::uint64_t mono_stamp() noexcept;

/// Wall-clock time in milliseconds since the Unix epoch, as encoded in request ids.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Current wall-clock time, truncated to milliseconds.
wall_time wall_now() noexcept;

} // namespace trefoil
