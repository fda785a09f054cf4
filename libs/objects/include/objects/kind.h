#pragma once

#include "base/names.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// A type of request, as callers name it in `trefoil-kind`.
struct kind {
    kind_name name;
    rank_name rank;
    /// Service at which a request of this kind enters the call graph.
    service_name entry;
    /// The work must not run twice for one request id.
    bool once_only = false;
    /// The work may be sent again after an `unknown` outcome. Excludes once_only.
    bool repeatable = false;
    /// Upper bound and default of the time for a whole request.
    std::chrono::milliseconds deadline{2000};
    /// Retry allowance of one request over its whole call chain.
    std::uint32_t retries = 0;

    friend bool operator==(const kind&, const kind&) = default;
};

} // namespace trefoil
