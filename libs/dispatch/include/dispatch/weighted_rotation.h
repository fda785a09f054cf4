#pragma once

#include "dispatch/route.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Divides the requests of each route among its services by smooth weighted round robin, so that
/// the shares are kept over short spans too.
class weighted_rotation {
public:
    /// The service of the next request of `r`; the route must have at least one share.
    const service_name& next(const route& r);

    /// Forgets all positions, after a configuration change.
    void clear() { credits_.clear(); }

private:
    std::unordered_map<std::string, std::vector<double>> credits_;
};

} // namespace trefoil
