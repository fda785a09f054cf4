#pragma once

#include "dispatch/traffic_config.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Look-up of the routes of one configuration version. Immutable.
class route_table {
public:
    explicit route_table(traffic_config config);

    /// The route of the host with the longest prefix of the path; null if there is none. A query
    /// in `target` is ignored.
    const route* find(std::string_view host, std::string_view target) const;

    const traffic_config& config() const noexcept { return config_; }

private:
    traffic_config config_;
    /// Routes by lower-case host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

} // namespace trefoil
