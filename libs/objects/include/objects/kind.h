#pragma once

#include "base/names.h"

#include <chrono>
#include <cstdint>

namespace trefoil {

/// A type of request. Callers name it in the header `trefoil-kind`.
struct kind {
    kind_name name;
    rank_name rank;
    /// Service at which a request of this kind enters the call graph.
    service_name entry;
    /// Requests with the same id must not be executed more than once.
    bool once_only = false;
    /// The request may be sent again after the outcome `unknown`. Mutually exclusive with
    /// once_only.
    bool repeatable = false;
    /// Maximum and default time limit for a request, including all calls that it makes.
    std::chrono::milliseconds deadline{2000};
    /// Maximum number of retries of one request, summed over its call chain.
    std::uint32_t retries = 0;

    friend bool operator==(const kind&, const kind&) = default;
};

} // namespace trefoil
