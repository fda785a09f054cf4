#pragma once

#include "objects/object_set.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace trefoil::experiment {

/// One target of a service and its upstream.
struct service_model {
    service_name name;
    /// Slots as configured; the real ones may differ by a factor.
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
    /// Service whose work is the unit of goodput: the one that is exhausted first.
    std::size_t bottleneck = 0;
    /// Kind that floods as the least urgent, and as the most urgent.
    std::size_t browsing_kind = 0;
    std::size_t urgent_kind = 0;

    /// Mean work of the kind at the bottleneck; 0 if it does not pass it.
    std::chrono::microseconds bottleneck_work(std::size_t kind) const;
    /// Most requests per second of this kind that its scarcest service could serve alone.
    double kind_capacity(std::size_t kind) const;
    object_set objects() const;
};

/// One target of 40 slots that serves every kind.
topology one_target();

/// Orders, booking and dye house with the slots of the design page, section 1.3.
topology three_services();

} // namespace trefoil::experiment
