#pragma once

#include "wire/call_context.h"
#include "wire/malformed_call.h"

#include <functional>
#include <optional>
#include <string_view>

namespace trefoil {

/// Returns the value of a header, or nothing if the request has no such header.
using header_lookup = std::function<std::optional<std::string_view>(std::string_view name)>;

/// Parses and validates the path and headers of one call. `request_target` is the target of the
/// HTTP request line, `/call/{service}/{path}`. Throws malformed_call.
call_context parse_call(std::string_view request_target, const header_lookup& headers);

} // namespace trefoil
