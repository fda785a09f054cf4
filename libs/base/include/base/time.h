#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Point on the clock that only moves forward and includes the time the VM was suspended
/// (CLOCK_BOOTTIME). All deadlines and leases are on this clock; it is never sent to another node.
struct boot_clock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Reads the clock. Does not fail on Linux.
    static time_point now() noexcept;
};

using mono_time = boot_clock::time_point;

/// The clock in milliseconds, as a time stamp for messages. Only differences of stamps of one
/// process have a meaning.
std::uint64_t mono_stamp() noexcept;

/// Wall-clock time in milliseconds since the Unix epoch, as carried by request ids.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Reads the wall clock.
wall_time wall_now() noexcept;

} // namespace trefoil
