#pragma once

#include "quarantine/content_fingerprint.h"

#include <array>
#include <string_view>

namespace trefoil {

/// The parts of a request that its fingerprints are computed from.
struct content_parts {
    std::string_view method;
    std::string_view host;
    /// Path with query.
    std::string_view target;
    std::string_view body;
    /// Service of the VM that the request originated from.
    std::string_view caller_service;
};

/// Fingerprints of one request at several levels of detail, by which a repeat can be recognized.
/// Crashes and successful runs are counted for each fingerprint separately, and a request is
/// quarantined if any of its fingerprints is. A narrow fingerprint misses repeats that differ in a
/// detail; a wide one is cleared by harmless requests that share it.
struct content_fingerprints {
    /// The same request: method, host, path, query and body.
    content_fingerprint request;
    /// The same path and body from VMs of the same service.
    content_fingerprint path_and_caller;
    /// The same path and body from anywhere.
    content_fingerprint path;

    /// All fingerprints, the narrowest first.
    std::array<content_fingerprint, 3> all() const { return {request, path_and_caller, path}; }
};

/// Computes the fingerprints of a request. The result depends on the values only, so that all nodes
/// agree on it.
content_fingerprints fingerprints_of(const content_parts& parts);

} // namespace trefoil
