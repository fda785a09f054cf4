#pragma once

#include "call.h"

#include "routing/flow_table.h"

#include <mutex>
#include <string>
#include <string_view>

namespace trefoil {

/// Admit fractions of called services, and their encoding in the header `trefoil-admit`.
/// Thread-safe.
class flow_fractions {
public:
    /// Records the fractions that an answer of `service` reports for itself and for the services it
    /// reaches. A service that the header omits has the fraction 1.
    void record(const call& c, const service_name& service, std::string_view header);

    /// Min fraction over the whole path of the call's kind.
    double min_on_path(const call& c) const;

    /// Header value for an answer of `own`: its own fraction, and those below 1 of the services
    /// that it reaches.
    std::string header_for(const call& c, const service_name& own, double own_fraction) const;

    /// Removes the fractions that have expired.
    void expire();

private:
    mutable std::mutex mutex_;
    flow_table table_;
};

} // namespace trefoil
