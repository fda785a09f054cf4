#pragma once

#include "call.h"

#include "routing/flow_table.h"

#include <mutex>
#include <string>
#include <string_view>

namespace trefoil {

/// The admit fractions of called services under a lock, with the text form of `trefoil-admit`.
class flow_fractions {
public:
    /// Takes over what an answer of `service` says about itself and the services it reaches. A
    /// service that the header leaves out admits everything.
    void record(const call& c, const service_name& service, std::string_view header);

    /// Smallest fraction over the whole path of the call's kind.
    double smallest_on_path(const call& c) const;

    /// Text for an answer of `own`: its own fraction and those of deeper services that are below 1.
    std::string header_for(const call& c, const service_name& own, double own_fraction) const;

    void expire();

private:
    mutable std::mutex mutex_;
    flow_table table_;
};

} // namespace trefoil
