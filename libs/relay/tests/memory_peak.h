#pragma once

#include <cstddef>
#include <fstream>
#include <limits>
#include <string>

namespace trefoil {

/// Largest resident size of this process since the object was made.
class memory_peak {
public:
    memory_peak() { std::ofstream("/proc/self/clear_refs") << "5"; }

    /// The peak in bytes; the largest value if the system does not tell.
    std::size_t bytes() const
    {
        constexpr std::string_view name = "VmHWM:";
        std::ifstream status("/proc/self/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(name)) {
                return std::stoul(line.substr(name.size())) << 10U;
            }
        }
        return std::numeric_limits<std::size_t>::max();
    }
};

} // namespace trefoil
