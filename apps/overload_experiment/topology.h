#pragma once

#include "objects/object_set.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace trefoil::experiment {

/// A service, which has one target with one upstream.
struct service_model {
    service_name name;
    /// Configured slots; a scenario may give the bottleneck a different number of real slots.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
};

/// A kind of request: its path through the services and the mean work at each of them.
struct kind_model {
    kind_name name;
    rank_name rank;
    std::vector<std::size_t> path;
    std::vector<std::chrono::microseconds> work;
    /// Requests per second at a demand of 1x.
    double rate = 0.0;
};

/// Services, kinds and groups of one experiment.
struct topology {
    std::string name;
    std::vector<service_model> services;
    std::vector<kind_model> kinds;
    /// Service that saturates first; goodput is measured in its work.
    std::size_t bottleneck = 0;
    /// Kinds that flood in the scenarios `browsing-flood` and `urgent-flood`.
    std::size_t browsing_kind = 0;
    std::size_t urgent_kind = 0;

    /// Mean work of the kind at the bottleneck; 0 if its path does not include the bottleneck.
    std::chrono::microseconds bottleneck_work(std::size_t kind) const;
    /// Maximum rate of this kind, in requests per second, that its most constrained service can
    /// serve if it serves no other kind.
    double kind_capacity(std::size_t kind) const;
    /// Configuration objects for the admission controllers.
    object_set objects() const;
};

/// One target of 40 slots that serves every kind.
topology one_target();

/// Services for orders, booking and dyeing, with the slots of the design page, section 1.3.
topology three_services();

} // namespace trefoil::experiment
