#pragma once

#include "dispatch/route.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Distributes the requests of each route among its services by smooth weighted round robin, so
/// that the weights also hold over short sequences of requests.
class weighted_rotation {
public:
    /// Selects the service for the next request of `r`. The route must have at least one share.
    const service_name& next(const route& r);

    /// Resets the state of all routes, after a configuration change.
    void clear() { credits_.clear(); }

private:
    std::unordered_map<std::string, std::vector<double>> credits_;
};

} // namespace trefoil
