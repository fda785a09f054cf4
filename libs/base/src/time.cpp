#include "base/time.h"

#include <ctime>

namespace trefoil {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

std::uint64_t mono_stamp() noexcept
{
    return static_cast<std::uint64_t>(boot_clock::now().time_since_epoch() /
                                      std::chrono::milliseconds(1));
}

wall_time wall_now() noexcept
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace trefoil
