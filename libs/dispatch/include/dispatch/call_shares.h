#pragma once

#include <cstdint>
#include <unordered_map>

namespace trefoil {

/// The share of the calls of the node's own target that succeed, retries included, by called route.
class call_shares {
public:
    /// Records the final result of a call.
    void record(std::uint32_t route, bool succeeded);

    /// Smoothed share of the calls to the route that succeed; 1 if none has ended yet.
    double succeeding(std::uint32_t route) const;

private:
    std::unordered_map<std::uint32_t, double> shares_;
};

} // namespace trefoil
