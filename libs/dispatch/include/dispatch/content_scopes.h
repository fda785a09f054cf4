#pragma once

#include "quarantine/content_fingerprint.h"

#include <array>
#include <string_view>

namespace trefoil {

/// What identifies the content of a request.
struct content_parts {
    std::string_view method;
    std::string_view host;
    /// Path with query.
    std::string_view target;
    std::string_view body;
    /// Service on whose VM the request began.
    std::string_view caller_service;
};

/// A content under each of the identities by which it may come again. Crashes and service count for
/// each by itself, and the content is held back if it is under any of them: a narrow identity
/// misses repeats that differ in a detail, a wide one is cleared by harmless requests that share
/// it.
struct content_scopes {
    /// The same request: method, host, path, query and body.
    content_fingerprint request;
    /// The same path and body from VMs of the same service.
    content_fingerprint path_of_caller;
    /// The same path and body from anywhere.
    content_fingerprint path;

    std::array<content_fingerprint, 3> all() const { return {request, path_of_caller, path}; }
};

content_scopes scopes_of(const content_parts& parts);

} // namespace trefoil
