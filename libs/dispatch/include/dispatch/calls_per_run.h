#pragma once

#include <cstdint>
#include <unordered_map>

namespace trefoil {

/// The number of calls that the node's own target makes while it runs a request, learned by route
/// from the requests that it answered successfully.
class calls_per_run {
public:
    /// Records that a request of the route ended successfully after this number of calls.
    void record(std::uint32_t route, std::uint32_t calls);

    /// Smoothed number of calls of a request of the route; 0 if none has ended yet.
    double usual(std::uint32_t route) const;

private:
    std::unordered_map<std::uint32_t, double> usual_;
};

} // namespace trefoil
