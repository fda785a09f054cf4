#pragma once

#include "dispatch/traffic_config.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace trefoil {

/// Route lookup for one configuration version. Immutable.
class route_table {
public:
    explicit route_table(traffic_config config);

    /// Finds the route of `host` with the longest prefix of the path in `target`; null if there is
    /// none. The case and the port of the host and the query in `target` are ignored.
    const route* find(std::string_view host, std::string_view target) const;

    /// The configuration that the table was built from.
    const traffic_config& config() const noexcept { return config_; }

private:
    traffic_config config_;
    /// Routes by lower-case host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

} // namespace trefoil
