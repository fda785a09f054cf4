#pragma once

#include <chrono>
#include <cstdint>
#include <unordered_map>

namespace trefoil {

/// Tuning of first_hop_gate.
struct first_hop_gate_options {
    /// Time to return for a caller that is turned away at a level near 1. Queues of the services
    /// below empty in less.
    std::chrono::milliseconds least_return{300};
    /// Added as the level goes to 0.
    std::chrono::milliseconds return_range{1200};
    /// Part of the time by which returns are spread in each direction.
    double spread = 0.4;
};

/// What the gate decided about one request.
struct gate_decision {
    bool admitted = true;
    /// When the caller may come back; only if not admitted.
    std::chrono::milliseconds retry_after{0};
};

/// Decides at the node where a request enters the call graph whether it may begin.
///
/// Load pattern: one request at the top becomes many calls at the deepest service, and one of them
/// refused wastes the work of all others. Requests are turned away here, before any work, by the
/// level of the scarcest service that they reach. At a share of one tenth every tenth request of a
/// route is admitted: admission at random would add bursts to those of the callers. Returns are
/// spread so that the callers of a burst do not come back as one.
class first_hop_gate {
public:
    explicit first_hop_gate(first_hop_gate_options options = {}) : options_(options) {}

    /// `level` is the smallest admit level of the services that requests of the route reach,
    /// `random` a uniformly distributed number.
    gate_decision decide(std::uint32_t route, double level, std::uint32_t rank,
                         std::uint64_t random);

    /// Time to return for a request that waited or was sent around in vain.
    std::chrono::milliseconds return_time(double level, std::uint64_t random) const;

private:
    first_hop_gate_options options_;
    /// By route: shares of its requests so far, less the number admitted.
    std::unordered_map<std::uint32_t, double> credits_;
};

} // namespace trefoil
